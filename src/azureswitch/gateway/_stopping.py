"""State machine of a graceful stop.

A leaving host becomes unready immediately, but keeps listening while the load balancer still sends
it callers.  Then it stops listening, closes connections as they become idle, and exits: early if
nothing is open, otherwise after ending the open requests when the grace period expires.

The hosts of a failure domain are often restarted in quick succession.  The load balancer excludes
unready hosts only while at least half of their domain is ready; otherwise it sends callers to all
of them, listening or not.  So hosts that leave together stop listening one after the other, in the
order of their names, as far as the grace period permits.
"""

from collections.abc import Iterable
from enum import Enum

from msgspec import Struct

from azureswitch.coordination.membership import Member, MemberStatus, live_hosts
from azureswitch.core import Effect, Effects, Event, HostName, PlaceName
from azureswitch.serving import BALANCER_SECONDS

LINGER_SECONDS = BALANCER_SECONDS
"""Seconds for which a leaving process listens before it may close its listener.

They are capped at half of the time from the stop order until the open requests are ended, which
matters when the grace period is short.
"""

CLOSE_MARGIN = 2.0
"""Seconds before the open requests are ended at which a process stops listening in any case.

Most requests take less.  The same cap applies as to `LINGER_SECONDS`.
"""

EXIT_MARGIN = 0.4
"""Seconds before the platform would kill the process at which a stop ends the open requests.

The process uses them to send the final answers and to exit by itself.
"""

FLUSH_SECONDS = 0.15
"""Seconds for sending the final answers; callers are within 10 ms."""


class Neighbours(Struct, frozen=True, kw_only=True):
    """Counts of the known other hosts of the same failure domain.

    Attributes:
        known: All of them, in any state.
        ready: Those that accept new connections.
        before: Leaving hosts that stop listening before this one.
        after: Leaving hosts that stop listening after this one.
    """

    known: int = 0
    ready: int = 0
    before: int = 0
    after: int = 0


def neighbours_of(host: HostName, place: PlaceName, members: Iterable[Member]) -> Neighbours:
    """Count the other hosts of a host's failure domain by state.

    Args:
        host: The host that is left out.
        place: The failure domain.
        members: All known hosts.
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
    """The phases of a stop."""

    LISTENING = "new connections are taken"
    CLOSING = "no new connections are taken, and idle ones are closed"
    FLUSHING = "all requests have their answers, which leave"
    OVER = "the process may end"


class StopObserved(Event, frozen=True, kw_only=True):
    """The observed state of a stopping process and its neighbours.

    Attributes:
        connections: Connections of callers that are open.
        open_requests: Requests that have not been answered, and tunnels that are carried for
            other hosts; a caller may have left a request whose outcome is still wanted.
        neighbours: The other hosts of its failure domain.
    """

    connections: int
    open_requests: int
    neighbours: Neighbours


class CloseListener(Effect, frozen=True, kw_only=True):
    """Stop accepting new connections."""


class CloseIdle(Effect, frozen=True, kw_only=True):
    """Close the connections on which no request is being read or answered."""


class EndRequests(Effect, frozen=True, kw_only=True):
    """Give each open request its final answer."""


class Stopping(Struct, kw_only=True):
    """The state of a stop; times are in seconds of the monotonic clock.

    Attributes:
        told: When the stop was ordered.
        end: When the requests that are still open are ended.
        phase: The current phase.
        phase_since: When the current phase began.
        known: The most neighbours known at any observation.  A neighbour that has exited is not
            known until its next process listens, but the load balancer still counts it.  Without
            this maximum a host whose only neighbour is starting would consider itself alone, and
            for that second no host would listen; the model of stops shows this with two hosts
            that are stopped at once.
    """

    told: float
    end: float
    phase: Phase = Phase.LISTENING
    phase_since: float = 0.0
    known: int = 0


def begin_stop(*, now: float, grace: float, told: float | None = None) -> Stopping:
    """Return the initial state of a stop.

    Args:
        now: The time, in seconds of the monotonic clock.
        grace: Seconds from the stop order until the process would be killed.
        told: When the stop was ordered, if before ``now``.
    """
    since = now if told is None else told
    return Stopping(told=since, end=since + max(0.0, grace - EXIT_MARGIN), phase_since=now)


def advance(stop: Stopping, event: StopObserved) -> Effects:
    """Advance a stop and return the effects that are due.

    Args:
        stop: The stop, which is updated in place.
        event: The current observation.

    Returns:
        The effects to execute, in order.
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
    # Closing the listener accepts the pending connections, which this observation does not count.
    idle = not (closes or event.connections or event.open_requests)
    if flushed or idle:
        _enter(stop, Phase.OVER, now=event.now)
    return effects


def _enter(stop: Stopping, phase: Phase, *, now: float) -> None:
    stop.phase = phase
    stop.phase_since = now


def _may_close(stop: Stopping, event: StopObserved) -> bool:
    """Return whether to stop listening: out of rotation, this host's turn, or time running out."""
    span = stop.end - stop.told
    if event.now >= stop.end - min(CLOSE_MARGIN, span / 2.0):
        return True
    # Counted from the phase, not from the order: a process that has just started knows no
    # neighbours yet.
    if event.now < stop.phase_since + min(LINGER_SECONDS, span / 2.0):
        return False
    others = event.neighbours
    passed_over = 2 * others.ready >= stop.known + 1
    my_turn = not others.before and others.ready + others.after > 0
    return passed_over or my_turn or not stop.known
