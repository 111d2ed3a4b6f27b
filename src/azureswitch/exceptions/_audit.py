"""Audit trails that are not as they were written."""

from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError


class AuditError(AzureswitchError):
    """The audit trail is not as it was written."""

    code: ClassVar[str] = "audit_error"


class AuditEntryInvalidError(AuditError):
    """A stored object is not an audit entry.

    Attributes:
        name: The object's name.
    """

    code: ClassVar[str] = "audit_entry_invalid"
    name: str

    @property
    def message(self) -> str:
        return f"The audit entry {self.name!r} cannot be read."


class AuditChainBrokenError(AuditError):
    """An audit entry is missing or is not the one that was accepted.

    Attributes:
        revision: The first such entry, counted back from the head.
    """

    code: ClassVar[str] = "audit_chain_broken"
    revision: int

    @property
    def message(self) -> str:
        return f"The audit entry of revision {self.revision} is missing or was altered."
