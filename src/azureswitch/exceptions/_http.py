"""HTTP exchanges that failed below the level of their status."""

from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError, Ran


class HttpError(AzureswitchError):
    """An HTTP exchange failed below the level of its status.

    Attributes:
        address: The ``IP:PORT`` that it was with.
    """

    code: ClassVar[str] = "http_error"
    address: str

    @property
    def message(self) -> str:
        return f"The HTTP exchange with {self.address} failed."


class HttpNotSentError(HttpError):
    """No connection could be made, so nothing was sent."""

    code: ClassVar[str] = "http_not_sent"
    ran: ClassVar[Ran] = Ran.NOT_RUN


class HttpBrokenError(HttpError):
    """The request was sent and its answer did not arrive whole.

    Attributes:
        answered: Whether the head of the answer had arrived.
    """

    code: ClassVar[str] = "http_broken"
    answered: bool = False
