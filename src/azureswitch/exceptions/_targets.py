"""Calls to engines and service targets that failed."""

from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError, Ran


class TargetError(AzureswitchError):
    """A call to a target failed.

    Attributes:
        target: The engine or service target that was called.
    """

    code: ClassVar[str] = "target_error"
    target: str

    @property
    def message(self) -> str:
        return f"The call to {self.target!r} failed."


class TargetRefusedError(TargetError):
    """The target was not reached or said that it did not run the request."""

    code: ClassVar[str] = "target_refused"
    ran: ClassVar[Ran] = Ran.NOT_RUN
    seconds: float | None = None

    @property
    def retry_after(self) -> float | None:
        return self.seconds


class TargetEvacuatedError(TargetRefusedError):
    """The failure domain of a target was evacuated before the request was sent to it."""

    code: ClassVar[str] = "target_evacuated"


class TargetBrokenError(TargetError):
    """The connection to the target broke after the request may have started.

    Attributes:
        tokens: How many output tokens had arrived whole.
    """

    code: ClassVar[str] = "target_broken"
    tokens: int = 0


class TargetAnswerError(TargetError):
    """The target's answer was not that of the request, or could not be read."""

    code: ClassVar[str] = "target_answer_invalid"


class OrderRefusedError(TargetError):
    """An engine refused an order whose fencing number is old.

    Attributes:
        fence: The fencing number of the order.
        newest: The newest fencing number that the engine has seen.
    """

    code: ClassVar[str] = "order_fenced"
    ran: ClassVar[Ran] = Ran.NOT_RUN
    fence: int
    newest: int

    @property
    def message(self) -> str:
        return f"{self.target!r} refused fence {self.fence}; it has seen {self.newest}."
