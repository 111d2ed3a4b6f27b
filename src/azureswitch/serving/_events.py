"""Events of the serving reducer, and the call and host that they refer to."""

from enum import Enum

from msgspec import Struct

from azureswitch.core import (
    CallId,
    CustomerName,
    Event,
    HostName,
    PlaceName,
    ServiceName,
    TargetName,
)
from azureswitch.exceptions import AzureswitchError
from azureswitch.inventory import Snapshot
from azureswitch.ports import CacheEvents, LoadReport
from azureswitch.serving._digests import CrashReport, Digest, DomainTotals, Grant, LimitReport

MAX_RUNS = 9
"""Default upper bound of the targets that may run a call: the first one and eight retries."""


class Call(Struct, frozen=True, kw_only=True):
    """One caller's request, parsed and authenticated.

    Attributes:
        id: The request id, unique in the fleet.
        customer: The customer that sent it.
        service: The requested service.
        model: The requested model; empty for plain services.
        prompt_tokens: Estimated tokens of the prompt; zero for plain services.
        output_tokens: Upper bound of the requested output tokens; zero for plain services.
        prefix: Hashes of the prompt's leading blocks, salted per customer, longest last.
        deadline: When it must have finished, on the host's monotonic clock.
        repeatable: Whether it may be sent again although it may have run.
        idempotency_key: The caller's key, or None.
        fingerprint: Digest of method, path and body, the same each time that the caller sends the
            request; empty if unknown.
        parts: Fingerprints of the parts of its prompt that other requests may share, in order.
        offset: Output tokens that the caller has already.
        objective: Objective for the time to the first output, in seconds; zero for none.
        gap_objective: Objective for the time between two outputs, in seconds; zero for none.
        runs: Upper bound of the targets that may run it.
        cancellable: Whether it is cancelled when its caller disconnects, even if it must not run
            again.
        unshared: Whether no other host can receive the same call, so that no claim is needed.
    """

    id: CallId
    customer: CustomerName
    service: ServiceName
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: tuple[int, ...] = ()
    deadline: float
    repeatable: bool = True
    idempotency_key: str | None = None
    fingerprint: str = ""
    parts: tuple[str, ...] = ()
    offset: int = 0
    objective: float = 0.0
    gap_objective: float = 0.0
    runs: int = MAX_RUNS
    cancellable: bool = False
    unshared: bool = False


class AttemptEnd(Enum):
    """How an attempt at a target ended.

    Attributes:
        COMPLETE: The target delivered the whole answer.
        REFUSED: The target did not run the request, which may be sent again.
        BROKEN: The attempt failed, and the request may have run.
        REJECTED: The target answered with an error that ends the call without a retry.
        CANCELLED: The attempt was cancelled, and the request may have run.
    """

    COMPLETE = "complete"
    REFUSED = "refused"
    BROKEN = "broken"
    REJECTED = "rejected"
    CANCELLED = "cancelled"


class ServingEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the serving reducer."""


class _CallEvent(ServingEvent, frozen=True, kw_only=True):
    """Base of the events that carry only their call."""

    call: CallId


class _AttemptEvent(ServingEvent, frozen=True, kw_only=True):
    """Base of the events that carry only their attempt."""

    call: CallId
    attempt: int


class CallArrived(ServingEvent, frozen=True, kw_only=True):
    """A request arrived."""

    call: Call


class CallerLeft(_CallEvent, frozen=True):
    """The caller closed its connection before it had the whole answer."""


class ClaimGranted(_CallEvent, frozen=True):
    """This host may send a non-idempotent call, once."""


class ClaimDenied(ServingEvent, frozen=True, kw_only=True):
    """This host must not send a non-idempotent call; ``error`` is the caller's answer."""

    call: CallId
    error: AzureswitchError


class ClaimReplayed(_CallEvent, frozen=True):
    """An earlier call with the same key has ended; the shell replays its recorded answer."""


class FirstTokenArrived(_AttemptEvent, frozen=True, kw_only=True):
    """An attempt delivered output.

    Attributes:
        binding: Whether the caller has part of an answer that no other attempt can go on with.
    """

    binding: bool = False


class TokensArrived(ServingEvent, frozen=True, kw_only=True):
    """An attempt delivered more output; sent at most a few times a second for each attempt.

    Attributes:
        tokens: Output tokens of the whole request so far.
    """

    call: CallId
    attempt: int
    tokens: int


class AttemptEnded(ServingEvent, frozen=True, kw_only=True):
    """An attempt has ended.

    Attributes:
        end: How it ended.
        tokens: Output tokens of the whole request that reached the caller.
        cached_tokens: Prompt tokens that the engine found in its cache, or zero if it does not
            report them.
        retry_after: Seconds after which the target may accept the request, or None if it
            announces no time.
        error: The failure, for every end but COMPLETE.
        at_fault: The target that failed, for an attempt at several, or None if unknown.
    """

    call: CallId
    attempt: int
    end: AttemptEnd
    tokens: int = 0
    cached_tokens: int = 0
    retry_after: float | None = None
    error: AzureswitchError | None = None
    at_fault: TargetName | None = None


