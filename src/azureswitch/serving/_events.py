"""What can happen to requests and targets."""

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
"""Targets that may run a call where nothing else is said: a first one and eight retries."""


class Call(Struct, frozen=True, kw_only=True):
    """One caller's request, read and authenticated.

    Attributes:
        id: The request id, unique over the fleet.
        customer: Who sent it.
        service: The service asked for.
        model: The model asked for; empty for plain services.
        prompt_tokens: Estimated tokens of the prompt; zero for plain services.
        output_tokens: The most output tokens asked for; zero for plain services.
        prefix: Hashes of the prompt's leading blocks, salted per customer, longest last.
        deadline: When it must have finished, on the host's monotonic clock.
        repeatable: Whether it may be sent again although it may have run.
        idempotency_key: The caller's key, or None.
        fingerprint: Digest of method, path and body, the same for each try at the same request;
            empty where it is not known.
        offset: Output tokens that the caller has already.
        objective: Seconds to the first output within which the answer is on time; zero for none.
        gap_objective: Seconds between two outputs within which it stays so; zero for none.
        runs: Targets that may run it, at most.
        cancellable: Whether it is called off when its caller leaves, though it must not run again.
        unshared: Whether no other host can be sent the same call, so that no claim is needed.
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
    offset: int = 0
    objective: float = 0.0
    gap_objective: float = 0.0
    runs: int = MAX_RUNS
    cancellable: bool = False
    unshared: bool = False


class AttemptEnd(Enum):
    """How an attempt at a target ended."""

    COMPLETE = "complete"
    REFUSED = "refused"
    BROKEN = "broken"
    REJECTED = "rejected"
    CANCELLED = "cancelled"


class ServingEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the serving reducer."""


class _CallEvent(ServingEvent, frozen=True, kw_only=True):
    """Base of the events of one call that tell no more."""

    call: CallId


class _AttemptEvent(ServingEvent, frozen=True, kw_only=True):
    """Base of the events of one attempt that tell no more."""

    call: CallId
    attempt: int


class CallArrived(ServingEvent, frozen=True, kw_only=True):
    """A caller sent a request."""

    call: Call


class CallerLeft(_CallEvent, frozen=True):
    """The caller closed its connection before the end."""


class ClaimGranted(_CallEvent, frozen=True):
    """A non-idempotent call may be sent, once, by this host."""


class ClaimDenied(ServingEvent, frozen=True, kw_only=True):
    """A non-idempotent call must not be sent; ``error`` is the caller's answer."""

    call: CallId
    error: AzureswitchError


class ClaimReplayed(_CallEvent, frozen=True):
    """The first call with this key has ended; the shell gives its recorded answer again."""


class FirstTokenArrived(_AttemptEvent, frozen=True):
    """An attempt delivered its first output token."""


class TokensArrived(ServingEvent, frozen=True, kw_only=True):
    """An attempt delivered more output; sent at most a few times a second per attempt.

    Attributes:
        tokens: Output tokens of the whole request so far.
    """

    call: CallId
    attempt: int
    tokens: int


class AttemptEnded(ServingEvent, frozen=True, kw_only=True):
    """An attempt is over.

    Attributes:
        end: How it ended.
        tokens: Output tokens of the whole request that reached the caller.
        cached_tokens: Prompt tokens that the engine found in its cache, where it says so.
        retry_after: Seconds after which the target may take the request, where it says so.
        error: The failure, for every end but COMPLETE.
        at_fault: Of several targets the one that failed, where that is known.
    """

    call: CallId
    attempt: int
    end: AttemptEnd
    tokens: int = 0
    cached_tokens: int = 0
    retry_after: float | None = None
    error: AzureswitchError | None = None
    at_fault: TargetName | None = None


class AttemptSilent(_AttemptEvent, frozen=True):
    """An attempt's target has written nothing for as long as it is waited for."""


