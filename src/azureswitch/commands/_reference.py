"""``azureswitch reference``."""

from collections.abc import Iterator

from cleo.helpers import option
from msgspec import Struct

from azureswitch.commands._base import OperatorCommand, text
from azureswitch.commands._exits import ExitCode
from azureswitch.commands._settings import OPERATOR_TABLE
from azureswitch.exceptions import (
    AuditError,
    AzureswitchError,
    ChangeError,
    CommandError,
    RefusedError,
    RequestError,
    ServingError,
    SettingsError,
    StoreError,
)
from azureswitch.inventory import INVENTORY, RULES
from azureswitch.settings import reference

_INTRODUCTION = """# Settings

Every file that azureswitch reads is INI in UTF-8. Lines that begin with `#` or `;` are comments.
A list may go on over indented lines. Unknown sections and keys, values out of their range and
references to nothing are refused, with an error that names file, section and key. Durations are in
seconds, or carry a unit: `200 ms`, `5 min`, `1 d`.

This page is made from the tables that check the files: `azureswitch reference`.
"""


class ReferenceReport(Struct, frozen=True, kw_only=True):
    """A reference page, in Markdown."""

    page: str


@text.register
def _(report: ReferenceReport) -> str:
    return report.page


def settings_page() -> str:
    """Return the page of all settings."""
    # Imported here, since every other command would start twice as slowly with the daemon's parts.
    from azureswitch.entry import ENTRY_TABLE

    tables = (ENTRY_TABLE, OPERATOR_TABLE, INVENTORY, RULES)
    return "\n".join((_INTRODUCTION, *map(reference, tables), _exit_codes()))


def _exit_codes() -> str:
    rows = "\n".join(f"| {code.value} | {code.name} | {code.meaning} |" for code in ExitCode)
    heading = "## Exit codes of the operators' program\n\n| Code | Name | Meaning |\n|---|---|---|"
    return f"{heading}\n{rows}"


_CALLERS = (RequestError, RefusedError, ServingError)
"""The families of failures that callers see."""

_OPERATORS = (SettingsError, ChangeError, CommandError, AuditError, StoreError)
"""The families of failures that operators see."""

_ERRORS_INTRODUCTION = """# Failures by name

Every failure has one stable name, its code. `ran` says whether the request ran at a target:
`not_run` is said only where that is certain. This page is made from the tree of failures:
`azureswitch reference --errors`.

## What callers see

The code stands in `error.code` of the answer, its family in `error.type`, `ran` in `error.ran`. A
failure with a time to come back in carries `Retry-After`. A stream that had begun ends with such an
error as its last event, and without `[DONE]`.
"""

_ERRORS_OPERATORS = """
## What operators see

`azureswitch` prints the code before the sentence, or as `error` with `--json`. Its exit codes are
in [Settings](operators/settings.md).
"""


def errors_page() -> str:
    """Return the page of all failures that callers and operators see."""
    return "\n".join(
        (
            _ERRORS_INTRODUCTION,
            *_error_table(_CALLERS, with_status=True),
            _ERRORS_OPERATORS,
            *_error_table(_OPERATORS, with_status=False),
        )
    )


def _error_table(
    families: tuple[type[AzureswitchError], ...], *, with_status: bool
) -> Iterator[str]:
    status = " Status |" if with_status else ""
    yield f"| Code |{status} `ran` | Retry-After | Meaning |"
    yield f"|---|{'---|' * with_status}---|---|---|"
    for family in families:
        for kind in _tree(family):
            status = f" {kind.status.value} |" if with_status else ""
            retry = _retry_after(kind)
            meaning = (kind.__doc__ or "").partition("\n")[0]
            yield f"| `{kind.code}` |{status} `{kind.ran.value}` | {retry} | {meaning} |"


def _retry_after(kind: type[AzureswitchError]) -> str:
    if "seconds" not in kind.field_names:
        return ""
    return "where known" if getattr(kind, "seconds", None) is None else "yes"


def _tree(kind: type[AzureswitchError]) -> Iterator[type[AzureswitchError]]:
    yield kind
    for child in kind.__subclasses__():
        yield from _tree(child)


class ReferenceCommand(OperatorCommand):
    """Prints a reference page."""

    name = "reference"
    description = "Print the reference of all settings and exit codes, in Markdown."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        *OperatorCommand.options,
        option("errors", description="Print the reference of all failures in its place."),
    ]

    async def report(self) -> ReferenceReport:
        """Make the page."""
        return ReferenceReport(page=errors_page() if self.option("errors") else settings_page())
