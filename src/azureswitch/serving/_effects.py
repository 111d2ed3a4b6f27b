"""What the serving reducer asks its shell to do."""

from enum import Enum
from math import inf

from azureswitch.core import CallId, CustomerName, Effect, HostName, PlaceName, TargetName
from azureswitch.exceptions import AzureswitchError
from azureswitch.serving._crashes import QuarantineChange
from azureswitch.serving._digests import Digest, DomainTotals, Grant, LimitReport
from azureswitch.serving._limits import LimitChange


class ClaimCall(Effect, frozen=True, kw_only=True):
    """Claim a non-idempotent call; answer by ClaimGranted, ClaimReplayed or ClaimDenied."""

    call: CallId
    customer: CustomerName
    key: str
    fingerprint: str
    deadline: float


class ClaimOutcome(Enum):
    """What became of a claimed call."""

    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


class SettleClaim(Effect, frozen=True, kw_only=True):
    """Record what became of a claimed call; the shell adds the answer where it is DONE."""

    call: CallId
    outcome: ClaimOutcome


class StartAttempt(Effect, frozen=True, kw_only=True):
    """Send a request to a target; answer by FirstTokenArrived, TokensArrived, AttemptEnded.

    While two attempts of a call run, the shell relays only that whose first token came first; the
    reducer cancels the other one when it hears of that token.

    Attributes:
        targets: The target; several engines where the prompt is larger than one's memory.
        priority: Smaller runs first.
        resume_from: Output tokens that the caller has already.
        timeout: Seconds that the request has left.
        reserved: Tokens of memory to be set aside at each target before it is sent, or nothing.
        first_token: Predicted seconds to the first token, or zero where there is no prediction.
        accounts: Peers whose sends the choice knew of.
        first_patience: Seconds without any output after which `AttemptSilent` is told.
        gap_patience: Seconds without further output after which it is told.
        held_back: Targets that were left aside, as their limits permitted no more.
    """

    call: CallId
    attempt: int
    targets: tuple[TargetName, ...]
    priority: int
    resume_from: int
    timeout: float
    reserved: tuple[int, ...] = ()
    first_token: float = 0.0
    accounts: int = 0
    first_output_timeout: float = inf
    output_gap_timeout: float = inf
    held_back: int = 0


class CancelAttempt(Effect, frozen=True, kw_only=True):
    """Stop an attempt and free what it holds; the shell answers by AttemptEnded CANCELLED."""

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
    """End the caller's answer: whole, or recorded of an earlier call, where ``error`` is None."""

    call: CallId
    error: AzureswitchError | None


class PublishDigest(Effect, frozen=True, kw_only=True):
    """Send a digest to the peers.

    Attributes:
        digest: The digest.
        regular: Whether it tells nothing new, but what may have been lost before.
        places: The failure domains whose hosts are to hear it, or None for all.
        may_wait: Whether it tells of nothing but sends that have ended or whose prompt is read, so
            that the others may hear of it a moment later.
    """

    digest: Digest
    regular: bool = True
    places: frozenset[PlaceName] | None = None
    may_wait: bool = False


class PublishTotals(Effect, frozen=True, kw_only=True):
    """Tell any one host of another failure domain what all have at the targets of this one."""

    totals: DomainTotals


class AskPermit(Effect, frozen=True, kw_only=True):
    """Ask a host for a permit to send to a target; answer by `PermitAnswered`, or never.

    Attributes:
        owner: The host.
        report: What is known here of the target's limit.
    """

    owner: HostName
    report: LimitReport


class AnswerPermit(Effect, frozen=True, kw_only=True):
    """Answer a host that asked for a permit; the answer may be lost.

    Attributes:
        host: The host.
        target: The target.
        grant: The answer.
        report: What is known here of the target's limit, or None for nothing.
    """

    host: HostName
    target: TargetName
    grant: Grant
    report: LimitReport | None


class AnnounceLimit(Effect, frozen=True, kw_only=True):
    """Tell operators that a target names another limit than before, or none any more.

    Attributes:
        change: What has changed.
        text: What the target said to this host, or None where a peer told it.
        readable: Whether that is a number.
    """

    change: LimitChange
    text: str | None = None
    readable: bool = True


class AnnounceQuarantine(Effect, frozen=True, kw_only=True):
    """Tell operators that a request is held back from now on, or not any more."""

    change: QuarantineChange


class Observation(Enum):
    """What a metric counts or measures."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    RETRIED = "retried"
    HEDGED = "hedged"
    FINISHED = "finished"
    FAILED = "failed"
    FIRST_TOKEN = "first_token_seconds"
    SLOWDOWN = "slowdown"


class Observe(Effect, frozen=True, kw_only=True):
    """Record a metric.

    Attributes:
        what: The metric.
        customer: The label for the customer.
        prompt_tokens: For the label of the length bucket.
        value: One for counts; seconds or a ratio for measures.
    """

    what: Observation
    customer: CustomerName
    prompt_tokens: int
    value: float = 1.0
