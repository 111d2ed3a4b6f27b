"""Overload control in the reducer: arrivals, retries, digests and plain services.

Guards against a refusal that says "not run" of a call that ran, against retries that take the
capacity of new calls, and against any effect where overload control is off.
"""

import pytest
from msgspec.structs import replace

from azureswitch.core import CallId, CustomerName, Effect, HostName, PlaceName, ServiceName
from azureswitch.exceptions import OverloadedError, Ran
from azureswitch.inventory import Snapshot
from azureswitch.serving import (
    AnnounceOverload,
    AttemptEnd,
    AttemptEnded,
    Call,
    CallArrived,
    FinishCall,
    HostSelf,
    ObserveRank,
    PeersChanged,
    PublishDigest,
    Rank,
    ServingState,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
    reduce,
)
from tests.serving.callers import CallerSimulation
from tests.serving.fixtures import booking
from tests.serving.fixtures import snapshot as plain_snapshot
from tests.serving.overload import ENGINES, HOSTS, KINDS, PACE, add_load

SLOTS = 2


def host(*, control: bool = True, slots: int = SLOTS) -> ServingState:
    """Return a host before one target of a plain service."""
    state = ServingState(
        myself=HostSelf(name=HostName("h0"), place=PlaceName("a1"), started=1),
        seed=1,
        lean=True,
        overload_control=control,
    )
    target = replace(booking("s1"), slots=slots)
    snapshot: Snapshot = plain_snapshot(targets=(target,))
    reduce(state, SnapshotAdopted(now=0.0, snapshot=snapshot))
    reduce(state, PeersChanged(now=0.0, hosts=(HostName("h0"),)))
    return state


def arrive(state: ServingState, name: str, *, route: int = 0, now: float = 0.0) -> list[Effect]:
    """Let a call arrive, whose objective leaves no time to wait for a slot."""
    call = Call(
        id=CallId(name),
        customer=CustomerName("ann"),
        service=ServiceName("book"),
        deadline=now + 1.6,
        objective=0.006,
        unshared=True,
        rank=Rank(route=route),
    )
    return list(reduce(state, CallArrived(now=now, call=call)))


def refusals(effects: list[Effect]) -> list[OverloadedError]:
    """Return the refusals because of overload."""
    errors = [effect.error for effect in effects if isinstance(effect, FinishCall)]
    return [error for error in errors if isinstance(error, OverloadedError)]


class TestPlain:
    """Calls to a plain service, whose scarce resource is slots."""

    @pytest.mark.parametrize(
        ("control", "slots", "refused"), [(True, 2, 3), (False, 2, 0), (True, 0, 0)]
    )
    def test_slots(self, control: bool, slots: int, refused: int) -> None:
        """Calls that would wait for a slot and be late are refused, if the slots are known."""
        state = host(control=control, slots=slots)
        effects = [effect for index in range(8) for effect in arrive(state, f"c{index}")]
        started = [effect for effect in effects if isinstance(effect, StartAttempt)]
        errors = refusals(effects)
        assert (len(errors) >= refused) if refused else not errors
        assert len(started) + len(errors) == 8
        assert all(error.ran is Ran.NOT_RUN and error.seconds > 0.0 for error in errors)

    def test_report(self) -> None:
        """Each refusal is announced with what it rests on, and counted by rank."""
        state = host()
        effects = [effect for index in range(8) for effect in arrive(state, f"c{index}", route=2)]
        announced = [effect for effect in effects if isinstance(effect, AnnounceOverload)]
        counted = [e for e in effects if isinstance(e, ObserveRank) and e.reason]
        assert len(announced) == len(counted) == len(refusals(effects)) > 0
        assert announced[-1].slots == SLOTS
        assert announced[-1].taken >= SLOTS
        assert (announced[-1].known, announced[-1].hosts) == (1, 1)


class TestRetry:
    """A call that a target has rejected."""

    @pytest.mark.parametrize("control", [True, False])
    def test_last(self, control: bool) -> None:
        """It is not sent again while new calls of its rank need the slots."""
        state = host(control=control)
        sent = [e for e in arrive(state, "c0") if isinstance(e, StartAttempt)]
        others = [effect for index in range(6) for effect in arrive(state, f"d{index}")]
        assert any(isinstance(effect, StartAttempt) for effect in others)
        end = AttemptEnded(
            now=0.001, call=sent[0].call, attempt=sent[0].attempt, end=AttemptEnd.REFUSED
        )
        effects = list(reduce(state, end))
        errors = refusals(effects)
        assert bool(errors) is control
        assert all(error.ran is Ran.NOT_RUN for error in errors)
        assert any(isinstance(effect, StartAttempt) for effect in effects) is not control


class TestDigests:
    """Arrival rates in digests."""

    @pytest.mark.parametrize("control", [True, False])
    def test_arrivals(self, control: bool) -> None:
        """They are reported within 0.3 s of an arrival, only with overload control."""
        state = host(control=control)
        reduce(state, Ticked(now=0.0))
        for index in range(20):
            arrive(state, f"c{index}", now=0.01)
        digests = [
            effect.digest
            for tick in range(1, 7)
            for effect in reduce(state, Ticked(now=0.05 * tick))
            if isinstance(effect, PublishDigest)
        ]
        assert any(digest.arrivals for digest in digests) is control


class TestKilled:
    """Hosts that die during an overload."""

    def test_half(self) -> None:
        """After half of the hosts are killed, the rest serve on, and recover after the burst."""
        simulation = CallerSimulation(
            pace=PACE, engines=ENGINES, hosts=HOSTS, seed=1, overload_control=True
        )
        add_load(simulation, factor=5.0, start=0.0, seconds=6.0)
        add_load(simulation, factor=1.0, start=6.0, seconds=5.0)
        simulation.kill_at(3.0, HOSTS // 2)
        simulation.run(18.0)
        assert simulation.on_time(KINDS, start=4.0, end=6.0) > 120.0
        late = [request for request in simulation.requests if 7.0 <= request.arrived < 11.0]
        assert sum(request.on_time for request in late) > 0.95 * len(late)
