"""A simulation of hosts before engines that are cold after their start, in virtual time."""

from dataclasses import dataclass

from msgspec.structs import replace

from azureswitch.core import CallId, CustomerName, Effect, HostName, PlaceName, TargetName
from azureswitch.inventory import Evacuation, Place, Snapshot, Target, Warmup
from azureswitch.serving import (
    AnnounceWarmth,
    Call,
    CallArrived,
    DigestReceived,
    Observation,
    Observe,
    PeersChanged,
    PublishDigest,
    ServingEvent,
    StartAttempt,
)
from tests.serving.engines import SERVICE, place_of, snapshot
from tests.serving.limits import HEARD_BY, Answer, World
from tests.serving.test_domains import PACE

WARMUP = Warmup(seconds=3.0, rate=17.0)

EXCESS = 1.5
SLACK = 5.0
BOUND = WARMUP.rate * EXCESS + SLACK
"""Requests in any one second above which a cold target crashes."""

HEARTBEAT_SECONDS = 1.2
"""Seconds between two writes of a target's entry."""

MIRROR_SECONDS = 0.15
"""Seconds until hosts read a written entry."""

PLACES = 3

ENGINE_PACE = replace(PACE, slots=6, memory=344_250)
"""The pace of the engines that the page describes."""

OBJECTIVE = 0.271
"""Objective in seconds for the first event of a short question."""


@dataclass(slots=True, kw_only=True)
class Entry:
    """The entry of a target, and its real state.

    Attributes:
        started: Its start.
        version: The version of the entry.
        cold: The seconds in the entry for which it stays cold, or None where it does not say.
        until: When it is really warm.
    """

    started: int = 1
    version: int = 1
    cold: float | None = 0.0
    until: float = 0.0


