"""Discrete-event simulation of hosts, callers and engines that work in passes."""

from collections.abc import Callable, Iterable
from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

from azureswitch.core import (
    CallId,
    CustomerName,
    Effect,
    HostName,
    PlaceName,
    ServiceName,
    TargetName,
)
from azureswitch.inventory import (
    Customer,
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
    Rank,
    ServingEvent,
    ServingState,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
    TotalsReceived,
    reduce,
)
from tests.serving.batching import Engine, Part, Request, Workload

SERVICE = ServiceName("pool")
TICK_SECONDS = 0.05

REJECTION_SECONDS = 0.001
"""Seconds until a host learns that an engine has rejected a request."""

MAX_STEP_TOKENS = 2_048
"""Maximum tokens that an engine prefills in a step."""


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
        overload_control: Whether hosts control overload.
        queue: Requests that wait at an engine for one of its slots at most, or None for engines
            with unlimited slots.
        customers: The customers of the configuration.
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
        overload_control: bool = False,
        queue: int | None = None,
        customers: Iterable[str] = (),
    ) -> None:
        self.now = 0.0
        self.requests: list[Request] = []
        self._pace = pace
        self._random = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        slots, max_queue = (inf, inf) if queue is None else (pace.slots, queue)
        self._engines = {
            TargetName(f"e{index}"): Engine(slots=slots, max_queue=max_queue)
            for index in range(engines)
        }
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
                fleet_hosts=hosts,
                overload_control=overload_control,
            )
            for index in range(hosts)
        ]
        adopted = SnapshotAdopted(
            now=0.0, snapshot=snapshot(pace, engines, places=places, customers=customers)
        )
        peers = PeersChanged(now=0.0, hosts=tuple(host.myself.name for host in self._hosts))
        for host in self._hosts:
            reduce(host, adopted)
            reduce(host, peers)

    def load(
        self,
        kind: Workload,
        *,
        rate: float,
        start: float,
        seconds: float,
        place: PlaceName | None = None,
        customer: str = "",
    ) -> None:
        """Schedule Poisson arrivals of a kind, at the hosts of one failure domain or at all."""
        at = start + self._random.expovariate(rate)
        while at < start + seconds:
            size = self._random.lognormvariate(0.0, kind.sigma)
            prompt = min(kind.max_prompt, int(kind.prompt * size))
            self._schedule(
                at,
                partial(self._arrive, kind, prompt, place, customer),
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

    def _arrive(self, kind: Workload, prompt: int, place: PlaceName | None, customer: str) -> None:
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
            customer=CustomerName(customer),
            service=SERVICE,
            model="m",
            prompt_tokens=prompt,
            output_tokens=kind.events * self._pace.stride,
            deadline=self.now + kind.deadline,
            objective=kind.objective,
            gap_objective=kind.max_pause,
            runs=2,
            unshared=True,
            rank=Rank(route=kind.priority),
        )
        self._send(request, call, place)

    def _send(self, request: Request, call: Call, place: PlaceName | None) -> None:
        """Send a call to a random host, of one failure domain or of all."""
        self._calls[call.id] = request
        hosts = [host for host in self._hosts if place in (None, host.myself.place)]
        self._deliver_call(self._random.choice(hosts), call)

    def _deliver_call(self, host: ServingState, call: Call) -> None:
        self._reduce(host, CallArrived(now=self.now, call=call))

    def _reduce(self, host: ServingState, event: ServingEvent) -> None:
        for effect in reduce(host, event):
            self._execute(host, effect)

    def _execute(self, host: ServingState, effect: Effect) -> None:
        if isinstance(effect, StartAttempt):
            self._start(host, effect)
        elif isinstance(effect, PublishDigest) and self._share_digests:
            if effect.may_wait and self._end_delay:
                self._schedule(self.now + self._end_delay, partial(self._deliver, host, effect))
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
            if not self._engines[name].accept(part):
                self._reject(host, effect)
                return
            self._start_pass(name)

    def _reject(self, host: ServingState, effect: StartAttempt) -> None:
        """Answer that an engine's queue is full."""

        def reject() -> None:
            rejected = AttemptEnded(
                now=self.now, call=effect.call, attempt=effect.attempt, end=AttemptEnd.REFUSED
            )
            self._reduce(host, rejected)

        self._schedule(self.now + REJECTION_SECONDS, reject)

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
            engine.free_slot()
            end()


def _is_addressed(effect: PublishDigest, peer: ServingState) -> bool:
    return effect.places is None or peer.myself.place in effect.places


def place_of(index: int, places: int = 1) -> PlaceName:
    """Return the failure domain of a host or an engine, assigned round robin."""
    return PlaceName(f"p{index % places + 1}")


def _host(
    name: str,
    *,
    seed: int,
    place: PlaceName,
    full_hosts: float,
    fleet_hosts: int,
    overload_control: bool,
) -> ServingState:
    return ServingState(
        myself=HostSelf(name=HostName(name), place=place, started=1),
        seed=seed,
        lean=True,
        full_hosts=full_hosts,
        fleet_hosts=fleet_hosts,
        overload_control=overload_control,
    )


def snapshot(
    pace: EnginePace,
    count: int,
    revision: int = 1,
    *,
    places: int = 1,
    customers: Iterable[str] = (),
) -> Snapshot:
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
        customers=tuple(Customer(name=CustomerName(name), key_hash="") for name in customers),
    )
    return Snapshot(revision=revision, inventory=inventory, rules=Rules())
