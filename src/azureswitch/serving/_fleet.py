"""The targets of the inventory, and the known state and load of each."""

from collections.abc import Collection, Iterable

from azureswitch.core import CallId, HostName, PlaceName, ServiceName, TargetName
from azureswitch.inventory import Inventory
from azureswitch.ports import LoadReport
from azureswitch.serving._digests import Digest, TargetLoad
from azureswitch.serving._events import HostSelf
from azureswitch.serving._length import Level
from azureswitch.serving._target import PeerLoad, Sent, TargetState, Work
from azureswitch.serving.targets import Pool, group_pools

REPORT_LAG_SECONDS = 0.25
"""Seconds by which the state in a load report may be older than its measured age."""

UNREACHABLE_SECONDS = 1.0
"""Seconds for which a target gets no new work after it did not answer a poll."""

PATHLESS_SECONDS = 1.0
"""Seconds for which a target gets no new work after no path led there."""

FIRST_EJECTION_SECONDS = 1.0
"""Seconds for which a target is avoided after its first failure."""

MAX_EJECTION_SECONDS = 30.0
"""Maximum seconds for which a target is avoided after failures in a row."""

MAX_UNSHARED_EJECTION_SECONDS = 4.0
"""The same for unshared calls; each attempt has its own connection, so a wrong guess is cheap."""

RESERVATION_SECONDS = 1.0
"""Seconds after which a reservation of a target's memory expires unless renewed."""

SUSPECT_SECONDS = 1.0
"""Seconds for which a target that a peer reports as suspect is avoided here too."""


