"""Stops and starts of the hosts of one failure domain, behind a balancer that lags.

What a host that stops does is not specified again here: each look goes through the product's own
reducer, `azureswitch.gateway._stopping.advance`, its neighbours through `neighbours_of`, and each
request that it reads through the product's own admission.  The model is what is around them: when
hosts are told to stop, what is open there, what callers send, when the balancer notices, and how
long a process is loaded.

Time passes in ticks of a second, in each of which a host looks twenty times.  All else happens
between two ticks.  Times are kept relative to the signal, so that there are finitely many states.
"""

from collections.abc import Iterator
from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.gateway import _stopping
from azureswitch.gateway._stopping import (
    CloseIdle,
    CloseListener,
    EndRequests,
    Neighbours,
    Phase,
    StopObserved,
    Stopping,
)
from models.stopping_admission import Admission

GRACE = 8
"""Ticks, of a second each, from the signal until a process is killed."""

LOOKS = 20
"""Looks of a stopping process in a tick; `STOP_CHECK_SECONDS` of the gateway is 0.05 s."""

LOADING_LEAST = 1
"""Ticks from the end of a process until the next one listens; 1.0 to 1.2 s were measured."""

LOADING_MOST = 2
"""The same at most, as of a slower machine."""

LAGS = (0, 1, 2)
"""Polls, of a second each, after which the balancer notices that a host is ready or is not."""

LISTENS_FREELY = 5.0
"""Seconds from the signal for which a host can listen and still end what it reads then.

That leaves 2.6 s of the 8 s.  Five in eight streams take less than 2 s.
"""

ENDS_FREELY = 7.0
"""Seconds from the signal until which a process can wait for a request that is being read."""

TURNED = 2
"""Tick from the signal, counted from zero, in which callers have been sent elsewhere."""

PLACE = PlaceName("a")


class Mode(Enum):
    """What the process of a host does."""

    SERVING = "serves"
    STOPPING = "was told to stop"
    LOADING = "is loaded"


class Host(Struct, frozen=True, kw_only=True):
    """A host between two ticks.

    Attributes:
        mode: What its process does.
        since: Ticks since it was told to stop.
        loaded: Ticks for which its process has been loaded.
        told: Ticks from the signal to the moment that the stop goes by; none but in a mutation.
        begun: Ticks from the signal to the moment at which the process takes it.
        phase: How far the stop has come.
        phase_since: Since when, in seconds from the signal that the stop goes by.
        known: Most neighbours that it knew of since the signal.
        early: Ticks that the longest request needs which was read before the signal.
        late: The same, of those that were read after it.
        left: Whether the caller of the former has left, so that it has no connection.
        kept: Whether a caller keeps a connection on which nothing is open.
        reading: Whether a request is being read on another one.
        held: Whether the signal came while the process was being loaded.
        seen: Whether the balancer has it in rotation.
        lag: Ticks until the balancer notices that this is wrong.
    """

    mode: Mode = Mode.SERVING
    since: int = 0
    loaded: int = 0
    told: int = 0
    begun: int = 0
    phase: Phase = Phase.LISTENING
    phase_since: float = 0.0
    known: int = 0
    early: int = 0
    late: int = 0
    left: bool = False
    kept: bool = False
    reading: bool = False
    held: bool = False
    seen: bool = True
    lag: int = 0

    @property
    def ready(self) -> bool:
        """Whether it says that it takes new connections."""
        return self.mode is Mode.SERVING

    @property
    def due(self) -> bool:
        """Whether it listens before any more time passes."""
        return self.mode is Mode.LOADING and self.loaded >= LOADING_MOST

    @property
    def only_answers(self) -> bool:
        """Whether it takes no new connections and answers what is open."""
        return self.mode is Mode.STOPPING and self.phase is not Phase.LISTENING

    @property
    def listens(self) -> bool:
        """Whether it takes new connections, said or not."""
        return self.mode is not Mode.LOADING and not self.only_answers


class Load(Struct, frozen=True, kw_only=True):
    """What is open at a host as it is told to stop."""

    early: int = 0
    left: bool = False
    kept: bool = False
    reading: bool = False


class Bounds(Struct, frozen=True, kw_only=True):
    """What a search tries.

    Attributes:
        hosts: Hosts of the failure domain.
        loads: What may be open as a host is told to stop.
        lengths: Ticks that requests take which callers send to a host that stops.
        lags: Polls, of a second each, after which the balancer may notice that a host is ready or
            is not.
        held: Whether processes are also told to stop while they are loaded.
    """

    hosts: int
    loads: tuple[Load, ...]
    lengths: tuple[int, ...]
    lags: tuple[int, ...] = LAGS
    held: bool = False


