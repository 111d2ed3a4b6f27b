"""What a host answers on ``/status``, whatever version of the software it runs."""

from typing import Any

from msgspec import Raw, Struct, json
from msgspec.structs import replace

from azureswitch.decoding import UNDECODED
from azureswitch.exceptions import StatusPartError
from azureswitch.status import (
    EvacuationStatus,
    ForeignCollection,
    HostStatus,
    QuarantineStatus,
    TargetStatus,
)

PARTS: dict[str, Any] = {
    "targets": tuple[TargetStatus, ...] | None,
    "foreign": tuple[ForeignCollection, ...] | None,
    "evacuations": tuple[EvacuationStatus, ...] | None,
    "quarantines": tuple[QuarantineStatus, ...] | None,
}
"""Parts that an older version does not tell; each is decoded by itself."""


class HostAnswer(Struct, frozen=True, kw_only=True):
    """A host's status, so far as it could be read.

    Attributes:
        status: The status; parts that could not be read are left out.
        unread: Those parts, and what is wrong with them.
    """

    status: HostStatus
    unread: tuple[StatusPartError, ...]

    def tells(self, part: str) -> bool:
        """Return whether the host tells a part, and it could be read."""
        return getattr(self.status, part) is not None

    def misses(self, part: str) -> bool:
        """Return whether the host does not tell a part, as older versions do not."""
        return not self.tells(part) and all(error.part != part for error in self.unread)


def read_answer(body: bytes) -> HostAnswer:
    """Return what a host says.

    Raises:
        ValueError: It is no status, or lacks what all versions tell.
        RecursionError: The same, as it is nested too deeply.
    """
    members = json.decode(body, type=dict[str, Raw])
    parts = {name: members.pop(name, None) for name in PARTS}
    status = json.decode(json.encode(members), type=HostStatus)
    unread: list[StatusPartError] = []
    read: dict[str, Any] = {}
    for name, content in parts.items():
        try:
            read[name] = None if content is None else json.decode(content, type=PARTS[name])
        except UNDECODED as error:
            unread.append(StatusPartError(host=status.host, part=name, detail=str(error)))
    return HostAnswer(status=replace(status, **read), unread=tuple(unread))
