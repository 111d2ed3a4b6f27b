"""Callers who give up and come back, engines with slots, and today's collapse under overload.

Guards against a simulation that hides an overload: engines that run any number of requests at once,
or callers who wait forever and never come back.
"""

import pytest

from tests.serving.batching import Engine, Part, Request, Workload
from tests.serving.callers import CallerSimulation
from tests.serving.overload import (
    CAPACITY,
    ENGINES,
    HOSTS,
    KINDS,
    PACE,
    SHORT,
    add_load,
)


def part(name: str, *, helper: bool = False) -> Part:
    """Return a part of a request."""
    request = Request(call=name, kind=SHORT, prompt=1, arrived=0.0)  # type: ignore[arg-type]
    return Part(request=request, tokens=1.0, seconds=0.0, helper=helper)


class TestSlots:
    """Slots and the queue of an engine."""

    def test_queue(self) -> None:
        """Requests beyond the slots wait, and those beyond the queue are rejected."""
        engine = Engine(slots=1, max_queue=1)
        first, second, third = part("a"), part("b"), part("c")
        assert [engine.accept(item) for item in (first, second, third)] == [True, True, False]
        assert (engine.prefilling, engine.queue) == ([first], [second])

    def test_helper(self) -> None:
        """A part of a helper takes no slot."""
        engine = Engine(slots=1, max_queue=0)
        assert engine.accept(part("a", helper=True))
        assert engine.accept(part("b"))
        assert engine.taken == 1

    @pytest.mark.parametrize("running", [True, False])
    def test_remove(self, running: bool) -> None:
        """The slot of a cancelled request goes to the next one; one in the queue had none."""
        engine = Engine(slots=1, max_queue=1)
        first, second = part("a"), part("b")
        assert engine.accept(first)
        assert engine.accept(second)
        engine.remove((first if running else second).request)
        assert (engine.taken, engine.queue) == (1, [])
        assert engine.prefilling == [second if running else first]


def crowd(*, kind: Workload = SHORT, obedient: bool = True, queue: int = 1) -> CallerSimulation:
    """Simulate far more callers than one engine serves."""
    simulation = CallerSimulation(
        pace=PACE, engines=1, hosts=2, seed=1, queue=queue, obedient=obedient
    )
    simulation.load(kind, rate=40.0, start=0.0, seconds=2.0)
    simulation.run(14.0)
    return simulation


class TestCallers:
    """Callers who are refused or get no event."""

    @pytest.mark.parametrize("obedient", [True, False])
    def test_retry(self, obedient: bool) -> None:
        """A refused caller tries once more, and no earlier than told if it respects that."""
        simulation = crowd(obedient=obedient)
        refused = [caller for caller in simulation.callers if caller.refused is not None]
        assert refused
        assert all(caller.tries == 2 for caller in refused)
        assert any(caller.told for caller in refused) is obedient

    def test_patience(self) -> None:
        """A caller without an event gives up after its patience; its slot is then free."""
        simulation = crowd(queue=100)
        assert any(caller.tries == 2 and caller.refused is None for caller in simulation.callers)
        assert all(caller.over for caller in simulation.callers)
        assert all(engine.taken == 0 for engine in simulation._engines.values())

    def test_deadline(self) -> None:
        """Nobody waits beyond the deadline, also with a long patience."""
        simulation = crowd(kind=replace_kind(SHORT, objective=100.0, deadline=1.0))
        first = [request.first for request in simulation.requests if request.first is not None]
        assert all(caller.over for caller in simulation.callers)
        assert max(first) <= 2.0 + 1.0


def replace_kind(kind: Workload, *, objective: float, deadline: float) -> Workload:
    """Return a kind with another objective and deadline."""
    return Workload(
        prompt=kind.prompt,
        sigma=kind.sigma,
        max_prompt=kind.max_prompt,
        events=kind.events,
        objective=objective,
        max_pause=kind.max_pause,
        weight=kind.weight,
        deadline=deadline,
        priority=kind.priority,
    )


class TestWithoutControl:
    """What callers get where overload control is off: the failure that it guards against."""

    def test_collapse(self) -> None:
        """At five times the usual load, goodput falls below what the usual load has."""
        simulation = CallerSimulation(pace=PACE, engines=ENGINES, hosts=HOSTS, seed=1)
        add_load(simulation, factor=1.0, start=0.0, seconds=4.0)
        add_load(simulation, factor=5.0, start=4.0, seconds=10.0)
        simulation.run(24.0)
        usual = simulation.on_time(KINDS, start=0.0, end=4.0)
        assert simulation.on_time(KINDS, start=6.0, end=14.0) < usual

    @pytest.mark.parametrize("factor", [1.2, 1.5, 2.0])
    def test_urgent(self, factor: float) -> None:
        """The most urgent kind keeps least of its credit."""
        simulation = CallerSimulation(pace=PACE, engines=ENGINES, hosts=HOSTS, seed=1)
        add_load(simulation, factor=factor * CAPACITY, start=0.0, seconds=10.0)
        simulation.run(22.0)
        shares = [simulation.credit([kind]) for kind in KINDS]
        assert shares == sorted(shares)
        assert shares[0] < 0.5
