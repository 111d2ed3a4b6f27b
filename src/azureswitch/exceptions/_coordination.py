"""Leases that hosts hold among themselves."""

from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError, Ran


class LeaseLostError(AzureswitchError):
    """Another host holds the lease, or the store could not confirm that this one still does.

    Attributes:
        group: What the lease is on.
    """

    code: ClassVar[str] = "lease_lost"
    ran: ClassVar[Ran] = Ran.NOT_RUN
    group: str

    @property
    def message(self) -> str:
        return f"The lease on {self.group!r} is not held here."
