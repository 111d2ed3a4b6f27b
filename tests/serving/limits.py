"""A simulation of hosts and targets with rate limits, in virtual time."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from msgspec.structs import replace

from azureswitch.core import CallId, CustomerName, Effect, HostName, PlaceName, TargetName
from azureswitch.exceptions import AzureswitchError
from azureswitch.inventory import Customer, Snapshot
from azureswitch.serving import (
    AnswerPermit,
    AskPermit,
    AttemptEnd,
    AttemptEnded,
    Call,
    CallArrived,
    DigestReceived,
    FinishCall,
    HostSelf,
    LimitNamed,
    LimitUnnamed,
    PeersChanged,
    PermitAnswered,
    PermitAsked,
    PublishDigest,
    ServingEvent,
    ServingState,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
    reduce,
)
from tests.gateway.test_limits import max_allowed, max_in_window
from tests.serving.engines import SERVICE, snapshot
from tests.serving.test_domains import PACE

TICK = 0.05
TRANSIT = 0.002
"""Seconds that a message between hosts takes."""

WORK = 0.05
"""Seconds until a target answers."""

CUSTOMERS = (CustomerName("ann"), CustomerName("bob"))

HEARD_BY = 6
"""Hosts that receive a regular digest in a large fleet, chosen at random."""


@dataclass(slots=True, kw_only=True)
class Host:
    """One host; messages to and from it are lost while ``cut`` is set."""

    state: ServingState
    cut: bool = False


@dataclass(slots=True, kw_only=True)
class Answer:
    """The outcome of a request."""

    customer: CustomerName
    arrived: float
    over: float = 0.0
    error: AzureswitchError | None = None


@dataclass(slots=True, kw_only=True)
class Targets:
    """The limits of targets and the requests that they get.

    Attributes:
        limits: The limits that they announce now.
        times: When requests arrived at each.
        left_aside: For each attempt, how many targets were not eligible due to their limits.
    """

    limits: dict[TargetName, float] = field(default_factory=dict)
    times: dict[TargetName, list[float]] = field(default_factory=dict)
    left_aside: list[int] = field(default_factory=list)


class World:
    """Hosts that send requests to the engines of one service.

    Args:
        hosts: The number of hosts.
        targets: The number of engines.
        seed: The seed of the load and of the hosts.
        knowing: Whether hosts know each other from the start.
    """

    def __init__(self, *, hosts: int, targets: int, seed: int, knowing: bool = True) -> None:
        self.now = 0.0
        self.targets = Targets()
        self.answers: dict[CallId, Answer] = {}
        self.messages = 0
        self._random = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._calls = count()
        self._count = targets
        self._revision = 1
        self.hosts: dict[HostName, Host] = {}
        for index in range(hosts):
            self.add(f"h{index}", greet=False)
        if knowing:
            self.greet()

    def add(self, name: str, *, greet: bool = True, started: int = 1) -> None:
        """Start a host that knows no limits."""
        myself = HostSelf(name=HostName(name), place=PlaceName("p1"), started=started)
        state = ServingState(
            myself=myself,
            seed=self._random.randrange(1 << 30),
            lean=True,
            full_hosts=128,
            digest_period=0.8,
            fleet_hosts=420,
        )
        self.hosts[myself.name] = Host(state=state)
        self._reduce(myself.name, SnapshotAdopted(now=self.now, snapshot=self._listed()))
        self._at(self.now + self._random.uniform(0.0, TICK), lambda: self._tick(myself.name))
        if greet:
            self.greet()

    def remove(self, name: str) -> None:
        """Stop a host; the others detect it a second later."""
        del self.hosts[HostName(name)]
        self._at(self.now + 1.0, self.greet)

    def greet(self) -> None:
        """Update the live hosts of each host; one that is cut off knows only itself."""
        names = tuple(self.hosts)
        joined = tuple(name for name in names if not self.hosts[name].cut)
        for name in names:
            live = (name,) if self.hosts[name].cut else joined
            event = PeersChanged(now=self.now, hosts=live, fleet_size=len(names))
            self._reduce(name, event)

    def relist(self) -> None:
        """Let all hosts adopt the list of targets again."""
        self._revision += 1
        for name in self.hosts:
            self._reduce(name, SnapshotAdopted(now=self.now, snapshot=self._listed()))

    def at(self, at: float, act: Callable[[], None]) -> None:
        """Schedule an action."""
        self._at(at, act)

    def load(
        self,
        *,
        rate: float,
        start: float,
        seconds: float,
        customer: str = "ann",
        prompt: int = 1_000,
    ) -> None:
        """Schedule requests of a customer at random times and hosts."""
        at = start + self._random.expovariate(rate)
        while at < start + seconds:
            self._at(at, lambda: self._arrive(customer, prompt))
            at += self._random.expovariate(rate)

    def run(self, until: float) -> None:
        """Run the simulation until a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heappop(self._events)
            act()

    def exceeds(self, target: str, *, named: float) -> float:
        """Return by how many requests a target exceeded its limit in any window."""
        name = TargetName(target)
        times = self.targets.times.get(name, [])
        return max_in_window(times, begin=named + 3.0) - max_allowed(str(self.targets.limits[name]))

    def arrived(self, target: str, *, start: float, end: float) -> int:
        """Return how many requests a target got in a period."""
        return sum(start <= at < end for at in self.targets.times.get(TargetName(target), []))

    def served(self, customer: str, *, start: float = 0.0) -> int:
        """Return how many requests of a customer were answered."""
        return sum(
            answer.error is None and answer.over > 0.0
            for answer in self.answers.values()
            if answer.customer == customer and answer.arrived >= start
        )

    def refused(self) -> list[Answer]:
        """Return the requests that ended without an answer."""
        return [answer for answer in self.answers.values() if answer.error is not None]

    def _listed(self) -> Snapshot:
        listed = snapshot(PACE, self._count, self._revision)
        customers = tuple(Customer(name=name, key_hash="") for name in CUSTOMERS)
        return replace(listed, inventory=replace(listed.inventory, customers=customers))

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self._order), act))

    def _tick(self, name: HostName) -> None:
        if name in self.hosts:
            self._reduce(name, Ticked(now=self.now))
            self._at(self.now + TICK, lambda: self._tick(name))

    def _arrive(self, customer: str, prompt: int) -> None:
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
            objective=0.4,
            gap_objective=0.3,
            runs=2,
            unshared=True,
        )
        host = self._random.choice(list(self.hosts))
        self._reduce(host, CallArrived(now=self.now, call=call))

    def _reduce(self, name: HostName, event: ServingEvent) -> None:
        host = self.hosts.get(name)
        if host is not None:
            for effect in reduce(host.state, event):
                self._carry_out(name, effect)

    def _carry_out(self, name: HostName, effect: Effect) -> None:
        if isinstance(effect, StartAttempt):
            self._start(name, effect)
        elif isinstance(effect, FinishCall):
            answer = self.answers[effect.call]
            answer.over, answer.error = self.now, effect.error
        elif isinstance(effect, PublishDigest):
            others = [other for other in self.hosts if other != name]
            if effect.regular and len(others) > HEARD_BY:
                others = self._random.sample(others, HEARD_BY)
            digest = effect.digest
            self._send(name, others, lambda now: DigestReceived(now=now, digest=digest))
        elif isinstance(effect, AskPermit):
            ask = effect
            self._send(
                name, [ask.owner], lambda now: PermitAsked(now=now, host=name, report=ask.report)
            )
            self.messages += 1
        elif isinstance(effect, AnswerPermit):
            told = effect
            self._send(
                name,
                [told.host],
                lambda now: PermitAnswered(
                    now=now, target=told.target, grant=told.grant, report=told.report
                ),
            )
            self.messages += 1

    def _send(
        self, sender: HostName, hosts: Iterable[HostName], event: Callable[[float], ServingEvent]
    ) -> None:
        def arrive() -> None:
            for host in hosts:
                known = self.hosts.get(host)
                if known is not None and not known.cut:
                    self._reduce(host, event(self.now))

        if not self.hosts[sender].cut:
            self._at(self.now + TRANSIT, arrive)

    def _start(self, name: HostName, effect: StartAttempt) -> None:
        sent = self.now
        self.targets.left_aside.append(effect.held_back)
        for target in effect.targets:
            self.targets.times.setdefault(target, []).append(self.now)

        def answer() -> None:
            self._hear(name, effect.targets[0], sent)
            self._reduce(
                name,
                AttemptEnded(
                    now=self.now, call=effect.call, attempt=effect.attempt, end=AttemptEnd.COMPLETE
                ),
            )

        self._at(self.now + WORK, answer)

    def _hear(self, name: HostName, target: TargetName, sent: float) -> None:
        limit = self.targets.limits.get(target)
        if limit is not None:
            self._reduce(name, LimitNamed(now=self.now, target=target, rate=limit, text=str(limit)))
        elif name in self.hosts and self.hosts[name].state.limits.knows(target):
            self._reduce(name, LimitUnnamed(now=self.now, target=target, sent=sent))
