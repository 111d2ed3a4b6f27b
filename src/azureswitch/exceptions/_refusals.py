"""Requests that are well formed, are not admitted, and do not run."""

from http import HTTPStatus
from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError, Ran


class RefusedError(AzureswitchError):
    """The request was well formed, was not admitted, and did not run.

    Attributes:
        seconds: After how many seconds a new try may be admitted.
    """

    code: ClassVar[str] = "refused"
    status: ClassVar[HTTPStatus] = HTTPStatus.SERVICE_UNAVAILABLE
    ran: ClassVar[Ran] = Ran.NOT_RUN
    seconds: float = 1.0

    @property
    def message(self) -> str:
        return f"The request was refused; try again in {self.seconds:.1f} s."

    @property
    def retry_after(self) -> float | None:
        return self.seconds


class LimitExceededError(RefusedError):
    """The customer has used its share of engine time."""

    code: ClassVar[str] = "rate_limit_exceeded"
    status: ClassVar[HTTPStatus] = HTTPStatus.TOO_MANY_REQUESTS

    @property
    def message(self) -> str:
        return f"The customer's limit is used up; try again in {self.seconds:.1f} s."


class DeadlineUnreachableError(RefusedError):
    """The request could not finish in its time."""

    code: ClassVar[str] = "deadline_unreachable"

    @property
    def message(self) -> str:
        return f"The request cannot finish in its time; try again in {self.seconds:.1f} s."


class NoTargetError(RefusedError):
    """No target is up that could take the request."""

    code: ClassVar[str] = "no_target"

    @property
    def message(self) -> str:
        return f"No target can take the request now; try again in {self.seconds:.1f} s."


class ServiceEvacuatedError(RefusedError):
    """All targets that could take the request are in evacuated failure domains."""

    code: ClassVar[str] = "service_evacuated"

    @property
    def message(self) -> str:
        return (
            "The failure domains of all targets of this service are evacuated; "
            f"try again in {self.seconds:.1f} s."
        )


class TargetsColdError(RefusedError):
    """All targets that could take the request are cold and sustain no more requests now."""

    code: ClassVar[str] = "targets_cold"

    @property
    def message(self) -> str:
        return f"All targets are cold; try again in {self.seconds:.1f} s."


class QuarantinedError(RefusedError):
    """Targets have crashed under this request or a part of it, so that it is not sent for now."""

    code: ClassVar[str] = "request_quarantined"

    @property
    def message(self) -> str:
        return (
            "Targets crashed as they ran this request, or others that share a part of its prompt; "
            "it is not sent for now."
        )


class LimitReachedError(RefusedError):
    """All targets that could serve this request take fewer requests than callers send."""

    code: ClassVar[str] = "target_limit_reached"

    @property
    def message(self) -> str:
        return "The targets for this request take no more requests for now."


class LeavingError(RefusedError):
    """This host is shutting down and takes no new work."""

    code: ClassVar[str] = "host_leaving"

    @property
    def message(self) -> str:
        return "This host is shutting down; send the request again."


class MemoryShortError(RefusedError):
    """This host has no memory for another request."""

    code: ClassVar[str] = "memory_short"

    @property
    def message(self) -> str:
        return f"This host has no memory for this request; try again in {self.seconds:.1f} s."


class RequestShedError(RefusedError):
    """The request had not arrived whole when others needed the memory that it held.

    Attributes:
        held: Bytes that it held.
        stalled: Seconds for which little of it had arrived.
    """

    code: ClassVar[str] = "request_shed"
    held: int
    stalled: float

    @property
    def message(self) -> str:
        return (
            f"Little of this request arrived for {self.stalled:.1f} s, and others needed the "
            f"{self.held} bytes that it held; try again in {self.seconds:.1f} s."
        )


class NotConfiguredError(RefusedError):
    """This host has no configuration that it may serve by yet."""

    code: ClassVar[str] = "not_configured"

    @property
    def message(self) -> str:
        return "This host has no configuration in force yet."


class ClaimUnavailableError(RefusedError):
    """A call that may not repeat could not be claimed, so it was not sent."""

    code: ClassVar[str] = "claim_unavailable"

    @property
    def message(self) -> str:
        return f"The call could not be claimed and was not sent; try in {self.seconds:.1f} s."
