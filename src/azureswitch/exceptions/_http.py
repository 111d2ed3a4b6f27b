"""HTTP exchanges that failed below the level of their status."""

from enum import Enum
from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError, Ran


class NotSent(Enum):
    """Why nothing was sent; the values are those of the log."""

    REFUSED = "refused"
    RESET = "reset"
    TIMED_OUT = "timed_out"
    NO_ROUTE = "no_route"
    NOT_PERMITTED = "not_permitted"
    OTHER = "other"


class Breakage(Enum):
    """Why an answer did not arrive whole; the values are those of the log."""

    CLOSED = "closed"
    TIMED_OUT = "timed_out"
    NOT_HTTP = "not_http"
    FRAMING_TOO_LARGE = "framing_too_large"
    BODY_TOO_LARGE = "body_too_large"


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
    """Nothing was sent: no connection could be made, or sending was no longer permitted.

    Attributes:
        reason: Why.
    """

    code: ClassVar[str] = "http_not_sent"
    ran: ClassVar[Ran] = Ran.NOT_RUN
    reason: NotSent = NotSent.OTHER


class HttpBrokenError(HttpError):
    """The request was sent and its answer did not arrive whole.

    Attributes:
        answered: Whether the head of the answer had arrived.
        breakage: Why it did not arrive whole.
    """

    code: ClassVar[str] = "http_broken"
    answered: bool = False
    breakage: Breakage = Breakage.CLOSED
