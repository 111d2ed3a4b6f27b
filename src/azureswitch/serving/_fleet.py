"""The targets, and what is known of the work that each of them has."""

from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from azureswitch.core import CallId, HostName, PlaceName, ServiceName, TargetName
from azureswitch.inventory import EnginePace, Inventory, Target
from azureswitch.ports import LoadReport
from azureswitch.serving._digests import Digest, TargetLoad
from azureswitch.serving._events import HostSelf
from azureswitch.serving._length import Level
from azureswitch.serving._target import PeerLoad, Sent, TargetState, Work

REPORT_LAG = 0.25
"""Seconds by which a load report may be older than its arrival tells."""

UNREACHABLE_SECONDS = 1.0
"""Seconds for which a target that did not answer a poll gets no new work."""

FIRST_EJECTION_SECONDS = 1.0
"""Seconds for which a target is avoided after its first failure."""

MAX_EJECTION_SECONDS = 30.0
"""Seconds for which a target is avoided after many failures."""

MAX_UNSHARED_EJECTION_SECONDS = 4.0
"""The same where connections are made anew for each attempt, so that a wrong guess costs little."""

SAVE_SECONDS = 1.0
"""Seconds for which a target is saved unless that is renewed."""

SUSPECT_SECONDS = 1.0
"""Seconds for which a target that a peer keeps out of use is avoided here too."""


