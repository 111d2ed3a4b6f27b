"""Exit codes of the operators' program."""

from enum import IntEnum
from functools import singledispatch

from azureswitch.exceptions import (
    AuditError,
    AzureswitchError,
    ChangeOutcomeUnknownError,
    ChangeReusedError,
    EntryUnreachableError,
    HostListError,
    InvalidOptionError,
    MissingKeyError,
    PlaceEvacuatedError,
    PlaceInUseError,
    RevisionConflictError,
    RevisionNotFoundError,
    ServicesLeftEmptyError,
    SettingsError,
    SnapshotTooLargeError,
    StoreError,
    StoreOutcomeUnknownError,
    UnknownCustomerError,
    UnknownPlaceError,
    UnknownTargetError,
)


class ExitCode(IntEnum):
    """What a program that calls ``azureswitch`` may act on; the numbers never change."""

    DONE = 0
    USAGE = 1
    FILE_REFUSED = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5
    NOT_FOUND = 6
    ATTENTION = 7
    REFUSED = 8
    INTERNAL = 70

    @property
    def meaning(self) -> str:
        """One sentence for the reference page."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitCode.DONE: "The command did what was asked.",
    ExitCode.USAGE: "The command line is wrong; nothing was done.",
    ExitCode.FILE_REFUSED: "A settings, inventory or rules file was refused; nothing was changed.",
    ExitCode.CONFLICT: "Another operator's change was accepted first; nothing was changed.",
    ExitCode.UNAVAILABLE: "The platform or an entry host was not reached; nothing was changed.",
    ExitCode.OUTCOME_UNKNOWN: "It is not known whether the change was accepted; "
    "run the command again with the change id that it printed.",
    ExitCode.NOT_FOUND: "The target, place or revision does not exist; nothing was changed.",
    ExitCode.ATTENTION: "The command worked and what it found needs attention: "
    "a host that lags, a foreign entry of the store, a request that would be refused, "
    "or an audit trail that was altered.",
    ExitCode.REFUSED: "The change does not fit: the place to restore is in use, "
    "or a service would be left without targets; nothing was changed.",
    ExitCode.INTERNAL: "Something failed inside the program.",
}


@singledispatch
def exit_code(error: AzureswitchError) -> ExitCode:
    """Return the exit code of a failure."""
    return ExitCode.INTERNAL


@exit_code.register
def _(error: SettingsError) -> ExitCode:
    return ExitCode.FILE_REFUSED


@exit_code.register
def _(error: SnapshotTooLargeError) -> ExitCode:
    return ExitCode.FILE_REFUSED


@exit_code.register(InvalidOptionError)
@exit_code.register(MissingKeyError)
def _usage(error: AzureswitchError) -> ExitCode:
    return ExitCode.USAGE


@exit_code.register(ChangeReusedError)
@exit_code.register(PlaceEvacuatedError)
@exit_code.register(RevisionConflictError)
def _conflict(error: AzureswitchError) -> ExitCode:
    return ExitCode.CONFLICT


@exit_code.register(PlaceInUseError)
@exit_code.register(ServicesLeftEmptyError)
def _refused(error: AzureswitchError) -> ExitCode:
    return ExitCode.REFUSED


@exit_code.register
def _(error: AuditError) -> ExitCode:
    return ExitCode.ATTENTION


@exit_code.register(StoreError)
@exit_code.register(HostListError)
@exit_code.register(EntryUnreachableError)
def _unavailable(error: AzureswitchError) -> ExitCode:
    return ExitCode.UNAVAILABLE


@exit_code.register(StoreOutcomeUnknownError)
@exit_code.register(ChangeOutcomeUnknownError)
def _unknown(error: AzureswitchError) -> ExitCode:
    return ExitCode.OUTCOME_UNKNOWN


@exit_code.register(UnknownCustomerError)
@exit_code.register(UnknownPlaceError)
@exit_code.register(UnknownTargetError)
@exit_code.register(RevisionNotFoundError)
def _absent(error: AzureswitchError) -> ExitCode:
    return ExitCode.NOT_FOUND
