"""What a host believes of its own paths to targets, as a reducer.

It answers the load of requests at a host that has lost direct connections to some or all targets.
A path is lost once a direct connection could not be opened while another host reached the target,
or once several in a row were opened and not answered.  If that happens at several targets and
nothing is heard from any, all direct paths count as lost.  A wrong guess, such as after a request
that crashes its targets, costs a detour.  A lost path says nothing of the target to other hosts:
nothing here is shared with them.
"""

from functools import singledispatch
from math import inf

from msgspec import Struct, field

from azureswitch.core import NO_EFFECTS, Effects, HostName
from azureswitch.exceptions import NotSent, TunnelRefusal
from azureswitch.paths._events import (
    DirectAnswered,
    DirectFailed,
    DirectOpened,
    DirectUnanswered,
    PathEvent,
    PathLost,
    PathRegained,
    TunnelOpened,
    TunnelRefused,
)

CONFIRM_SECONDS = 1.0
"""Most seconds between a failed direct connection and a tunnel that confirms the path as lost."""

MIN_TRIAL_SECONDS = 0.5
"""Seconds until a direct connection is tried again for the first time after a path was lost."""

MAX_TRIAL_SECONDS = 4.0
"""Upper bound of that time, which doubles with each trial that fails."""

FLAP_SECONDS = 10.0
"""Seconds after a path was regained in which a new loss counts as one more failed trial."""

BELIEF_SECONDS = 15.0
"""Seconds without a failed direct connection after which a lost path counts as unknown."""

WITNESS_SECONDS = 1.0
"""Seconds for which a direct connection shows that a host reaches targets."""

MIN_ISOLATED_TARGETS = 3
"""Targets that are tried in vain before a host takes itself to reach none."""

MAX_UNANSWERED = 2
"""Direct connections to one target, opened in a row and not answered, after which it is lost."""

MIN_UNHEARD_TARGETS = 3
"""Targets that leave a direct connection unanswered before all direct paths count as lost."""

UNANSWERED_TRIAL_SECONDS = 1.0
"""Least seconds between two trials of paths that open but are not answered.

Each delays a request by the time until its target counts as silent.
"""

AVOID_SECONDS = {
    TunnelRefusal.NOT_A_HOST: 1.0,
    TunnelRefusal.UNKNOWN_TARGET: 0.0,
    TunnelRefusal.WITHHELD: 0.0,
    TunnelRefusal.LEAVING: 8.0,
    TunnelRefusal.BUSY: 0.5,
    TunnelRefusal.NO_PATH: 1.0,
    TunnelRefusal.UNREACHABLE: 0.0,
    TunnelRefusal.NOT_LISTENING: 5.0,
    TunnelRefusal.NO_ANSWER: 2.0,
    TunnelRefusal.UNANSWERED: 1.0,
    TunnelRefusal.OTHER: 1.0,
}
"""Seconds for which a host is asked for no tunnel after a refusal."""


class Path(Struct, kw_only=True):
    """What is known of the direct path to one target.

    Attributes:
        opened_at: When a direct connection was last opened.
        failed_at: When one last failed, or was last found unanswered.
        reason: Why it could not be opened; None if it was not answered.
        unanswered: Direct connections in a row that were opened and not answered.
        tunnelled_at: When a tunnel was last opened.
        peer: The host that carried it.
        lost_since: Since when the path is lost, or None.
        confirmed: Whether another host has reached the target since, so that the target lives.
        regained_at: When it was last regained.
        trial_at: When a direct connection may be tried again.
        trial_seconds: The pause before that trial.
    """

    opened_at: float = -inf
    failed_at: float = -inf
    reason: NotSent | None = None
    unanswered: int = 0
    tunnelled_at: float = -inf
    peer: HostName = HostName("")
    lost_since: float | None = None
    confirmed: bool = False
    regained_at: float = -inf
    trial_at: float = -inf
    trial_seconds: float = MIN_TRIAL_SECONDS


