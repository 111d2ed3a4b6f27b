"""Calls between hosts of the system that failed."""

from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError, Ran


class PeerError(AzureswitchError):
    """A call to another host of the system failed.

    Attributes:
        peer: The host that was called.
    """

    code: ClassVar[str] = "peer_error"
    peer: str

    @property
    def message(self) -> str:
        return f"The call to host {self.peer!r} failed."


class PeerRefusedError(PeerError):
    """Another host answered a call with a failure.

    Attributes:
        reason: The code of that failure.
    """

    code: ClassVar[str] = "peer_refused"
    reason: str

    @property
    def message(self) -> str:
        return f"Host {self.peer!r} answered with {self.reason}."


class PeerMessageInvalidError(PeerError):
    """A message from another host cannot be read, or nothing here takes it.

    Attributes:
        kind: The type name that was expected or received.
    """

    code: ClassVar[str] = "peer_message_invalid"
    kind: str

    @property
    def message(self) -> str:
        return f"The message {self.kind!r} from host {self.peer!r} cannot be read."


class PeerMessageTooLargeError(PeerError):
    """A message for another host is over the limit in bytes; it was not sent."""

    code: ClassVar[str] = "peer_message_too_large"
    ran: ClassVar[Ran] = Ran.NOT_RUN
    size: int
    limit: int

    @property
    def message(self) -> str:
        return f"A message for host {self.peer!r} has {self.size} bytes; {self.limit} may be sent."
