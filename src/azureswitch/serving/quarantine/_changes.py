"""Changes of a quarantine, which are logged for operators and written to the store."""

from enum import Enum

from msgspec import Struct

from azureswitch.core import CustomerName
from azureswitch.serving._digests import CrashReport


class QuarantineStage(Enum):
    """What is done with a cause.

    Attributes:
        FREE: Nothing; it is sent like any other.
        SUSPECTED: Targets crashed under it, which may have another cause; it is tried one request
            at a time.
        HELD: It is refused, and tried again only after some time.
    """

    FREE = "free"
    SUSPECTED = "suspected"
    HELD = "held"


class QuarantinedCause(Struct, frozen=True, kw_only=True):
    """A suspected or held cause, for operators.

    Attributes:
        customer: The customer.
        fingerprint: The fingerprint of the request or part.
        shared: Whether it is a part, and not a request.
        stage: What is done with it.
        crashes: Number of crashes that speak against it.
        answers: Number of answers that this host saw in its favour.
        seconds: Seconds for which this host refuses it.
    """

    customer: CustomerName
    fingerprint: str
    shared: bool
    stage: QuarantineStage
    crashes: int
    answers: int
    seconds: float


class QuarantineChange(Struct, frozen=True, kw_only=True):
    """A cause is suspected, is held, is held for longer, or is free again.

    Attributes:
        report: The crashes known.
        shared: Whether the cause is a part, and not a request.
        stage: What is done from now on.
        answers: Number of answers that this host saw in favour of the cause since it was suspected.
        keep: Whether to write the change to the store as well, for hosts that start after all hosts
            that know of it have died.
    """

    report: CrashReport
    shared: bool
    stage: QuarantineStage
    answers: int = 0
    keep: bool

    @property
    def ended(self) -> bool:
        """Whether the quarantine has ended."""
        return self.stage is QuarantineStage.FREE