class PathsState(Struct, kw_only=True):
    """What a host knows of its paths.

    Attributes:
        paths: The paths by ``IP:PORT`` of their targets.
        avoid_until: Until when hosts whose last tunnel was refused are asked for none.
        opened_at: When a direct connection to any target was last opened.
        tunnelled_at: When a tunnel to any target was last opened.
        unheard_targets: The targets that left a direct connection unanswered since any target last
            answered one.
        unheard_at: When that last happened.
        unanswered_trial_at: When a path that opens but is not answered may be tried again.
    """

    paths: dict[str, Path] = field(default_factory=dict)
    avoid_until: dict[HostName, float] = field(default_factory=dict)
    opened_at: float = -inf
    tunnelled_at: float = -inf
    unheard_targets: set[str] = field(default_factory=set)
    unheard_at: float = -inf
    unanswered_trial_at: float = -inf

    def path(self, address: str) -> Path:
        """Return what is known of the path to a target, to be updated."""
        known = self.paths.get(address)
        if known is None:
            known = self.paths[address] = Path()
        return known

    def lost(self, address: str, *, now: float) -> bool:
        """Return whether the direct path to a target is believed to be lost."""
        path = self.paths.get(address)
        if path is None or path.lost_since is None:
            return False
        return now - path.failed_at < BELIEF_SECONDS

    def unanswered(self, address: str, *, now: float) -> bool:
        """Return whether direct connections to a target are opened but not answered."""
        if self.unheard(now=now):
            return True
        return self.lost(address, now=now) and self.paths[address].reason is None

    def leads_to(self, address: str, *, now: float) -> bool:
        """Return whether the direct path to a target is believed to carry requests."""
        return not self.lost(address, now=now) and not self.unheard(now=now)

    def unheard(self, *, now: float) -> bool:
        """Return whether no target is heard on direct connections, though they are opened."""
        recent = now - self.unheard_at < BELIEF_SECONDS
        return recent and len(self.unheard_targets) >= MIN_UNHEARD_TARGETS

    def lost_seconds(self, *, now: float) -> dict[str, float]:
        """Return the paths that are surely lost, with the seconds since their loss."""
        return {
            address: now - path.lost_since
            for address, path in self.paths.items()
            if path.lost_since is not None and path.confirmed and self.lost(address, now=now)
        }

    def take_trial(self, address: str, *, now: float) -> bool:
        """Return whether a lost path should be tried directly now, by one caller at a time."""
        path = self.path(address)
        unanswered = self.unanswered(address, now=now)
        if now < path.trial_at or (unanswered and now < self.unanswered_trial_at):
            return False
        path.trial_at = now + path.trial_seconds
        if unanswered:
            self.unanswered_trial_at = now + UNANSWERED_TRIAL_SECONDS
        return True

    def reaches_others(self, address: str, *, now: float) -> bool:
        """Return whether this host has reached other targets lately, and all that it tried."""
        failed = any(
            path.failed_at > self.opened_at
            for other, path in self.paths.items()
            if other != address
        )
        return now - self.opened_at < WITNESS_SECONDS and not failed

    def isolated(self) -> bool:
        """Return whether no target was reached in any way since several were tried in vain."""
        reached_at = max(self.opened_at, self.tunnelled_at)
        failed = sum(path.failed_at > reached_at for path in self.paths.values())
        return failed >= MIN_ISOLATED_TARGETS

    def available(self, peer: HostName, *, now: float) -> bool:
        """Return whether a host may be asked for a tunnel."""
        return now >= self.avoid_until.get(peer, -inf)

    def refused_last(self, peer: HostName) -> bool:
        """Return whether a host has refused the last tunnel, for a reason of its own."""
        return peer in self.avoid_until

    def keep(self, addresses: frozenset[str]) -> None:
        """Forget the paths to all other addresses."""
        self.paths = {a: path for a, path in self.paths.items() if a in addresses}
        self.unheard_targets &= addresses


@singledispatch
def reduce(event: PathEvent, state: PathsState) -> Effects:
    """Apply an event to the state and return its effects."""
    raise NotImplementedError(type(event))


@reduce.register
def _(event: DirectOpened, state: PathsState) -> Effects:
    path = state.path(event.address)
    state.opened_at = path.opened_at = event.now
    # One that was lost unanswered must be answered first.
    return NO_EFFECTS if path.reason is None else _regain(event.address, path, now=event.now)


@reduce.register
def _(event: DirectAnswered, state: PathsState) -> Effects:
    state.unheard_targets.clear()
    path = state.path(event.address)
    path.unanswered = 0
    return _regain(event.address, path, now=event.now)


@reduce.register
def _(event: DirectFailed, state: PathsState) -> Effects:
    path = state.path(event.address)
    path.failed_at = event.now
    path.reason = event.reason
    if path.lost_since is not None:
        _postpone_trial(path, now=event.now)
        return NO_EFFECTS
    return _lose_if_confirmed(event.address, path, now=event.now)


@reduce.register
def _(event: DirectUnanswered, state: PathsState) -> Effects:
    state.unheard_targets.add(event.address)
    state.unheard_at = event.now
    path = state.path(event.address)
    path.unanswered += 1
    path.failed_at = event.now
    path.reason = None
    if path.lost_since is not None:
        _postpone_trial(path, now=event.now)
        return NO_EFFECTS
    if path.unanswered < MAX_UNANSWERED:
        return NO_EFFECTS
    _lose(path, now=event.now)
    return NO_EFFECTS


@reduce.register
def _(event: TunnelOpened, state: PathsState) -> Effects:
    path = state.path(event.address)
    state.tunnelled_at = path.tunnelled_at = event.now
    path.peer = event.peer
    state.avoid_until.pop(event.peer, None)
    if path.lost_since is None:
        return _lose_if_confirmed(event.address, path, now=event.now)
    return NO_EFFECTS if path.confirmed else _confirm(event.address, path)


@reduce.register
def _(event: TunnelRefused, state: PathsState) -> Effects:
    pause = AVOID_SECONDS[event.refusal]
    if pause:
        state.avoid_until[event.peer] = event.now + pause
    return NO_EFFECTS


def _lose_if_confirmed(address: str, path: Path, *, now: float) -> Effects:
    """Mark a path as lost if it could not be opened while a tunnel led to its target."""
    confirmed = now - min(path.failed_at, path.tunnelled_at) < CONFIRM_SECONDS
    if path.reason is None or not confirmed or path.opened_at > path.failed_at:
        return NO_EFFECTS
    _lose(path, now=now)
    return _confirm(address, path)


def _lose(path: Path, *, now: float) -> None:
    path.lost_since = now
    path.confirmed = False
    if now - path.regained_at < FLAP_SECONDS:
        _postpone_trial(path, now=now)
    else:
        path.trial_seconds = MIN_TRIAL_SECONDS
        path.trial_at = now + path.trial_seconds


def _confirm(address: str, path: Path) -> Effects:
    path.confirmed = True
    return (PathLost(address=address, reason=path.reason, peer=path.peer),)


def _regain(address: str, path: Path, *, now: float) -> Effects:
    if path.lost_since is None:
        return NO_EFFECTS
    seconds = now - path.lost_since
    path.lost_since = None
    path.regained_at = now
    if not path.confirmed:
        return NO_EFFECTS
    return (PathRegained(address=address, seconds=seconds),)


def _postpone_trial(path: Path, *, now: float) -> None:
    path.trial_seconds = min(MAX_TRIAL_SECONDS, 2.0 * path.trial_seconds)
    path.trial_at = now + path.trial_seconds