class Fleet:
    """All targets of the inventory, and pools of those that serve the same calls.

    Args:
        myself: This host.
    """

    def __init__(self, *, myself: HostSelf) -> None:
        self._myself = myself
        self._states: dict[TargetName, TargetState] = {}
        self._pools: dict[tuple[ServiceName, str], Pool] = {}
        self._services: set[ServiceName] = set()
        self._loaded: set[TargetName] = set()
        self._suspects: dict[TargetName, float] = {}
        self._reserving_hosts: dict[HostName, float] = {}
        self._reserved: dict[TargetName, tuple[CallId, float]] = {}
        self._peer_targets: dict[HostName, set[TargetName]] = {}
        self._pathless_until = 0.0

    def adopt(self, inventory: Inventory, *, restarted: Collection[TargetName] = ()) -> None:
        """Adopt the targets of a configuration and keep the load of those whose address remains.

        Args:
            inventory: The configuration.
            restarted: Targets that have restarted, whose known load is discarded.
        """
        self._restart(restarted)
        regions = {place.name: place.region for place in inventory.places}
        evacuated = {place.name for place in inventory.places if place.evacuation is not None}
        states: dict[TargetName, TargetState] = {}
        for target in inventory.targets:
            nearness = self._nearness(target.place, regions)
            known = self._states.get(target.name)
            if known is not None and known.target.address == target.address:
                known.target = target
                known.nearness = nearness
                states[target.name] = known
            else:
                states[target.name] = TargetState(target=target, nearness=nearness)
            states[target.name].evacuated = target.place in evacuated
        self._states = states
        self._loaded &= states.keys()
        self._suspects = {n: until for n, until in self._suspects.items() if n in states}
        self._services = {service.name for service in inventory.services}
        self._pools = group_pools(inventory.targets, {s.name: s.pace for s in inventory.services})

    def _restart(self, targets: Collection[TargetName]) -> None:
        """Reset the state of targets, but keep the start in their last load reports as ended."""
        for name in targets:
            known = self._states.get(name)
            if known is not None:
                ended = known.report.started if known.report else known.ended_start
                self._states[name] = TargetState(
                    target=known.target, nearness=known.nearness, ended_start=ended
                )
            self._loaded.discard(name)
            self._suspects.pop(name, None)
            self._reserved.pop(name, None)

    def _nearness(self, place: PlaceName, regions: dict[PlaceName, str]) -> int:
        if place == self._myself.place:
            return 0
        same_region = regions.get(place) == regions.get(self._myself.place)
        return 1 if same_region and place in regions else 2

    def has_service(self, service: ServiceName) -> bool:
        """Return whether the inventory contains a service."""
        return service in self._services

    def pool(self, *, service: ServiceName, model: str) -> Pool | None:
        """Return the targets for a service and model, or None where there are none."""
        return self._pools.get((service, model))

    def has_models(self, service: ServiceName) -> bool:
        """Return whether any target of a service is listed with a model."""
        return any(name == service and model for name, model in self._pools)

    def state(self, target: TargetName) -> TargetState | None:
        """Return the state of a target, or None where the inventory does not contain it."""
        return self._states.get(target)

    def place(self, target: TargetName) -> PlaceName | None:
        """Return the failure domain of a target, or None if the inventory does not contain it."""
        state = self._states.get(target)
        return None if state is None else state.target.place

    def within(self, place: PlaceName) -> list[TargetName]:
        """Return the targets of a failure domain."""
        return [name for name, state in self._states.items() if state.target.place == place]

    def states(self, pool: Pool) -> list[TargetState]:
        """Return the states of all targets of a pool."""
        return [self._states[name] for name in pool.targets if name in self._states]

    def add(self, targets: Iterable[TargetName], *, work: Work, now: float) -> None:
        """Add the load of an attempt that was sent to targets."""
        for name in targets:
            state = self._states.get(name)
            if state is None:
                continue
            state.running += 1
            state.backlog[work.level] += work.seconds
            state.tokens += work.tokens
            state.prune(now)
            state.sent.append(
                Sent(at=now, seconds=work.seconds, tokens=work.tokens, level=work.level)
            )
            self._loaded.add(name)

    def prefilled(self, targets: Iterable[TargetName], *, work: Work) -> None:
        """Remove the prefill of an attempt that delivered its first token or ended before."""
        for name in targets:
            state = self._states.get(name)
            if state is not None:
                state.backlog[work.level] = max(0.0, state.backlog[work.level] - work.seconds)

    def remove(self, targets: Iterable[TargetName], *, work: Work) -> None:
        """Remove the load of an attempt that has ended."""
        for name in targets:
            state = self._states.get(name)
            if state is None:
                continue
            state.running = max(0, state.running - 1)
            state.tokens = max(0, state.tokens - work.tokens)
            if not state.running:
                state.backlog = [0.0] * len(Level)
                self._loaded.discard(name)

    def report(self, report: LoadReport, *, now: float, age: float) -> float:
        """Apply a load report, unless a newer one is known.

        Returns:
            The seconds for which requests have waited there while none runs.
        """
        state = self._states.get(report.target)
        if state is None or 0 < report.started <= state.ended_start:
            return 0.0
        known = state.report
        if known is not None and known.started == report.started:
            if report.sequence <= known.sequence:
                return 0.0
        elif known is not None and report.started < known.started:
            return 0.0
        state.silent_since = None
        state.report = report
        state.report_at = now - age - REPORT_LAG_SECONDS
        state.prune(now)
        if report.running or not report.waiting:
            state.stuck_since = None
        elif state.stuck_since is None:
            state.stuck_since = now
        return 0.0 if state.stuck_since is None else now - state.stuck_since

    def unreachable(self, target: TargetName, *, now: float) -> float:
        """Record an unanswered poll and give the target no new work for a while.

        Returns:
            The seconds since its first unanswered poll.
        """
        state = self._states.get(target)
        if state is None:
            return 0.0
        state.unusable_until = max(state.unusable_until, now + UNREACHABLE_SECONDS)
        self._suspects[target] = state.unusable_until
        if state.silent_since is None:
            state.silent_since = now
        return now - state.silent_since

    def full(self, target: TargetName, *, seconds: float, now: float) -> None:
        """Give a target without free capacity no new work for a given time."""
        state = self._states.get(target)
        if state is not None:
            # There is no upper bound: a target that gets requests in this time cannot recover.
            state.unusable_until = max(state.unusable_until, now + seconds)

    def lose_paths(self, targets: Iterable[TargetName], *, now: float) -> None:
        """Give targets no new work for a while, as no path of this host leads there."""
        self._pathless_until = now + PATHLESS_SECONDS
        for name in targets:
            state = self._states.get(name)
            if state is not None:
                state.pathless_until = self._pathless_until
                state.unusable_until = max(state.unusable_until, state.pathless_until)

    def has_path(self, pool: Pool, *, now: float) -> bool:
        """Return whether a path may lead to one of the targets of a pool that take new work."""
        if now >= self._pathless_until:
            return True
        states = [state for state in self.states(pool) if not state.draining]
        return not states or any(now >= state.pathless_until for state in states)

    def failed(
        self,
        target: TargetName,
        *,
        now: float,
        longest: float = MAX_EJECTION_SECONDS,
        tell: bool = True,
    ) -> None:
        """Eject a target for a time that grows exponentially with consecutive failures.

        Args:
            target: The target.
            now: The time.
            longest: The longest ejection in seconds.
            tell: Whether other hosts are told to suspect it.
        """
        state = self._states.get(target)
        if state is not None:
            state.failures += 1
            state.silences = 0
            pause = min(longest, FIRST_EJECTION_SECONDS * 2.0 ** (state.failures - 1))
            state.ejected_until = now + pause
            if tell:
                self._suspects[target] = state.ejected_until

    def eject_silent(self, target: TargetName, *, now: float, longest: float) -> None:
        """Eject a target that is silent; several requests that wait for it count as one failure.

        Args:
            target: The target.
            now: The time.
            longest: The longest ejection in seconds.
        """
        state = self._states.get(target)
        if state is not None and now >= state.ejected_until:
            silences = state.silences + 1
            self.failed(target, now=now, longest=longest)
            state.silences = silences

    def resume(self, target: TargetName, *, now: float) -> None:
        """Take back the ejection of a silent target, as it has sent output again."""
        state = self._states.get(target)
        if state is not None and state.silences:
            state.failures = max(0, state.failures - state.silences)
            state.silences = 0
            state.ejected_until = now
            self._suspects.pop(target, None)

    def succeeded(self, target: TargetName) -> None:
        """Reset the count of consecutive failures of a target."""
        state = self._states.get(target)
        if state is not None:
            state.failures = state.silences = 0

    def reserve_memory(self, targets: Iterable[TargetName], *, call: CallId, now: float) -> None:
        """Withhold other long prompts from targets for a while, so that memory becomes free."""
        for name in targets:
            self._reserved[name] = (call, now + RESERVATION_SECONDS)

    def may_reserve_memory(self, *, now: float) -> bool:
        """Return whether this host may reserve memory; only one host does at a time.

        If two began at the same time, the one with the greater name yields.
        """
        for host, until in self._reserving_hosts.items():
            if now < until and (not self._reserved or host < self._myself.name):
                return False
        return True

    def release_memory(self, call: CallId) -> None:
        """Release the memory that was reserved for a call."""
        for name in [name for name, (owner, _) in self._reserved.items() if owner == call]:
            del self._reserved[name]

    def saved(self, *, now: float) -> tuple[TargetName, ...]:
        """Return the targets whose memory this host has reserved."""
        return tuple(sorted(name for name, (_, until) in self._reserved.items() if now < until))

    def accepts_long_prompts(self, target: TargetName, *, call: CallId, now: float) -> bool:
        """Return whether a target's memory is not reserved for another call, here or at a peer."""
        owner, until = self._reserved.get(target, (call, 0.0))
        if owner != call and now < until:
            return False
        state = self._states.get(target)
        return state is not None and (owner == call or now >= state.saved_until)

    def suspects(self, *, now: float) -> tuple[TargetName, ...]:
        """Return the targets that failed here and are avoided."""
        self._suspects = {name: until for name, until in self._suspects.items() if now < until}
        return tuple(sorted(self._suspects))

    def takes_work(self, target: TargetName) -> bool:
        """Return whether a target may get new work, however well this host reaches it."""
        state = self._states.get(target)
        return state is not None and not state.evacuated and not state.draining

    def ejected(self, *, now: float) -> int:
        """Return how many targets are avoided since attempts of this host failed."""
        return sum(now < state.ejected_until for state in self._states.values())

    def suspected(self, *, now: float) -> int:
        """Return how many targets are avoided since another host reports them as suspect."""
        return sum(now < state.suspected_until for state in self._states.values())

    def set_hosts(self, hosts: Iterable[HostName]) -> None:
        """Set the live hosts and forget the outstanding work of all others."""
        for host in self._peer_targets.keys() - set(hosts):
            for name in self._peer_targets.pop(host):
                state = self._states.get(name)
                if state is not None:
                    state.peers.pop(host, None)

    def apply_digest(self, digest: Digest, *, now: float) -> None:
        """Apply the loads, suspects and reservations in a peer's digest."""
        if digest.loads or self._peer_targets.get(digest.host):
            self._apply_loads(digest, now=now)
        for name in digest.suspects:
            known = self._states.get(name)
            if known is not None:
                known.suspected_until = now + SUSPECT_SECONDS
        if digest.saved:
            self._reserving_hosts[digest.host] = now + RESERVATION_SECONDS
        else:
            self._reserving_hosts.pop(digest.host, None)
        for name in digest.saved:
            known = self._states.get(name)
            if known is not None:
                known.saved_until = now + RESERVATION_SECONDS

    def _apply_loads(self, digest: Digest, *, now: float) -> None:
        loads = {load.target: load for load in digest.loads}
        for name in self._peer_targets.get(digest.host, set()) - loads.keys():
            gone = self._states.get(name)
            if gone is not None:
                gone.peers.pop(digest.host, None)
        self._peer_targets[digest.host] = set(loads)
        for name, load in loads.items():
            known = self._states.get(name)
            if known is not None:
                last = known.peers.get(digest.host)
                before = last.load if last else None
                known.peers[digest.host] = PeerLoad(load=load, at=now, before=before)

    def loads(self) -> tuple[TargetLoad, ...]:
        """Return this host's outstanding work per target."""
        states = (self._states[name] for name in sorted(self._loaded))
        return tuple(
            TargetLoad(
                target=state.target.name,
                urgent=round(state.backlog[Level.SHORT], 3),
                middle=round(state.backlog[Level.MIDDLE], 3),
                total=round(sum(state.backlog), 3),
                tokens=state.tokens,
            )
            for state in states
        )