class Pool(Struct, frozen=True, kw_only=True):
    """The targets that can serve the same calls.

    Attributes:
        service: The service.
        model: The model; empty for plain services.
        targets: Their names in an order that all hosts agree on; the first take long prompts.
        longest: The most prompt tokens that one of them can hold; zero for plain targets.
        pace: How fast its engines work, or None where that is not published.
    """

    service: ServiceName
    model: str
    targets: tuple[TargetName, ...]
    longest: int
    pace: EnginePace | None = None


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
        self._savers: dict[HostName, float] = {}
        self._saved: dict[TargetName, tuple[CallId, float]] = {}
        self._heard: dict[HostName, set[TargetName]] = {}

    def adopt(self, inventory: Inventory, *, restarted: Collection[TargetName] = ()) -> None:
        """Take over the targets of a configuration and keep what is known of their load.

        Args:
            inventory: The configuration.
            restarted: Targets that have started again, of which nothing is kept.
        """
        self._restart(restarted)
        regions = {place.name: place.region for place in inventory.places}
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
        self._states = states
        self._loaded &= states.keys()
        self._suspects = {n: until for n, until in self._suspects.items() if n in states}
        self._services = {service.name for service in inventory.services}
        self._pools = _pools(inventory.targets, {s.name: s.pace for s in inventory.services})

    def _restart(self, targets: Collection[TargetName]) -> None:
        """Forget all that is known of targets but which of their reports are over."""
        for name in targets:
            known = self._states.get(name)
            if known is not None:
                ended = known.report.started if known.report else known.ended_start
                self._states[name] = TargetState(
                    target=known.target, nearness=known.nearness, ended_start=ended
                )
            self._loaded.discard(name)
            self._suspects.pop(name, None)
            self._saved.pop(name, None)

    def _nearness(self, place: PlaceName, regions: dict[PlaceName, str]) -> int:
        if place == self._myself.place:
            return 0
        same_region = regions.get(place) == regions.get(self._myself.place)
        return 1 if same_region and place in regions else 2

    def has_service(self, service: ServiceName) -> bool:
        """Return whether the inventory holds a service."""
        return service in self._services

    def pool(self, *, service: ServiceName, model: str) -> Pool | None:
        """Return the targets for a service and model, or None where there are none."""
        return self._pools.get((service, model))

    def state(self, target: TargetName) -> TargetState | None:
        """Return what is known of a target, or None where the inventory does not hold it."""
        return self._states.get(target)

    def place(self, target: TargetName) -> PlaceName | None:
        """Return the failure domain of a target, or None where the inventory does not hold it."""
        state = self._states.get(target)
        return None if state is None else state.target.place

    def within(self, place: PlaceName) -> list[TargetName]:
        """Return the targets of a failure domain."""
        return [name for name, state in self._states.items() if state.target.place == place]

    def states(self, pool: Pool) -> list[TargetState]:
        """Return what is known of all targets of a pool."""
        return [self._states[name] for name in pool.targets if name in self._states]

    def add(self, targets: Iterable[TargetName], *, work: Work, now: float) -> None:
        """Count an attempt that was sent to targets."""
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
        """Count that an attempt delivered its first token or ended before it."""
        for name in targets:
            state = self._states.get(name)
            if state is not None:
                state.backlog[work.level] = max(0.0, state.backlog[work.level] - work.seconds)

    def remove(self, targets: Iterable[TargetName], *, work: Work) -> None:
        """Count that an attempt ended."""
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
        """Take over a load report, unless a newer one is known.

        Returns:
            For how many seconds requests have waited there although none runs.
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
        state.report_at = now - age - REPORT_LAG
        state.prune(now)
        if report.running or not report.waiting:
            state.stuck_since = None
        elif state.stuck_since is None:
            state.stuck_since = now
        return 0.0 if state.stuck_since is None else now - state.stuck_since

    def unreachable(self, target: TargetName, *, now: float) -> float:
        """Give a target no new work for a while.

        Returns:
            For how many seconds it has not answered.
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
        """Give a target that has no room now no new work for as long as it says."""
        state = self._states.get(target)
        if state is not None:
            # However long: a target that is asked again meanwhile cannot recover.
            state.unusable_until = max(state.unusable_until, now + seconds)

    def failed(
        self, target: TargetName, *, now: float, longest: float = MAX_EJECTION_SECONDS
    ) -> None:
        """Prefer other targets for a while, longer with every failure in a row.

        Args:
            target: The target.
            now: The time.
            longest: Seconds that this lasts at most.
        """
        state = self._states.get(target)
        if state is not None:
            state.failures += 1
            pause = min(longest, FIRST_EJECTION_SECONDS * 2.0 ** (state.failures - 1))
            state.ejected_until = now + pause
            self._suspects[target] = state.ejected_until

    def succeeded(self, target: TargetName) -> None:
        """Forget the failures of a target."""
        state = self._states.get(target)
        if state is not None:
            state.failures = 0

    def reserve_memory(self, targets: Iterable[TargetName], *, call: CallId, now: float) -> None:
        """Send no more long prompts to targets for a while, so that their memory frees up."""
        for name in targets:
            self._saved[name] = (call, now + SAVE_SECONDS)

    def may_reserve_memory(self, *, now: float) -> bool:
        """Return whether this host may save targets; only one host does at a time.

        Of two that began together the one whose name is greater yields.
        """
        for host, until in self._savers.items():
            if now < until and (not self._saved or host < self._myself.name):
                return False
        return True

    def release_memory(self, call: CallId) -> None:
        """Send long prompts again to the targets that were saved for a call."""
        for name in [name for name, (owner, _) in self._saved.items() if owner == call]:
            del self._saved[name]

    def saved(self, *, now: float) -> tuple[TargetName, ...]:
        """Return the targets that this host saves."""
        return tuple(sorted(name for name, (_, until) in self._saved.items() if now < until))

    def accepts_long_prompts(self, target: TargetName, *, call: CallId, now: float) -> bool:
        """Return whether a target is not saved for another call, here or at a peer."""
        owner, until = self._saved.get(target, (call, 0.0))
        if owner != call and now < until:
            return False
        state = self._states.get(target)
        return state is not None and (owner == call or now >= state.saved_until)

    def suspects(self, *, now: float) -> tuple[TargetName, ...]:
        """Return the targets that failed here and are kept out of use."""
        self._suspects = {name: until for name, until in self._suspects.items() if now < until}
        return tuple(sorted(self._suspects))

    def set_hosts(self, hosts: Iterable[HostName]) -> None:
        """Forget what hosts that are gone had outstanding."""
        for host in self._heard.keys() - set(hosts):
            for name in self._heard.pop(host):
                state = self._states.get(name)
                if state is not None:
                    state.peers.pop(host, None)

    def hear(self, digest: Digest, *, now: float) -> None:
        """Take over what a peer has outstanding."""
        if digest.loads or self._heard.get(digest.host):
            self._hear_loads(digest, now=now)
        for name in digest.suspects:
            known = self._states.get(name)
            if known is not None:
                known.suspected_until = now + SUSPECT_SECONDS
        if digest.saved:
            self._savers[digest.host] = now + SAVE_SECONDS
        else:
            self._savers.pop(digest.host, None)
        for name in digest.saved:
            known = self._states.get(name)
            if known is not None:
                known.saved_until = now + SAVE_SECONDS

    def _hear_loads(self, digest: Digest, *, now: float) -> None:
        loads = {load.target: load for load in digest.loads}
        for name in self._heard.get(digest.host, set()) - loads.keys():
            gone = self._states.get(name)
            if gone is not None:
                gone.peers.pop(digest.host, None)
        self._heard[digest.host] = set(loads)
        for name, load in loads.items():
            known = self._states.get(name)
            if known is not None:
                last = known.peers.get(digest.host)
                before = last.load if last else None
                known.peers[digest.host] = PeerLoad(load=load, at=now, before=before)

    def loads(self) -> tuple[TargetLoad, ...]:
        """Return what this host has outstanding, per target."""
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


def ordered(names: Iterable[TargetName]) -> tuple[TargetName, ...]:
    """Return targets in an order that depends on their names alone.

    A target that joins or leaves changes the order of no other two.
    """
    return tuple(sorted(names, key=lambda name: (xxh3_64_intdigest(name.encode()), name)))


def _pools(
    targets: Iterable[Target], paces: Mapping[ServiceName, EnginePace | None]
) -> dict[tuple[ServiceName, str], Pool]:
    members: dict[tuple[ServiceName, str], list[Target]] = {}
    for target in targets:
        for model in target.models or ("",):
            members.setdefault((target.service, model), []).append(target)
    return {
        (service, model): Pool(
            service=service,
            model=model,
            targets=ordered([target.name for target in group]),
            longest=max(target.memory for target in group),
            pace=paces.get(service),
        )
        for (service, model), group in members.items()
    }
