"""The targets, and what is known of the work that each of them has."""

from collections import deque
from collections.abc import Collection, Iterable, Iterator, Mapping

from msgspec import Struct, field
from xxhash import xxh3_64_intdigest

from azureswitch.core import CallId, HostName, PlaceName, ServiceName, TargetName
from azureswitch.inventory import EnginePace, Inventory, Target, TargetRole
from azureswitch.ports import LoadReport
from azureswitch.serving._cost import PREFILL_RATE
from azureswitch.serving._digests import Digest, TargetLoad
from azureswitch.serving._events import HostSelf
from azureswitch.serving._length import Level

REPORT_MAX_AGE = 3.0
"""Seconds after which a load report says nothing any more."""

REPORT_LAG = 0.25
"""Seconds by which a load report may be older than its arrival tells."""

PEER_MAX_AGE = 2.0
"""Seconds after which a peer's digest says nothing any more."""

UNREACHABLE_SECONDS = 1.0
"""Seconds for which a target that did not answer a poll gets no new work."""

EJECT_FIRST = 1.0
"""Seconds for which a target is avoided after its first failure."""

EJECT_MOST = 30.0
"""Seconds for which a target is avoided after many failures."""

PACED_EJECT_MOST = 4.0
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


class Work(Struct, frozen=True, kw_only=True):
    """What one attempt puts on each of its targets.

    Attributes:
        seconds: Its prefill in engine seconds.
        tokens: Tokens of memory that it may take.
        level: How long its prompt is.
    """

    seconds: float
    tokens: int
    level: Level


class PeerLoad(Struct, frozen=True, kw_only=True):
    """What one peer has outstanding at one target.

    Attributes:
        load: What the peer said.
        at: When it said so.
        before: What it had said before that, or None.
    """

    load: TargetLoad
    at: float
    before: TargetLoad | None = None


class Sent(Struct, frozen=True, kw_only=True):
    """One attempt that was sent to a target lately.

    Attributes:
        at: When it was sent.
        seconds: Its prefill in engine seconds.
        tokens: Tokens of memory that it may take.
        level: How long its prompt is.
    """

    at: float
    seconds: float
    tokens: int
    level: Level


class TargetState(Struct, kw_only=True):
    """One target as this host sees it.

    Attributes:
        target: Its entry in the inventory.
        nearness: 0 in this host's place, 1 in its region, 2 elsewhere.
        backlog: By level, engine seconds of prompts that this host sent and that have no first
            token.
        running: Attempts of this host that have not ended.
        tokens: Tokens of memory that attempts of this host may take.
        sent: What this host sent lately, oldest first.
        report: The last load report.
        report_at: When the report was true.
        peers: What the peers have outstanding here.
        unusable_until: When it may get new work again after a failure.
        ejected_until: Until when others are preferred, since it failed here.
        suspected_until: Until when others are preferred, since it failed at a peer.
        saved_until: Until when a peer saves its memory.
        silent_since: Since when it has answered no poll, or None.
        stuck_since: Since when requests wait there although none runs, or None.
        failures: Failures in a row.
        ended_start: The start in reports that is over, as told by the target itself, or zero.
    """

    target: Target
    nearness: int
    backlog: list[float] = field(default_factory=lambda: [0.0] * len(Level))
    running: int = 0
    tokens: int = 0
    sent: deque[Sent] = field(default_factory=deque)
    report: LoadReport | None = None
    report_at: float = 0.0
    peers: dict[HostName, PeerLoad] = field(default_factory=dict)
    unusable_until: float = 0.0
    ejected_until: float = 0.0
    suspected_until: float = 0.0
    saved_until: float = 0.0
    silent_since: float | None = None
    stuck_since: float | None = None
    failures: int = 0
    ended_start: int = 0

    def usable(self, now: float) -> bool:
        """Whether the target may get new work."""
        if self.target.role is not TargetRole.SERVING or now < self.unusable_until:
            return False
        return self.report is None or not self.report.draining

    def preferred(self, now: float) -> bool:
        """Whether the target may get new work and has not failed lately."""
        return self.usable(now) and now >= max(self.ejected_until, self.suspected_until)

    def has_report(self, now: float) -> bool:
        """Whether the load report still says something."""
        return self.report is not None and now - self.report_at <= REPORT_MAX_AGE

    def waits(self, *, now: float, level: Level) -> float:
        """Estimate for how many engine seconds a new prompt of a level waits here.

        A report counts what all hosts sent, but late; what this host sent since, and what the
        peers have more than before, is added to it.  Without a report the hosts' own accounts
        stand for it.
        """
        if self.report is None or not self.has_report(now):
            peers = sum(_peer_seconds(peer, now=now, level=level) for peer in self.peers.values())
            return sum(self.backlog[: level + 1]) + peers
        since = sum(sent.seconds for sent in self._since_report() if sent.level <= level)
        grown = sum(
            _peer_growth(peer, level=level)
            for peer in self.peers.values()
            if peer.at > self.report_at
        )
        return self._reported(now=now, level=level) + since + grown

    def _reported(self, *, now: float, level: Level) -> float:
        assert self.report is not None  # Asked for only where there is a report.
        urgent = self.report.urgent_tokens / PREFILL_RATE
        rest = self.report.waiting_tokens / PREFILL_RATE - urgent
        if level is Level.SHORT:
            rest = 0.0
        elif level is Level.MIDDLE:
            rest = min(rest, self._middle())
        return max(0.0, urgent + rest - (now - self.report_at))

    def _middle(self) -> float:
        """Return what the hosts say that they sent of the middle level."""
        return self.backlog[Level.MIDDLE] + sum(peer.load.middle for peer in self.peers.values())

    def free_tokens(self) -> int:
        """Estimate the tokens of memory that are free, the prefix cache counted as free.

        A report leaves out requests that still wait for memory, which the hosts' own accounts hold.
        """
        reported = self.report.memory_used if self.report else 0
        since = sum(sent.tokens for sent in self._since_report())
        sent = self.tokens + sum(peer.load.tokens for peer in self.peers.values())
        return self.target.memory - max(sent, reported + since)

    def _since_report(self) -> Iterator[Sent]:
        return (sent for sent in self.sent if sent.at > self.report_at)

    def prune(self, now: float) -> None:
        """Forget sends that the next report is sure to cover."""
        while self.sent and now - self.sent[0].at > REPORT_MAX_AGE:
            self.sent.popleft()

    def waiting_count(self) -> int:
        """Return how many requests wait or run here, by the report and own sends."""
        reported = self.report.running + self.report.waiting if self.report else 0
        return max(reported, self.running)


