"""Discrete-event simulation of hosts, callers and engines that work in passes."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

from azureswitch.core import CallId, CustomerName, HostName, PlaceName, ServiceName, TargetName
from azureswitch.inventory import (
    EnginePace,
    Inventory,
    Place,
    Rules,
    Service,
    ServiceKind,
    Snapshot,
    Target,
)
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    Call,
    CallArrived,
    DigestReceived,
    FirstTokenArrived,
    HostSelf,
    PeersChanged,
    PublishDigest,
    PublishTotals,
    ServingEvent,
    ServingState,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
    TotalsReceived,
    reduce,
)

SERVICE = ServiceName("pool")
TICK_SECONDS = 0.05

MAX_STEP_TOKENS = 2_048
"""Maximum tokens that an engine prefills in a step."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """Size distribution and objectives of one kind of request."""

    prompt: int
    sigma: float
    max_prompt: int
    events: int
    objective: float
    max_pause: float
    weight: float


@dataclass(slots=True, kw_only=True)
class Request:
    """One request and the latencies that its caller observed."""

    call: CallId
    kind: Workload
    prompt: int
    arrived: float
    first: float | None = None
    last_event: float = 0.0
    max_pause: float = 0.0
    left: int = 0
    parts: set[TargetName] = field(default_factory=set)

    @property
    def on_time(self) -> bool:
        """Whether it completed with its first token and all pauses within the objectives."""
        prompt = self.first is not None and self.first - self.arrived <= self.kind.objective
        return prompt and self.max_pause <= self.kind.max_pause and not self.left


@dataclass(slots=True, kw_only=True)
class Part:
    """Remaining prefill of a prompt on one engine; parts of helpers take precedence."""

    request: Request
    tokens: float
    seconds: float
    helper: bool

    def advance(self, max_tokens: float) -> tuple[float, float]:
        """Prefill at most ``max_tokens``, and return the tokens and seconds of prefill done."""
        share = min(1.0, max_tokens / self.tokens)
        tokens, seconds = share * self.tokens, share * self.seconds
        self.tokens -= tokens
        self.seconds -= seconds
        return tokens, seconds


@dataclass(slots=True, kw_only=True)
class Engine:
    """An engine; each pass prefills as much as fits and emits one event per stream."""

    prefilling: list[Part] = field(default_factory=list)
    decoding: list[tuple[Request, Callable[[], None]]] = field(default_factory=list)
    running: bool = False


class Simulation:
    """Simulates hosts and engines; digests between hosts arrive without delay.

    Args:
        pace: Pace of the engines.
        engines: Number of engines.
        hosts: Number of hosts.
        seed: Seed of the load and the hosts.
        places: Number of failure domains, assigned to engines and hosts round robin.
        full_hosts: Maximum hosts up to which every host gets all digests, or None for no maximum.
        share_digests: Whether hosts exchange digests.
        end_delay: Seconds until hosts learn that attempts of other hosts have ended.
    """

    def __init__(
        self,
        *,
        pace: EnginePace,
        engines: int,
        hosts: int,
        seed: int,
        places: int = 1,
        full_hosts: int | None = None,
        share_digests: bool = True,
        end_delay: float = 0.0,
    ) -> None:
        self.now = 0.0
        self.requests: list[Request] = []
        self._pace = pace
        self._random = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._engines = {TargetName(f"e{index}"): Engine() for index in range(engines)}
        self._calls: dict[CallId, Request] = {}
        self._attempts: dict[CallId, tuple[ServingState, StartAttempt]] = {}
        self._share_digests = share_digests
        self._end_delay = end_delay
        self.digests = 0
        self._hosts = [
            _host(
                f"h{index}",
                seed=index,
                place=place_of(index, places),
                full_hosts=inf if full_hosts is None else full_hosts,
            )
            for index in range(hosts)
        ]
        adopted = SnapshotAdopted(now=0.0, snapshot=snapshot(pace, engines, places=places))
        peers = PeersChanged(now=0.0, hosts=tuple(host.myself.name for host in self._hosts))
        for host in self._hosts:
            reduce(host, adopted)
            reduce(host, peers)

    def adopt(self, config: Snapshot) -> None:
        """Let all hosts adopt a configuration now."""
        for host in self._hosts:
            self._reduce(host, SnapshotAdopted(now=self.now, snapshot=config))

    def load(
        self,
        kind: Workload,
        *,
        rate: float,
        start: float,
        seconds: float,
        place: PlaceName | None = None,
    ) -> None:
        """Schedule Poisson arrivals of a kind, at the hosts of one failure domain or at all."""
        at = start + self._random.expovariate(rate)
        while at < start + seconds:
            size = self._random.lognormvariate(0.0, kind.sigma)
            prompt = min(kind.max_prompt, int(kind.prompt * size))
            self._schedule(
                at,
                lambda prompt=prompt: self._arrive(kind, prompt, place),  # type: ignore[misc]
            )
            at += self._random.expovariate(rate)

    def run(self, seconds: float) -> None:
        """Run the simulation up to a time in seconds."""
        for tick in range(int(seconds / TICK_SECONDS)):
            self._schedule(tick * TICK_SECONDS, self._tick)
        while self._events and self._events[0][0] <= seconds:
            self.now, _, act = heappop(self._events)
            act()

    def credit(self, kinds: Iterable[Workload]) -> float:
        """Return the share of the total credit of some kinds that was earned on time."""
        matching = [request for request in self.requests if request.kind in kinds]
        worth = [(request.kind.weight * request.prompt, request.on_time) for request in matching]
        return sum(value for value, good in worth if good) / sum(value for value, _ in worth)

    def _schedule(self, at: float, act: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self._order), act))

    def _tick(self) -> None:
        for host in self._hosts:
            self._reduce(host, Ticked(now=self.now))

    def _arrive(self, kind: Workload, prompt: int, place: PlaceName | None) -> None:
        request = Request(
            call=CallId(f"c{len(self.requests)}"),
            kind=kind,
            prompt=prompt,
            arrived=self.now,
            left=kind.events,
        )
        self.requests.append(request)
        call = Call(
            id=request.call,
            customer=CustomerName(""),
            service=SERVICE,
            model="m",
            prompt_tokens=prompt,
            output_tokens=kind.events * self._pace.stride,
            deadline=self.now + 15.0,
            objective=kind.objective,
            gap_objective=kind.max_pause,
            runs=2,
            unshared=True,
        )
        self._calls[call.id] = request
        hosts = [host for host in self._hosts if place in (None, host.myself.place)]
        self._reduce(self._random.choice(hosts), CallArrived(now=self.now, call=call))

    def _reduce(self, host: ServingState, event: ServingEvent) -> None:
        for effect in reduce(host, event):
            if isinstance(effect, StartAttempt):
                self._start(host, effect)
            elif isinstance(effect, PublishDigest) and self._share_digests:
                if effect.may_wait and self._end_delay:
                    deliver = partial(self._deliver, host, effect)
                    self._schedule(self.now + self._end_delay, deliver)
                else:
                    self._deliver(host, effect)
            elif isinstance(effect, PublishTotals):
                places = effect.totals.place
                peers = [peer for peer in self._hosts if peer.myself.place != places]
                if peers:
                    totals = TotalsReceived(now=self.now, totals=effect.totals)
                    reduce(self._random.choice(peers), totals)

    def _deliver(self, host: ServingState, effect: PublishDigest) -> None:
        for peer in self._hosts:
            if peer is not host and _is_addressed(effect, peer):
                self.digests += 1
                reduce(peer, DigestReceived(now=self.now, digest=effect.digest))

    def _start(self, host: ServingState, effect: StartAttempt) -> None:
        request = self._calls[effect.call]
        request.parts = set(effect.targets)
        self._attempts[effect.call] = (host, effect)
        work = request.prompt / self._pace.read_rate + self._pace.pair * request.prompt**2 / 2.0
        for name in effect.targets:
            part = Part(
                request=request,
                tokens=request.prompt / len(effect.targets),
                seconds=work / len(effect.targets),
                helper=name != effect.targets[0],
            )
            self._engines[name].prefilling.append(part)
            self._start_pass(name)

    def _start_pass(self, name: TargetName) -> None:
        engine = self._engines[name]
        if engine.running or not (engine.prefilling or engine.decoding):
            return
        engine.running = True
        seconds = self._pace.step * (self._pace.stride if engine.decoding else 1)
        budget = float(MAX_STEP_TOKENS * self._pace.stride)
        for part in sorted(engine.prefilling, key=lambda part: not part.helper):
            if budget <= 0.0:
                break
            tokens, took = part.advance(budget)
            budget -= tokens
            seconds += took
        self._schedule(self.now + seconds, lambda: self._finish_pass(name))

    def _finish_pass(self, name: TargetName) -> None:
        engine = self._engines[name]
        engine.running = False
        finished = [part for part in engine.prefilling if part.tokens < 1.0]
        engine.prefilling = [part for part in engine.prefilling if part.tokens >= 1.0]
        for request, end in list(engine.decoding):
            self._write(engine, request, end)
        for part in finished:
            part.request.parts.discard(name)
            if not part.request.parts:
                self._begin(part.request)
        self._start_pass(name)

    def _begin(self, request: Request) -> None:
        host, effect = self._attempts[request.call]
        request.first = request.last_event = self.now
        engine = self._engines[effect.targets[0]]
        first = FirstTokenArrived(now=self.now, call=effect.call, attempt=effect.attempt)
        self._reduce(host, first)

        def end() -> None:
            done = AttemptEnded(
                now=self.now, call=effect.call, attempt=effect.attempt, end=AttemptEnd.COMPLETE
            )
            self._reduce(host, done)

        engine.decoding.append((request, end))
        self._start_pass(effect.targets[0])

    def _write(self, engine: Engine, request: Request, end: Callable[[], None]) -> None:
        request.max_pause = max(request.max_pause, self.now - request.last_event)
        request.last_event = self.now
        request.left -= 1
        if request.left <= 0:
            engine.decoding.remove((request, end))
            end()


def _is_addressed(effect: PublishDigest, peer: ServingState) -> bool:
    return effect.places is None or peer.myself.place in effect.places


def place_of(index: int, places: int = 1) -> PlaceName:
    """Return the failure domain of a host or an engine, assigned round robin."""
    return PlaceName(f"p{index % places + 1}")


def _host(name: str, *, seed: int, place: PlaceName, full_hosts: float) -> ServingState:
    myself = HostSelf(name=HostName(name), place=place, started=1)
    return ServingState(myself=myself, seed=seed, lean=True, full_hosts=full_hosts)


def snapshot(pace: EnginePace, count: int, revision: int = 1, *, places: int = 1) -> Snapshot:
    """Return a configuration with ``count`` engines, named from e0 on."""
    targets = tuple(
        Target(
            name=TargetName(f"e{index}"),
            service=SERVICE,
            place=place_of(index, places),
            address=f"127.0.0.1:{index + 1}",
            models=("m",),
            memory=pace.memory,
        )
        for index in range(count)
    )
    inventory = Inventory(
        places=tuple(Place(name=place_of(index, places), region="r") for index in range(places)),
        services=(Service(name=SERVICE, kind=ServiceKind.MODEL, pace=pace),),
        targets=targets,
    )
    return Snapshot(revision=revision, inventory=inventory, rules=Rules())