class Passed(Struct, frozen=True, kw_only=True):
    """What a tick did to one host.

    Attributes:
        host: The host after it.
        closed: The look of the tick in which it stopped listening, or -1.
        promise: The promise that it broke, or an empty string.
    """

    host: Host
    closed: int = -1
    promise: str = ""


ENDS_IN_GRACE = "a stop ends by its grace"
DECIDED = "no request is undecided at the end of its process"
CAN_END = "nothing is begun that cannot end in the grace"
NOTICED = "no host stops listening before the balancer has noticed that it leaves"
READS_ON = "no process ends before its grace while a request is being read"
ENDS_EARLY = "a host with nothing open ends early where others serve, or in its turn"
IN_TURN = "where fewer than half are ready, hosts that leave stop listening in their turn"
SOMEBODY_LISTENS = "no host stops listening while nobody else listens, if its grace allows on"
KNOWN_CLOSED = "the same, where a host named after it leaves and has stopped listening before"
"""Not kept, and not among `PROMISES`.

Membership does not tell hosts that still listen from those that only answer.
"""

PROMISES = (
    ENDS_IN_GRACE,
    DECIDED,
    CAN_END,
    NOTICED,
    READS_ON,
    ENDS_EARLY,
    IN_TURN,
    SOMEBODY_LISTENS,
)


def steps_of(
    host: Host, bounds: Bounds, admission: Admission, *, used: bool
) -> Iterator[tuple[str, Host]]:
    """Yield what may happen to a host between two ticks.

    Args:
        host: The host.
        bounds: What is tried.
        admission: The product's own.
        used: Whether the balancer sends new connections to it.
    """
    if host.mode is Mode.SERVING:
        for load in bounds.loads:
            told = replace(
                host,
                mode=Mode.STOPPING,
                early=load.early,
                left=load.left,
                kept=load.kept,
                reading=load.reading,
            )
            for lag in bounds.lags:
                yield f"SIGTERM, {_told(load)}, noticed after {lag}", _unnoticed(told, lag)
    elif host.mode is Mode.LOADING:
        if bounds.held and not host.held:
            yield "SIGTERM while it is loaded", replace(host, held=True)
        if host.loaded >= LOADING_LEAST:
            yield from _listen(host, bounds)
    elif host.mode is Mode.STOPPING:
        yield "a second SIGTERM", tell_again(host)
        yield from _read(host, bounds, admission, used=used)


def _listen(host: Host, bounds: Bounds) -> Iterator[tuple[str, Host]]:
    """Yield how a process goes on that has been loaded; a signal counts from when it was noted."""
    if host.held:
        told = replace(
            host,
            mode=Mode.STOPPING,
            loaded=0,
            begun=host.since,
            phase_since=float(host.since),
        )
        yield "listens, and is told", told
        yield "listens, takes who waits, and is told", replace(told, reading=True)
        return
    serving = Host(mode=Mode.SERVING, seen=host.seen)
    for lag in bounds.lags:
        yield f"listens, noticed after {lag}", _unnoticed(serving, lag)


def _read(
    host: Host, bounds: Bounds, admission: Admission, *, used: bool
) -> Iterator[tuple[str, Host]]:
    """Yield what callers may send to a host that stops."""
    comes = host.phase is Phase.LISTENING and (used or host.kept)
    for length in bounds.lengths:
        begun = admission.admits(length, at=host.since - host.told)
        late = max(host.late, length) if begun else host.late
        verb = "begins" if begun else "refuses"
        if comes:
            yield f"{verb} a request of {length}", replace(host, late=late, kept=False)
        if host.reading:
            yield f"{verb} the one it read, of {length}", replace(host, late=late, reading=False)


def tell_again(host: Host) -> Host:
    """Return what another signal makes of a host that stops: the event is set already."""
    return host


def _told(load: Load) -> str:
    parts = [f"{load.early} open"] if load.early else ["nothing open"]
    parts += ["left by its caller"] if load.left else []
    parts += ["a connection kept"] if load.kept else []
    parts += ["one being read"] if load.reading else []
    return ", ".join(parts)


def _unnoticed(host: Host, lag: int) -> Host:
    if lag == 0 or host.seen == host.ready:
        return replace(host, seen=host.ready, lag=0)
    return replace(host, lag=lag)


def used_hosts(hosts: tuple[Host, ...]) -> tuple[bool, ...]:
    """Return to which hosts the balancer sends new connections, by the platform's rule."""
    seen = tuple(host.seen for host in hosts)
    if not any(seen) or 2 * sum(seen) >= len(hosts):
        return seen
    return (True,) * len(hosts)


