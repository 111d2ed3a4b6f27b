"""One run: hosts, engines and callers on one virtual clock, with faults."""

from enum import Enum
from heapq import merge
from random import Random

from msgspec import Struct, field
from msgspec.structs import replace

from azureswitch.core import CallId, HostName, TargetName
from azureswitch.exceptions import LeavingError
from azureswitch.inventory import TargetRole, set_role
from azureswitch.serving import Digest, HostSelf
from bench.policy._baselines import ORDERS, BaselinePolicy
from bench.policy._entry import Entry, Policy, ReducerPolicy, Served
from bench.policy._queue import EventQueue
from bench.policy._targets import PlainTargets, VirtualEngine
from bench.policy._workload import PLAIN_SHARE, Arrival, Scenario

WARM = 30.0
"""Seconds at the start of a run that no figure counts."""

DURATION = 150.0
"""Seconds for which requests arrive."""

DRAIN = 400.0
"""Seconds that a run goes on afterwards, at most; longer than any deadline."""

FAULT_AT = 60.0
"""When the fault of a run begins."""

FAULT_SECONDS = 40.0
"""How long it lasts."""

DEAD_SHARE = 0.2
"""Share of the engines that die."""

HALF = 0.5
"""Share of the engines that die where half of them do."""

DRAIN_GRACE = 5.0
"""Seconds after which an engine that was set to draining gets no new work."""

ADOPTION_LAG = (0.1, 3.0)
"""Fewest and most seconds until a host serves by a changed configuration."""

FLOOD = 1.0
"""What the flooding customer adds, as a share of the rate of all."""

DIGEST_LAG = (0.001, 0.05)
"""Fewest and most seconds that a digest takes."""

DIGEST_LOSS = 0.01
"""Share of the digests that is lost."""

BALANCER_LAG = 1.0
"""Seconds for which the balancer still sends to a host that is leaving."""

CALLER_TRIES = 3
"""How often a caller sends a request that is refused as not run."""


LEAVING_PAUSE = 0.01
"""Seconds after which a caller that met a leaving host tries another one."""


class Fault(Enum):
    """What goes wrong in a run."""

    PLAIN = "plain"
    ENGINE_DEATHS = "engine_deaths"
    HALF_DEATHS = "half_deaths"
    STORE_OUTAGE = "store_outage"
    ENTRY_RESTART = "entry_restart"
    FLOOD = "flood"


class Run(Struct, frozen=True, kw_only=True):
    """What one run is.

    Attributes:
        scenario: The deployment.
        policy: ``azureswitch`` or the name of a baseline.
        load: The rate as a share of the capacity.
        fault: What goes wrong.
        with_long: Whether prompts from the rules' long prompt on are sent.
        seed: Seeds all draws.
        duration: Seconds for which requests arrive.
    """

    scenario: Scenario
    policy: str = "azureswitch"
    load: float = 0.8
    fault: Fault = Fault.PLAIN
    with_long: bool = True
    seed: int = 1
    duration: float = DURATION


class Outcome(Struct, kw_only=True):
    """What came of a request, over all of its caller's tries.

    Attributes:
        arrival: The request.
        flooding: Whether it was part of a flood.
        tries: What became of each try, the last one last.
    """

    arrival: Arrival
    flooding: bool = False
    tries: list[Served] = field(default_factory=list)

    @property
    def last(self) -> Served:
        """The last try."""
        return self.tries[-1]

    @property
    def finished(self) -> bool:
        """Whether the whole answer came."""
        return bool(self.tries) and self.last.ended_at is not None and self.last.error is None

    @property
    def first_token(self) -> float | None:
        """Seconds from the first try to the first token, or None where none came."""
        if not self.tries or self.last.first_at is None:
            return None
        return self.last.first_at - self.arrival.at


class Result(Struct, frozen=True, kw_only=True):
    """What came of a run.

    Attributes:
        run: The run.
        outcomes: What came of each model request.
        violations: Broken promises, by kind.
        attempts: Attempts that were started.
        events: Events that the policies handled.
        seconds: Processor seconds that they took.
        ended: Virtual time at the end.
    """

    run: Run
    outcomes: tuple[Outcome, ...]
    violations: dict[str, int]
    attempts: int
    events: int
    seconds: float
    ended: float