class ColdWorld(World):
    """Hosts that send requests to engines, of which some are cold.

    Args:
        hosts: The number of hosts.
        targets: The number of engines.
        seed: The seed of the load and of the hosts.
        cold: The engines that are cold at the start, counted from the first.
        tells: Whether entries say for how long their target stays cold.
        knowing: Whether hosts know each other from the start.
        limited: Whether the service's targets are limited while cold.
    """

    def __init__(
        self,
        *,
        hosts: int = 80,
        targets: int = 54,
        seed: int = 1,
        cold: int = 0,
        tells: bool = True,
        knowing: bool = True,
        limited: bool = True,
    ) -> None:
        self._warmup = WARMUP if limited else None
        self._tells = tells
        names = [TargetName(f"e{index}") for index in range(targets)]
        self.entries = {name: Entry(cold=0.0 if tells else None) for name in names}
        self.evacuated: set[PlaceName] = set()
        self.frozen: dict[HostName, list[ServingEvent]] = {}
        self.sent: dict[CallId, float] = {}
        self.first: dict[CallId, TargetName] = {}
        self.cold_at: dict[TargetName, list[tuple[float, float]]] = {}
        self.log: list[AnnounceWarmth] = []
        self.observed: list[Observation] = []
        self.held_back: list[int] = []
        self.store_down = False
        self.side: dict[HostName, int] = {}
        self.fleet_size: int | None = hosts
        self.now = 0.0
        for name in names[:cold]:
            self.chill(name)
        super().__init__(hosts=hosts, targets=targets, seed=seed, knowing=knowing)
        self._at(HEARTBEAT_SECONDS, self._beat)

    def chill(self, name: TargetName, *, restart: bool = True, seconds: float = 3.0) -> None:
        """Make a target cold, by a new start of it or while it runs on."""
        entry = self.entries[name]
        entry.until = self.now + seconds
        entry.started += int(restart)
        entry.version += 1
        entry.cold = seconds if self._tells else None
        self.cold_at.setdefault(name, []).append((self.now, entry.until))

    def chill_at(self, at: float, names: list[TargetName], *, restart: bool = True) -> None:
        """Schedule that targets become cold; hosts read their new entries soon after."""

        def act() -> None:
            for name in names:
                self.chill(name, restart=restart)
            self._at(self.now + MIRROR_SECONDS, self.relist)

        self._at(at, act)

    def evacuate_at(self, at: float, place: PlaceName, *, until: float) -> None:
        """Schedule an evacuation of a failure domain and its end."""

        def begin() -> None:
            self.evacuated.add(place)
            self.relist()

        def end() -> None:
            self.evacuated.discard(place)
            self.relist()

        self._at(at, begin)
        self._at(until, end)

    def freeze_at(self, at: float, name: HostName, *, seconds: float) -> None:
        """Schedule that a host handles nothing for a while, and then all that has arrived."""

        def freeze() -> None:
            self.frozen[name] = []

        def resume() -> None:
            for event in self.frozen.pop(name):
                self._reduce(name, replace(event, now=self.now))

        self._at(at, freeze)
        self._at(at + seconds, resume)

    def greet(self) -> None:
        """Update the live hosts of each host: those of its side."""
        for name in self.hosts:
            side = self.side.get(name, 0)
            live = tuple(host for host in self.hosts if self.side.get(host, 0) == side)
            event = PeersChanged(now=self.now, hosts=live, fleet_size=self.fleet_size)
            self._reduce(name, event)

    def most_in_a_second(self) -> int:
        """Return the most requests that a target received in one second while it was cold."""
        most = 0
        for name, phases in self.cold_at.items():
            for begin, end in phases:
                times = [at for at in self.targets.times.get(name, []) if begin <= at < end]
                windows = (sum(at <= other < at + 1.0 for other in times) for at in times)
                most = max(most, *windows, 0)
        return most

    def cold_requests(self) -> int:
        """Return how many requests targets received while they were cold."""
        return sum(
            begin <= at < end
            for name, phases in self.cold_at.items()
            for begin, end in phases
            for at in self.targets.times.get(name, [])
        )

    def late(self, seconds: float) -> int:
        """Return how many of the answered requests were sent later than this after they arrived."""
        return sum(
            self.sent[id] - answer.arrived > seconds
            for id, answer in self.answers.items()
            if id in self.sent
        )

    def _listed(self) -> Snapshot:
        listed = snapshot(ENGINE_PACE, len(self.entries), self._revision, places=PLACES)
        inventory = listed.inventory
        (service,) = inventory.services
        names = [place_of(index, PLACES) for index in range(PLACES)]
        away = Evacuation(since=1)
        return replace(
            listed,
            inventory=replace(
                inventory,
                places=tuple(
                    Place(name=n, region="r", evacuation=away if n in self.evacuated else None)
                    for n in names
                ),
                services=(replace(service, warmup=self._warmup),),
                targets=tuple(self._target(target) for target in inventory.targets),
            ),
        )

    def _target(self, target: Target) -> Target:
        entry = self.entries[target.name]
        return replace(target, started=entry.started, cold=entry.cold, entry_version=entry.version)

    def _beat(self) -> None:
        changed = False
        for entry in self.entries.values():
            left = max(0.0, entry.until - self.now)
            if self._tells and not self.store_down and left != entry.cold:
                entry.cold, entry.version, changed = left, entry.version + 1, True
        if changed:
            self._at(self.now + MIRROR_SECONDS, self.relist)
        self._at(self.now + HEARTBEAT_SECONDS, self._beat)

    def _arrive(self, customer: str, prompt: int) -> None:
        host = self._random.choice(list(self.hosts))
        self.ask(host, customer=customer, prompt=prompt)

    def ask(self, host: HostName, *, customer: str = "ann", prompt: int = 5_000) -> CallId:
        """Let a request arrive at a host now."""
        id = CallId(f"c{next(self._calls)}")
        self.answers[id] = Answer(customer=CustomerName(customer), arrived=self.now)
        call = Call(
            id=id,
            customer=CustomerName(customer),
            service=SERVICE,
            model="m",
            prompt_tokens=prompt,
            output_tokens=100,
            deadline=self.now + 10.0,
            objective=OBJECTIVE * max(1.0, prompt / 30_000),
            gap_objective=0.25,
            runs=2,
            unshared=True,
        )
        self._reduce(host, CallArrived(now=self.now, call=call))
        return id

    def _reduce(self, name: HostName, event: ServingEvent) -> None:
        if name in self.frozen:
            self.frozen[name].append(event)
        else:
            super()._reduce(name, event)

    def _carry_out(self, name: HostName, effect: Effect) -> None:
        if isinstance(effect, StartAttempt):
            self.sent.setdefault(effect.call, self.now)
            self.first.setdefault(effect.call, effect.targets[0])
            self.held_back.append(effect.held_back)
        elif isinstance(effect, AnnounceWarmth):
            self.log.append(effect)
        elif isinstance(effect, Observe):
            self.observed.append(effect.what)
        elif isinstance(effect, PublishDigest):
            # The rates need no message: a few hosts are told, so that the simulation stays short.
            mine = self.side.get(name, 0)
            peers = [o for o in self.hosts if o != name and self.side.get(o, 0) == mine]
            told = self._random.sample(peers, min(HEARD_BY, len(peers)))
            digest = effect.digest
            self._send(name, told, lambda now: DigestReceived(now=now, digest=digest))
            return
        super()._carry_out(name, effect)