def _seconds(load: TargetLoad, level: Level) -> float:
    if level is Level.SHORT:
        return load.urgent
    return load.urgent + load.middle if level is Level.MIDDLE else load.total


def _peer_seconds(peer: PeerLoad, *, now: float, level: Level) -> float:
    age = now - peer.at
    return max(0.0, _seconds(peer.load, level) - age) if age <= PEER_MAX_AGE else 0.0


def _peer_growth(peer: PeerLoad, *, level: Level) -> float:
    before = 0.0 if peer.before is None else _seconds(peer.before, level)
    return max(0.0, _seconds(peer.load, level) - before)


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

    def failed(self, target: TargetName, *, now: float, longest: float = EJECT_MOST) -> None:
        """Prefer other targets for a while, longer with every failure in a row.

        Args:
            target: The target.
            now: The time.
            longest: Seconds that this lasts at most.
        """
        state = self._states.get(target)
        if state is not None:
            state.failures += 1
            pause = min(longest, EJECT_FIRST * 2.0 ** (state.failures - 1))
            state.ejected_until = now + pause
            self._suspects[target] = state.ejected_until

    def succeeded(self, target: TargetName) -> None:
        """Forget the failures of a target."""
        state = self._states.get(target)
        if state is not None:
            state.failures = 0

    def save(self, targets: Iterable[TargetName], *, call: CallId, now: float) -> None:
        """Send no more long prompts to targets for a while, so that their memory frees up."""
        for name in targets:
            self._saved[name] = (call, now + SAVE_SECONDS)

    def may_save(self, *, now: float) -> bool:
        """Return whether this host may save targets; only one host does at a time.

        Of two that began together the one whose name is greater yields.
        """
        for host, until in self._savers.items():
            if now < until and (not self._saved or host < self._myself.name):
                return False
        return True

    def unsave(self, call: CallId) -> None:
        """Send long prompts again to the targets that were saved for a call."""
        for name in [name for name, (owner, _) in self._saved.items() if owner == call]:
            del self._saved[name]

    def saved(self, *, now: float) -> tuple[TargetName, ...]:
        """Return the targets that this host saves."""
        return tuple(sorted(name for name, (_, until) in self._saved.items() if now < until))

    def takes_long(self, target: TargetName, *, call: CallId, now: float) -> bool:
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