class Simulation:
    """One run under way."""

    def __init__(self, *, run: Run) -> None:
        self._run = run
        self._random = Random(f"{run.seed}/{run.scenario.name}")
        self.scenario = run.scenario
        self.queue = EventQueue()
        self.engines: dict[TargetName, VirtualEngine] = {}
        self.plain = PlainTargets()
        self.store_up = True
        self.snapshot = run.scenario.snapshot
        self._entries: list[Entry] = []
        self._retired: list[Entry] = []
        self._outcomes: dict[CallId, Outcome] = {}
        self._open = 0
        self._left_at: dict[HostName, float] = {}
        self._drained: VirtualEngine | None = None

    def result(self) -> Result:
        """Run to the end."""
        self._set_up()
        self._set_faults()
        arrivals = self._arrivals()
        self._open = len(arrivals)
        for arrival in arrivals:
            self.queue.at(arrival.at, self._send, arrival)
        until = self._run.duration + DRAIN
        self.queue.run(until=until, while_=lambda: self._open > 0)
        # What is still on its way to the engines, such as cancels, arrives.
        self.queue.run(until=self.queue.now + 1.0, while_=lambda: True)
        entries = (*self._entries, *self._retired)
        return Result(
            run=self._run,
            outcomes=tuple(o for o in self._outcomes.values() if not o.arrival.plain),
            violations=self._violations(),
            attempts=sum(entry.started_attempts for entry in entries),
            events=sum(entry.events for entry in entries),
            seconds=sum(entry.seconds for entry in entries),
            ended=self.queue.now,
        )

    def publish(self, sender: Entry, digest: Digest) -> None:
        """Send a digest to the other hosts; some are lost."""
        for entry in self._entries:
            if entry.name != sender.name and self._random.random() >= DIGEST_LOSS:
                self.queue.after(self._random.uniform(*DIGEST_LAG), entry.hear, digest)

    # --- Set-up -----------------------------------------------------------------------------------

    def _set_up(self) -> None:
        for settings in self.scenario.engines:
            engine = VirtualEngine(settings=settings, queue=self.queue)
            self.engines[engine.name] = engine
        for index in range(self.scenario.hosts):
            self._entries.append(self._entry(index, started=1))
        for entry in self._entries:
            entry.begin(self._hosts())

    def _entry(self, index: int, *, started: int) -> Entry:
        places = self.scenario.inventory.places
        return Entry(
            name=HostName(f"entry-{index}"),
            place=places[index % len(places)].name,
            started=started,
            world=self,
            make=self._make_policy,
            seed=self._run.seed * 1_000 + index * 10 + started,
            on_end=self._ended,
        )

    def _make_policy(self, myself: HostSelf, seed: int) -> Policy:
        order = ORDERS.get(self._run.policy)
        if order is None:
            return ReducerPolicy(myself=myself, seed=seed)
        return BaselinePolicy(order=order, myself=myself, seed=seed)

    def _hosts(self) -> tuple[HostName, ...]:
        return tuple(entry.name for entry in self._entries if not entry.leaving)

    def _arrivals(self) -> list[Arrival]:
        run, scenario = self._run, self.scenario
        rate = scenario.capacity * run.load
        requests = scenario.requests(rate=rate, duration=run.duration, seed=run.seed)
        bookings = scenario.bookings(rate=rate * PLAIN_SHARE, duration=run.duration, seed=run.seed)
        found = list(merge(requests, bookings, key=lambda arrival: arrival.at))
        if run.fault is Fault.FLOOD:
            found += scenario.requests(
                rate=rate * FLOOD,
                duration=FAULT_SECONDS,
                seed=run.seed + 1,
                begin=FAULT_AT,
                customer=scenario.customers[-1].name,
            )
        for arrival in found:
            flooding = arrival.id.startswith(f"m{run.seed + 1}") and run.fault is Fault.FLOOD
            self._outcomes[arrival.id] = Outcome(arrival=arrival, flooding=flooding)
        long = scenario.rules.long_prompt
        return [arrival for arrival in found if run.with_long or arrival.prompt < long]

    # --- Faults -----------------------------------------------------------------------------------

    def _set_faults(self) -> None:
        fault, end = self._run.fault, FAULT_AT + FAULT_SECONDS
        if fault in (Fault.ENGINE_DEATHS, Fault.HALF_DEATHS):
            share = HALF if fault is Fault.HALF_DEATHS else DEAD_SHARE
            engines = list(self.engines.values())
            for engine in self._random.sample(engines, int(len(engines) * share)):
                self.queue.at(FAULT_AT, engine.die)
                self.queue.at(end, engine.revive)
        elif fault is Fault.STORE_OUTAGE:
            self.queue.at(FAULT_AT, self._set_store, False)
            self.queue.at(end, self._set_store, True)
        elif fault is Fault.ENTRY_RESTART:
            self.queue.at(FAULT_AT, self._leave, self._entries[1])
            self.queue.at(FAULT_AT, self._drain, next(iter(self.engines.values())))

    def _set_store(self, up: bool) -> None:
        self.store_up = up

    def _drain(self, engine: VirtualEngine) -> None:
        """Set an engine to draining; each host adopts that in its time."""
        inventory = set_role(self.scenario.inventory, target=engine.name, role=TargetRole.DRAINING)
        self.snapshot = replace(self.snapshot, revision=2, inventory=inventory)
        self._drained = engine
        for entry in self._entries:
            event = self.queue.now + self._random.uniform(*ADOPTION_LAG)
            self.queue.at(event, entry.adopt, self.snapshot)

    def _leave(self, entry: Entry) -> None:
        entry.leave()
        self._left_at[entry.name] = self.queue.now
        self.queue.after(BALANCER_LAG, self._tell_hosts)
        self.queue.after(BALANCER_LAG, self._replace_when_idle, entry)

    def _tell_hosts(self) -> None:
        for entry in self._entries:
            entry.peers_changed(self._hosts())

    def _replace_when_idle(self, entry: Entry) -> None:
        if entry.busy:
            self.queue.after(0.5, self._replace_when_idle, entry)
            return
        entry.stop()
        self._retired.append(entry)
        index = self._entries.index(entry)
        self._entries[index] = self._entry(index, started=entry.started + 1)
        self._entries[index].begin(self._hosts())
        self._tell_hosts()

    # --- Callers ----------------------------------------------------------------------------------

    def _send(self, arrival: Arrival) -> None:
        entries = [entry for entry in self._entries if self._in_balancer(entry)]
        self._random.choice(entries).take(arrival)

    def _in_balancer(self, entry: Entry) -> bool:
        if not entry.leaving:
            return True
        return self.queue.now < self._left_at[entry.name] + BALANCER_LAG

    def _ended(self, served: Served) -> None:
        """Note a final answer; a caller that was told to come back does."""
        original = CallId(served.arrival.id.partition("~")[0])
        outcome = self._outcomes[original]
        outcome.tries.append(served)
        leaving = served.error == LeavingError.code
        permitted = leaving or len(outcome.tries) < CALLER_TRIES
        if served.not_run and served.retry_after is not None and permitted:
            seconds = LEAVING_PAUSE if leaving else served.retry_after
            number = len(outcome.tries)
            arrival = replace(outcome.arrival, id=CallId(f"{original}~{number}"))
            self.queue.after(seconds, self._send, arrival)
            return
        self._open -= 1

    # --- Promises ---------------------------------------------------------------------------------

    def _violations(self) -> dict[str, int]:
        """Count broken promises from what callers and targets saw."""
        tries = [served for outcome in self._outcomes.values() for served in outcome.tries]
        late = [s for s in tries if s.ended_at is not None and s.ended_at > s.deadline + 0.2]
        untrue = [s for s in tries if s.not_run and self._has_run(s)]
        partial_ = [
            s for s in tries if s.error is None and s.tokens != s.arrival.output and s.answers
        ]
        twice = [call for call, runs in self.plain.runs.items() if runs > 1]
        cut = [s for s in tries if s.leaving and s.error is not None and not s.not_run]
        drained = self._drained
        border = FAULT_AT + ADOPTION_LAG[1] + DRAIN_GRACE
        stuck = [e for e in self.engines.values() if e.model.memory_used or e.model.attempts]
        counts = {
            "late": len(late),
            "unanswered": self._open,
            "answered_twice": sum(s.answers > 1 for s in tries),
            "incomplete": len(partial_) + sum(s.gaps for s in tries),
            "not_run_but_ran": len(untrue),
            "ran_twice": len(twice),
            "cut_by_shutdown": len(cut),
            "memory_lost": len(stuck),
            "sent_to_draining": int(drained is not None and drained.submitted_at > border),
        }
        return {kind: count for kind, count in counts.items() if count}

    def _has_run(self, served: Served) -> bool:
        if served.arrival.plain:
            return self.plain.runs[served.arrival.id] > 0
        return served.ran


def simulate(run: Run) -> Result:
    """Carry out a run."""
    return Simulation(run=run).result()
