"""Decides when a process that is told to stop takes which step of it.

A host that leaves is not ready at once, but goes on listening while the balancer still sends it
callers.  Then it stops listening, closes connections as they become idle, and ends: early where
nothing is open, or by deciding what is open as its time of grace runs out.

The hosts of a failure domain are often restarted in quick series.  The balancer leaves out hosts
that are not ready only while half of their domain is; with fewer it sends callers to all of them,
whether they listen or not.  So hosts that leave together stop listening one after the other,
in the order of their names, as far as the time of grace permits.
"""

from collections.abc import Iterable
from enum import Enum

from msgspec import Struct

from azureswitch.coordination.membership import Member, MemberStatus, live_hosts
from azureswitch.core import Effect, Effects, Event, HostName, PlaceName
from azureswitch.serving import TURNED_SECONDS

LINGER_SECONDS = TURNED_SECONDS
"""Seconds for which a leaving process listens at least."""

CLOSE_MARGIN = 2.0
"""Seconds before the end in which a process does not listen any more: most requests take less."""

EXIT_MARGIN = 0.4
"""Seconds before the process would be killed at which it ends of itself."""

FLUSH_SECONDS = 0.15
"""Seconds in which the answers that are given at the end leave; callers are within 10 ms."""


class Neighbours(Struct, frozen=True, kw_only=True):
    """The other hosts of the same failure domain, as far as is known.

    Attributes:
        known: How many there are, whatever they do.
        ready: How many take new connections.
        before: How many leave as well and stop listening before this one.
        after: How many leave as well and listen for longer than this one.
    """

    known: int = 0
    ready: int = 0
    before: int = 0
    after: int = 0


def neighbours_of(host: HostName, place: PlaceName, members: Iterable[Member]) -> Neighbours:
    """Return what the hosts of a failure domain do, but for one of them.

    Args:
        host: The one.
        place: The failure domain.
        members: All hosts that are known of.
    """
    others = [m for m in members if m.place == place and m.incarnation.host != host]
    leaving = [m.incarnation.host for m in others if m.status is MemberStatus.LEAVING]
    before = sum(name < host for name in leaving)
    return Neighbours(
        known=len(others),
        ready=len(live_hosts(others)),
        before=before,
        after=len(leaving) - before,
    )


class Phase(Enum):
    """How far a stop has come."""

    LISTENING = "new connections are taken"
    CLOSING = "no new connections are taken, and idle ones are closed"
    FLUSHING = "all requests have their answers, which leave"
    OVER = "the process may end"


class StopObserved(Event, frozen=True, kw_only=True):
    """What a stopping process sees of itself and of its neighbours.

    Attributes:
        connections: Connections of callers that are open.
        open_requests: Requests that have not been answered; a caller may have left one whose
            outcome is still wanted.
        neighbours: The other hosts of its failure domain.
    """

    connections: int
    open_requests: int
    neighbours: Neighbours


class CloseListener(Effect, frozen=True, kw_only=True):
    """Take no new connections."""


class CloseIdle(Effect, frozen=True, kw_only=True):
    """Close the connections on which no request is being read or answered."""


class EndRequests(Effect, frozen=True, kw_only=True):
    """Give each open request its final answer."""


class Stopping(Struct, kw_only=True):
    """A stop under way, in seconds of the monotonic clock.

    Attributes:
        told: When the process was told to stop.
        end: When what is still open is decided.
        phase: How far it has come.
        phase_since: Since when.
        known: Most neighbours known of at one look.  One whose process has ended is not among them
            until the next one listens, but the balancer counts it.  Else a host whose only
            neighbour is being loaded takes itself for alone, and nobody listens for that second,
            as the model of stops shows with two hosts that are stopped at once.
    """

    told: float
    end: float
    phase: Phase = Phase.LISTENING
    phase_since: float = 0.0
    known: int = 0


def begin_stop(*, now: float, grace: float, told: float | None = None) -> Stopping:
    """Return a stop that begins.

    Args:
        now: The time, in seconds of the monotonic clock.
        grace: Seconds from the order until the process would be killed.
        told: When the order was given, where that was before now.
    """
    since = now if told is None else told
    return Stopping(told=since, end=since + max(0.0, grace - EXIT_MARGIN), phase_since=now)


def advance(stop: Stopping, event: StopObserved) -> Effects:
    """Take the steps of a stop that are due.

    Args:
        stop: The stop, which is updated in place.
        event: What is seen now.

    Returns:
        What is to be done, in order.
    """
    effects: list[Effect] = []
    stop.known = max(stop.known, event.neighbours.known)
    closes = stop.phase is Phase.LISTENING and _may_close(stop, event)
    if closes:
        _enter(stop, Phase.CLOSING, now=event.now)
        effects.append(CloseListener())
    if stop.phase is Phase.LISTENING:
        return effects
    effects.append(CloseIdle())
    if stop.phase is Phase.CLOSING and event.now >= stop.end:
        _enter(stop, Phase.FLUSHING, now=event.now)
        effects.append(EndRequests())
        return effects
    flushed = stop.phase is Phase.FLUSHING and event.now >= stop.phase_since + FLUSH_SECONDS
    # Callers who wait to connect are taken as the listener is closed, after this was seen.
    idle = not (closes or event.connections or event.open_requests)
    if flushed or idle:
        _enter(stop, Phase.OVER, now=event.now)
    return effects


def _enter(stop: Stopping, phase: Phase, *, now: float) -> None:
    stop.phase = phase
    stop.phase_since = now


def _may_close(stop: Stopping, event: StopObserved) -> bool:
    """Return whether to stop listening: callers go elsewhere, it is this host's turn, or late."""
    span = stop.end - stop.told
    if event.now >= stop.end - min(CLOSE_MARGIN, span / 2.0):
        return True
    # Not from the order: a process that has just been loaded knows none of its neighbours yet.
    if event.now < stop.phase_since + min(LINGER_SECONDS, span / 2.0):
        return False
    others = event.neighbours
    passed_over = 2 * others.ready >= stop.known + 1
    my_turn = not others.before and others.ready + others.after > 0
    return passed_over or my_turn or not stop.known
