"""Effects that the serving reducer returns for the shell to execute."""

from enum import Enum
from math import inf

from azureswitch.core import CallId, CustomerName, Effect, HostName, PlaceName, TargetName
from azureswitch.exceptions import AzureswitchError
from azureswitch.serving._digests import Digest, DomainTotals, Grant, LimitReport
from azureswitch.serving._limits import LimitChange
from azureswitch.serving.evacuation import EvacuationChange
from azureswitch.serving.quarantine import QuarantineChange
from azureswitch.serving.warmup import WarmthChange


class ClaimCall(Effect, frozen=True, kw_only=True):
    """Claim a non-idempotent call; the shell answers ClaimGranted, ClaimReplayed or ClaimDenied."""

    call: CallId
    customer: CustomerName
    key: str
    fingerprint: str
    deadline: float


class ClaimOutcome(Enum):
    """The outcome of a claimed call."""

    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


class SettleClaim(Effect, frozen=True, kw_only=True):
    """Record the outcome of a claimed call; the shell adds the answer if it is DONE."""

    call: CallId
    outcome: ClaimOutcome


class StartAttempt(Effect, frozen=True, kw_only=True):
    """Send a request to a target; the shell answers FirstTokenArrived, TokensArrived, AttemptEnded.

    While a call has two attempts, the shell relays only the one whose first token arrived first.
    The reducer cancels the other one when it receives that event.

    Attributes:
        targets: The target; several engines if the prompt is larger than the memory of one.
        priority: Smaller values run first.
        resume_from: Output tokens that the caller has already.
        timeout: Seconds until the deadline of the request.
        reserved: Tokens of memory to reserve at each target before the request is sent; empty for
            no reservation.
        first_token: Predicted seconds to the first token, or zero if there is no prediction.
        known_peers: Number of peers whose attempts were known when the target was chosen.
        first_output_timeout: Seconds without any output before the shell sends `AttemptSilent`.
        output_gap_timeout: Seconds without further output before the shell sends it.
        held_back: Number of targets that were excluded because of their rate limits or because they
            are cold.
        evacuated: Number of targets that were excluded because their failure domain is evacuated.
    """

    call: CallId
    attempt: int
    targets: tuple[TargetName, ...]
    priority: int
    resume_from: int
    timeout: float
    reserved: tuple[int, ...] = ()
    first_token: float = 0.0
    known_peers: int = 0
    first_output_timeout: float = inf
    output_gap_timeout: float = inf
    held_back: int = 0
    evacuated: int = 0


class CancelAttempt(Effect, frozen=True, kw_only=True):
    """Cancel an attempt and release its resources; the shell answers AttemptEnded CANCELLED."""

    call: CallId
    attempt: int
    targets: tuple[TargetName, ...]


class PrioritizeAttempt(Effect, frozen=True, kw_only=True):
    """Change the priority of a running attempt."""

    call: CallId
    attempt: int
    target: TargetName
    priority: int


class FinishCall(Effect, frozen=True, kw_only=True):
    """End the caller's answer.

    Without an ``error`` the answer is complete, or replays the one recorded for an earlier call.
    """

    call: CallId
    error: AzureswitchError | None


class PublishDigest(Effect, frozen=True, kw_only=True):
    """Send a digest to the peers.

    Attributes:
        digest: The digest.
        regular: Whether it is a periodic digest without new crash or limit reports, which repeats
            what peers may have missed.
        places: The failure domains whose hosts receive it, or None for all.
        may_wait: Whether it may be delayed for a moment, as it reports nothing but attempts that
            have ended or whose prefill is done.
    """

    digest: Digest
    regular: bool = True
    places: frozenset[PlaceName] | None = None
    may_wait: bool = False


class PublishTotals(Effect, frozen=True, kw_only=True):
    """Send the total load of this failure domain's targets to any one host of another domain."""

    totals: DomainTotals


class AskPermit(Effect, frozen=True, kw_only=True):
    """Request a permit to send to a target; `PermitAnswered` follows unless a message is lost.

    Attributes:
        owner: The host that issues the target's permits.
        report: What this host knows about the target's limit.
    """

    owner: HostName
    report: LimitReport


class AnswerPermit(Effect, frozen=True, kw_only=True):
    """Answer a host that requested a permit; the answer may be lost.

    Attributes:
        host: The host.
        target: The target.
        grant: The permit, or when to ask again.
        report: What this host knows about the target's limit, or None for nothing.
    """

    host: HostName
    target: TargetName
    grant: Grant
    report: LimitReport | None


class AnnounceLimit(Effect, frozen=True, kw_only=True):
    """Log for operators that a target changed its announced rate limit or announces none now.

    Attributes:
        change: The change.
        text: The announcement as this host received it, or None if a peer reported it.
        readable: Whether the announcement could be parsed.
    """

    change: LimitChange
    text: str | None = None
    readable: bool = True


class AnnounceWarmth(Effect, frozen=True, kw_only=True):
    """Log for operators that a target has become cold or warm."""

    change: WarmthChange


class AnnounceQuarantine(Effect, frozen=True, kw_only=True):
    """Log for operators that a request or a part is suspected, is held, or is free again."""

    change: QuarantineChange


class AnnounceEvacuation(Effect, frozen=True, kw_only=True):
    """Log for operators that a failure domain was evacuated, became empty or was restored."""

    change: EvacuationChange


class Observation(Enum):
    """The quantity that a metric counts or measures."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    RETRIED = "retried"
    HEDGED = "hedged"
    FINISHED = "finished"
    FAILED = "failed"
    COLD_WAITED = "cold_waited"
    COLD_REFUSED = "cold_refused"
    FIRST_TOKEN = "first_token_seconds"
    SLOWDOWN = "slowdown"


class Observe(Effect, frozen=True, kw_only=True):
    """Record a metric.

    Attributes:
        what: The metric.
        customer: The customer, for the metric's label.
        prompt_tokens: Tokens of the prompt, for the label of its length bucket.
        value: One for counters; else the measured seconds or ratio.
    """

    what: Observation
    customer: CustomerName
    prompt_tokens: int
    value: float = 1.0
