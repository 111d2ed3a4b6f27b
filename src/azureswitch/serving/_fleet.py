"""The targets, and what is known of the work that each of them has."""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from azureswitch.core import HostName, PlaceName, ServiceName, TargetName
from azureswitch.inventory import ServiceKind, Snapshot, Target, TargetRole
from azureswitch.ports import LoadReport
from azureswitch.serving._cost import PREFILL_RATE
from azureswitch.serving._events import Digest, HostSelf, TargetLoad

REPORT_MAX_AGE = 3.0
"""Seconds after which a load report says nothing any more."""

PEER_MAX_AGE = 2.0
"""Seconds after which a peer's digest says nothing any more."""

UNREACHABLE_SECONDS = 1.0
"""Seconds for which a target that did not answer a poll gets no new work."""

FULL_MOST = 1.0
"""Seconds for which a target that has no room gets no new work, at most."""

EJECT_FIRST = 1.0
"""Seconds for which a target is avoided after its first failure."""

EJECT_MOST = 30.0
"""Seconds for which a target is avoided after many failures."""

SUSPECT_SECONDS = 1.0
"""Seconds for which a target that a peer keeps out of use is avoided here too."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """The targets that can serve the same calls.

    Attributes:
        service: The service.
        model: The model; empty for plain services.
        targets: Their names in sorted order.
        longest: The most prompt tokens that one of them can hold; zero for plain targets.
    """

    service: ServiceName
    model: str
    targets: tuple[TargetName, ...]
    longest: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """What one attempt puts on each of its targets.

    Attributes:
        seconds: Its prefill in engine seconds.
        tokens: Tokens of memory that it may take.
        short: Whether its prompt is short.
    """

    seconds: float
    tokens: int
    short: bool

    @property
    def urgent(self) -> float:
        """The engine seconds that go before long prompts."""
        return self.seconds if self.short else 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerLoad:
    """What one peer has outstanding at one target.

    Attributes:
        load: What the peer said.
        at: When it said so.
    """

    load: TargetLoad
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """One attempt that was sent to a target lately.

    Attributes:
        at: When it was sent.
        seconds: Its prefill in engine seconds.
        tokens: Tokens of memory that it may take.
        short: Whether its prompt is short.
    """

    at: float
    seconds: float
    tokens: int
    short: bool


@dataclass(slots=True, kw_only=True)
class TargetState:
    """One target as this host sees it.

    Attributes:
        target: Its entry in the inventory.
        nearness: 0 in this host's place, 1 in its region, 2 elsewhere.
        urgent: Engine seconds of short prompts that this host sent and that have no first token.
        backlog: The same for all prompts.
        running: Attempts of this host that have not ended.
        longs: Those of ``running`` with long prompts.
        tokens: Tokens of memory that attempts of this host may take.
        sent: What this host sent lately, oldest first.
        report: The last load report.
        report_at: When the report was true.
        peers: What the peers have outstanding here.
        unusable_until: When it may get new work again after a failure.
        ejected_until: Until when others are preferred, since it failed here.
        suspected_until: Until when others are preferred, since it failed at a peer.
        failures: Failures in a row.
    """

    target: Target
    nearness: int
    urgent: float = 0.0
    backlog: float = 0.0
    running: int = 0
    longs: int = 0
    tokens: int = 0
    sent: deque[Sent] = field(default_factory=deque)
    report: LoadReport | None = None
    report_at: float = 0.0
    peers: dict[HostName, PeerLoad] = field(default_factory=dict)
    unusable_until: float = 0.0
    ejected_until: float = 0.0
    suspected_until: float = 0.0
    failures: int = 0

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

    def waits(self, *, now: float, short: bool) -> float:
        """Estimate for how many engine seconds a new prompt waits here.

        Args:
            now: The time.
            short: Whether the prompt goes before the long ones.

        Returns:
            The greater of what the hosts say that they sent and what the engine reports, both
            corrected for the time since.
        """
        own = self.urgent if short else self.backlog
        peers = sum(_peer_seconds(peer, now=now, short=short) for peer in self.peers.values())
        if self.report is None or not self.has_report(now):
            return own + peers
        tokens = self.report.urgent_tokens if short else self.report.waiting_tokens
        reported = max(0.0, tokens / PREFILL_RATE - (now - self.report_at))
        since = sum(s.seconds for s in self._since_report() if s.short or not short)
        return max(own + peers, reported + since)

    def free_tokens(self) -> int:
        """Estimate the tokens of memory that are free, the prefix cache counted as free."""
        reported = self.report.memory_used if self.report else 0
        since = sum(sent.tokens for sent in self._since_report())
        return self.target.memory - max(self.tokens, reported + since)

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


def _peer_seconds(peer: PeerLoad, *, now: float, short: bool) -> float:
    age = now - peer.at
    if age > PEER_MAX_AGE:
        return 0.0
    return max(0.0, (peer.load.urgent if short else peer.load.total) - age)


class Fleet:
    """All targets of the inventory, and pools of those that serve the same calls.

    Args:
        myself: This host.
    """

    def __init__(self, *, myself: HostSelf) -> None:
        self._myself = myself
        self._states: dict[TargetName, TargetState] = {}
        self._pools: dict[tuple[ServiceName, str], Pool] = {}
        self._plain: set[ServiceName] = set()
        self._services: set[ServiceName] = set()
        self._loaded: set[TargetName] = set()

    def adopt(self, snapshot: Snapshot) -> None:
        """Take over the targets of a configuration and keep what is known of their load."""
        inventory = snapshot.inventory
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
        self._services = {service.name for service in inventory.services}
        self._plain = {s.name for s in inventory.services if s.kind is ServiceKind.PLAIN}
        self._pools = _pools(inventory.targets)

    def _nearness(self, place: PlaceName, regions: dict[PlaceName, str]) -> int:
        if place == self._myself.place:
            return 0
        same_region = regions.get(place) == regions.get(self._myself.place)
        return 1 if same_region and place in regions else 2

    def has_service(self, service: ServiceName) -> bool:
        """Return whether the inventory holds a service."""
        return service in self._services

    def is_plain(self, service: ServiceName) -> bool:
        """Return whether plain targets stand behind a service."""
        return service in self._plain

    def pool(self, *, service: ServiceName, model: str) -> Pool | None:
        """Return the targets for a service and model, or None where there are none."""
        return self._pools.get((service, model))

    def state(self, target: TargetName) -> TargetState | None:
        """Return what is known of a target, or None where the inventory does not hold it."""
        return self._states.get(target)

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
            state.longs += not work.short
            state.urgent += work.urgent
            state.backlog += work.seconds
            state.tokens += work.tokens
            state.prune(now)
            state.sent.append(
                Sent(at=now, seconds=work.seconds, tokens=work.tokens, short=work.short)
            )
            self._loaded.add(name)

    def prefilled(self, targets: Iterable[TargetName], *, work: Work) -> None:
        """Count that an attempt delivered its first token or ended before it."""
        for name in targets:
            state = self._states.get(name)
            if state is None:
                continue
            state.urgent = max(0.0, state.urgent - work.urgent)
            state.backlog = max(0.0, state.backlog - work.seconds)

    def remove(self, targets: Iterable[TargetName], *, work: Work) -> None:
        """Count that an attempt ended."""
        for name in targets:
            state = self._states.get(name)
            if state is None:
                continue
            state.running = max(0, state.running - 1)
            state.longs = max(0, state.longs - (not work.short))
            state.tokens = max(0, state.tokens - work.tokens)
            if not state.running:
                state.urgent = state.backlog = 0.0
                self._loaded.discard(name)

    def report(self, report: LoadReport, *, now: float, age: float) -> None:
        """Take over a load report, unless a newer one is known."""
        state = self._states.get(report.target)
        if state is None:
            return
        known = state.report
        if known is not None and known.started == report.started:
            if report.sequence <= known.sequence:
                return
        elif known is not None and report.started < known.started:
            return
        state.report = report
        state.report_at = now - age
        state.prune(now)

    def unreachable(self, target: TargetName, *, now: float) -> None:
        """Give a target no new work for a while."""
        state = self._states.get(target)
        if state is not None:
            state.unusable_until = max(state.unusable_until, now + UNREACHABLE_SECONDS)

    def full(self, target: TargetName, *, seconds: float, now: float) -> None:
        """Give a target that has no room now no new work for as long as it says."""
        state = self._states.get(target)
        if state is not None:
            pause = min(seconds, FULL_MOST)
            state.unusable_until = max(state.unusable_until, now + pause)

    def failed(self, target: TargetName, *, now: float) -> None:
        """Prefer other targets for a while, longer with every failure in a row."""
        state = self._states.get(target)
        if state is not None:
            state.failures += 1
            pause = min(EJECT_MOST, EJECT_FIRST * 2.0 ** (state.failures - 1))
            state.ejected_until = now + pause

    def succeeded(self, target: TargetName) -> None:
        """Forget the failures of a target."""
        state = self._states.get(target)
        if state is not None:
            state.failures = 0

    def suspects(self, *, now: float) -> tuple[TargetName, ...]:
        """Return the targets that failed here and are kept out of use."""
        return tuple(
            name
            for name, state in sorted(self._states.items())
            if now < state.ejected_until or now < state.unusable_until
        )

    def set_hosts(self, hosts: Iterable[HostName]) -> None:
        """Forget what hosts that are gone had outstanding."""
        live = set(hosts)
        for state in self._states.values():
            for host in state.peers.keys() - live:
                del state.peers[host]

    def hear(self, digest: Digest, *, now: float) -> None:
        """Take over what a peer has outstanding."""
        heard = {load.target for load in digest.loads}
        for name, state in self._states.items():
            if name not in heard:
                state.peers.pop(digest.host, None)
        for load in digest.loads:
            known = self._states.get(load.target)
            if known is not None:
                known.peers[digest.host] = PeerLoad(load=load, at=now)
        for name in digest.suspects:
            known = self._states.get(name)
            if known is not None:
                known.suspected_until = now + SUSPECT_SECONDS

    def loads(self) -> tuple[TargetLoad, ...]:
        """Return what this host has outstanding, per target."""
        states = (self._states[name] for name in sorted(self._loaded))
        return tuple(
            TargetLoad(target=state.target.name, urgent=state.urgent, total=state.backlog)
            for state in states
            if state.backlog > 0.0
        )


def _pools(targets: Iterable[Target]) -> dict[tuple[ServiceName, str], Pool]:
    members: dict[tuple[ServiceName, str], list[Target]] = {}
    for target in targets:
        for model in target.models or ("",):
            members.setdefault((target.service, model), []).append(target)
    return {
        (service, model): Pool(
            service=service,
            model=model,
            targets=tuple(sorted(target.name for target in group)),
            longest=max(target.memory for target in group),
        )
        for (service, model), group in members.items()
    }