class LoadReported(ServingEvent, frozen=True, kw_only=True):
    """A load report arrived, polled here or passed on by a peer."""

    report: LoadReport
    age: float = 0.0


class CacheReported(ServingEvent, frozen=True, kw_only=True):
    """Cache events arrived, late and perhaps with gaps."""

    events: CacheEvents


class TargetUnreachable(ServingEvent, frozen=True, kw_only=True):
    """A target did not answer a poll."""

    target: TargetName


class TargetLeaving(ServingEvent, frozen=True, kw_only=True):
    """A target said in an answer that it leaves.

    Attributes:
        target: The target.
        started: Its start, or zero where it does not tell.
    """

    target: TargetName
    started: int = 0


class LimitNamed(ServingEvent, frozen=True, kw_only=True):
    """A target said in an answer how many requests it takes from all hosts together.

    Attributes:
        target: The target.
        started: Its start, or zero where it does not tell.
        rate: Requests a second, or None where what it said is no such number.
        text: What it said.
    """

    target: TargetName
    started: int = 0
    rate: float | None
    text: str


class LimitUnnamed(ServingEvent, frozen=True, kw_only=True):
    """A target that had named a limit answered a request that it ran without one.

    Attributes:
        target: The target.
        started: Its start, or zero where it does not tell.
        sent: When the request was sent to it.
    """

    target: TargetName
    started: int = 0
    sent: float


class PermitAsked(ServingEvent, frozen=True, kw_only=True):
    """A peer asks for a permit to send to a target whose permits this host hands out.

    Attributes:
        host: The peer.
        report: What the peer knows of the target's limit.
    """

    host: HostName
    report: LimitReport


class PermitAnswered(ServingEvent, frozen=True, kw_only=True):
    """The host that hands out the permits of a target gave one, or said when to ask again.

    Attributes:
        target: The target.
        grant: What it said.
        report: What it knows of the target's limit, or None for nothing.
    """

    target: TargetName
    grant: Grant
    report: LimitReport | None = None


class TotalsReceived(ServingEvent, frozen=True, kw_only=True):
    """A host of another failure domain told what all have at its targets."""

    totals: DomainTotals


class DigestReceived(ServingEvent, frozen=True, kw_only=True):
    """A peer's digest arrived."""

    digest: Digest


class CrashesRecalled(ServingEvent, frozen=True, kw_only=True):
    """The store holds what hosts, perhaps all dead since, knew of requests that crash targets."""

    reports: tuple[CrashReport, ...]


class PeersChanged(ServingEvent, frozen=True, kw_only=True):
    """The set of live hosts changed, this host included.

    Attributes:
        hosts: The live hosts.
        fleet_size: How many hosts share what the fleet permits, or None for as many as live.  One
            that is taken for dead may only be cut off from this host, and use its share.
    """

    hosts: tuple[HostName, ...]
    fleet_size: int | None = None


class SnapshotAdopted(ServingEvent, frozen=True, kw_only=True):
    """A newer configuration is in force on this host."""

    snapshot: Snapshot


class ShutdownBegan(ServingEvent, frozen=True, kw_only=True):
    """This host is about to stop: it begins nothing more that cannot end in time.

    Attributes:
        until: When what is open is ended, in seconds of the monotonic clock, or None where no new
            work is taken at all and what is open goes on.
    """

    until: float | None = None


class GraceEnded(ServingEvent, frozen=True, kw_only=True):
    """This host stops now: each call that is open gets its final answer."""


class Ticked(ServingEvent, frozen=True, kw_only=True):
    """Time passed; sent every `azureswitch.serving.TICK_SECONDS` seconds."""


class HostSelf(Struct, frozen=True, kw_only=True):
    """Who this host is.

    Attributes:
        name: Its name.
        place: Its failure domain.
        started: Start of this incarnation, in milliseconds of the wall clock.
    """

    name: HostName
    place: PlaceName
    started: int