class AttemptSilent(_AttemptEvent, frozen=True, kw_only=True):
    """An attempt's target has sent no output within the silence timeout.

    Attributes:
        path_lost: Whether the target is reached by another path alone, so that the silence says
            nothing of it.
    """

    path_lost: bool = False


class LoadReported(ServingEvent, frozen=True, kw_only=True):
    """A load report, ``age`` seconds old, arrived from a poll or was forwarded by a peer."""

    report: LoadReport
    age: float = 0.0


class CacheReported(ServingEvent, frozen=True, kw_only=True):
    """Cache events of an engine arrived; they are delayed, and some may be missing."""

    events: CacheEvents


class TargetUnreachable(ServingEvent, frozen=True, kw_only=True):
    """A target did not answer a poll."""

    target: TargetName


class TargetLeaving(ServingEvent, frozen=True, kw_only=True):
    """A target announced in an answer that it is draining.

    Attributes:
        target: The target.
        started: When it started, as it reports it, or zero if it does not.
    """

    target: TargetName
    started: int = 0


class LimitNamed(ServingEvent, frozen=True, kw_only=True):
    """A target announced in an answer the rate of requests that it accepts from all hosts.

    Attributes:
        target: The target.
        started: When it started, as it reports it, or zero if it does not.
        rate: Requests a second, or None if the announcement cannot be parsed.
        text: The announcement as it was received.
    """

    target: TargetName
    started: int = 0
    rate: float | None
    text: str


class LimitUnnamed(ServingEvent, frozen=True, kw_only=True):
    """A target that had announced a limit answered a request, which it ran, without one.

    Attributes:
        target: The target.
        started: When it started, as it reports it, or zero if it does not.
        sent: When the request was sent to it.
    """

    target: TargetName
    started: int = 0
    sent: float


class PermitAsked(ServingEvent, frozen=True, kw_only=True):
    """A peer requested a permit to send to a target whose permits this host issues.

    Attributes:
        host: The peer.
        report: What the peer knows about the target's limit.
    """

    host: HostName
    report: LimitReport


class PermitAnswered(ServingEvent, frozen=True, kw_only=True):
    """The host that issues the permits of a target answered a request for one.

    Attributes:
        target: The target.
        grant: The permit, or when to ask again.
        report: What the issuing host knows about the target's limit, or None for nothing.
    """

    target: TargetName
    grant: Grant
    report: LimitReport | None = None


class TotalsReceived(ServingEvent, frozen=True, kw_only=True):
    """The total load at the targets of another failure domain arrived from one of its hosts."""

    totals: DomainTotals


class DigestReceived(ServingEvent, frozen=True, kw_only=True):
    """A peer's digest arrived."""

    digest: Digest


class CrashesRecalled(ServingEvent, frozen=True, kw_only=True):
    """Reports of requests that crash targets were read from the store.

    The hosts that wrote them may all have failed since.
    """

    reports: tuple[CrashReport, ...]


class QuarantineEnded(ServingEvent, frozen=True, kw_only=True):
    """An operator ended the quarantine of a request or of a part of prompts.

    Attributes:
        customer: The customer.
        fingerprint: The fingerprint of the request or part.
    """

    customer: CustomerName
    fingerprint: str


class PeersChanged(ServingEvent, frozen=True, kw_only=True):
    """The set of live hosts, which includes this one, has changed.

    Attributes:
        hosts: The live hosts.
        fleet_size: How many hosts share the fleet's budgets, or None for as many as are live.  It
            counts hosts that are considered dead, as one that is only partitioned from this host
            still uses its share.
    """

    hosts: tuple[HostName, ...]
    fleet_size: int | None = None


class SnapshotAdopted(ServingEvent, frozen=True, kw_only=True):
    """A newer configuration is in force on this host."""

    snapshot: Snapshot


class ShutdownBegan(ServingEvent, frozen=True, kw_only=True):
    """This host began to shut down, and starts no work that cannot finish in time.

    Attributes:
        until: When the open calls are ended, in seconds of the monotonic clock, or None if this
            host drains: it takes no new calls, and open ones continue until they are done.
    """

    until: float | None = None


class GraceEnded(ServingEvent, frozen=True, kw_only=True):
    """The grace period of the shutdown ended: each open call gets its final answer now."""


class Ticked(ServingEvent, frozen=True, kw_only=True):
    """Time passed; dispatched every `azureswitch.serving.TICK_SECONDS` seconds."""


class HostSelf(Struct, frozen=True, kw_only=True):
    """The identity of this host.

    Attributes:
        name: Its name.
        place: Its failure domain.
        started: When this incarnation started, in milliseconds of the wall clock.
    """

    name: HostName
    place: PlaceName
    started: int