def neighbours_in(hosts: tuple[Host, ...], number: int) -> Neighbours:
    """Return what one of the hosts knows of the others, by the product's own reckoning.

    A process that has ended has told its peers so; the next one is unknown until it listens.
    """
    statuses = {Mode.SERVING: MemberStatus.ALIVE, Mode.STOPPING: MemberStatus.LEAVING}
    members = [
        Member(
            incarnation=Incarnation(host=_name(place), started=1),
            place=PLACE,
            address=_name(place),
            status=statuses[host.mode],
        )
        for place, host in enumerate(hosts)
        if host.mode in statuses
    ]
    return _stopping.neighbours_of(_name(number), PLACE, members)


def _name(number: int) -> HostName:
    return HostName(f"host {number + 1}")


def pass_tick(host: Host, neighbours: Neighbours, *, may_go: bool) -> Passed:
    """Return what a tick does to a host.

    Args:
        host: The host.
        neighbours: What it knows of the others.
        may_go: Whether others serve in its place, or it is its turn.
    """
    if host.mode is Mode.SERVING:
        return Passed(host=_notice(host))
    if host.mode is Mode.LOADING:
        since = host.since + 1 if host.held else 0
        return Passed(host=_notice(replace(host, loaded=host.loaded + 1, since=since)))
    passed = _follow(host, neighbours)
    passed = replace(passed, host=_notice(passed.host))
    empty = not (host.early or host.late or host.reading)
    slow = passed.host.mode is Mode.STOPPING and host.since - host.begun >= TURNED
    if not passed.promise and slow and empty and may_go:
        return replace(passed, promise=ENDS_EARLY)
    return passed


def _notice(host: Host) -> Host:
    if host.seen == host.ready:
        return host
    left = host.lag - 1
    return replace(host, lag=left) if left > 0 else replace(host, seen=host.ready, lag=0)


def _follow(host: Host, neighbours: Neighbours) -> Passed:
    """Let a process that stops look until the tick is over or the process is."""
    stop = _stopping.begin_stop(now=0.0, grace=GRACE)
    stop.phase, stop.phase_since, stop.known = host.phase, host.phase_since, host.known
    closed = -1
    promise = ""
    unread = False
    for look in range(LOOKS):
        now = (host.since - host.told) + look / LOOKS
        for effect in _stopping.advance(stop, _looked(host, neighbours, now=now, unread=unread)):
            if isinstance(effect, CloseListener):
                closed = look
                promise = promise or (NOTICED if host.seen else "")
            if isinstance(effect, CloseIdle):
                host = replace(host, kept=False)
            if isinstance(effect, EndRequests):
                promise = promise or (CAN_END if host.late else "")
                unread = bool(host.late or (host.early and not host.left))
                host = replace(host, early=0, late=0)
        if stop.phase is Phase.OVER:
            promise = promise or _broken_at_end(host, now=now)
            ended = Host(mode=Mode.LOADING, seen=host.seen, lag=host.lag)
            return Passed(host=ended, closed=closed, promise=promise)
    return _outlast(host, stop, closed=closed, promise=promise)


def _broken_at_end(host: Host, *, now: float) -> str:
    """Return the promise that a process broke as it ended."""
    if host.early or host.late:
        return DECIDED
    return READS_ON if host.reading and now < ENDS_FREELY else ""


def _looked(host: Host, neighbours: Neighbours, *, now: float, unread: bool) -> StopObserved:
    """Return what a host sees; callers that read no last answer keep their connections."""
    with_caller = (host.early and not host.left, host.late, host.kept, host.reading, unread)
    return StopObserved(
        now=now,
        connections=sum(map(bool, with_caller)),
        open_requests=sum(map(bool, (host.early, host.late))),
        neighbours=neighbours,
    )


def _outlast(host: Host, stop: Stopping, *, closed: int, promise: str) -> Passed:
    """Return a host whose process goes on after a tick, unless it is killed now."""
    if host.since + 1 >= GRACE:
        killed = Host(mode=Mode.LOADING, seen=host.seen, lag=host.lag)
        return Passed(host=killed, closed=closed, promise=promise or ENDS_IN_GRACE)
    after = replace(
        host,
        since=host.since + 1,
        phase=stop.phase,
        phase_since=stop.phase_since,
        known=stop.known,
        early=max(0, host.early - 1),
        late=max(0, host.late - 1),
    )
    return Passed(host=_forget_caller(after), closed=closed, promise=promise)


def _forget_caller(host: Host) -> Host:
    return replace(host, left=False) if host.left and not host.early else host
