"""Tests that reserved engine memory is released, also when a process exits."""

import asyncio

import pytest

from azureswitch.core import CallId, TargetName
from azureswitch.exceptions import TargetRefusedError
from azureswitch.gateway._tickets import RELEASE_SECONDS, Ticket, Tickets
from azureswitch_standins.clock import run_virtual
from tests.gateway.fixtures import FakeReservations, model_headers, serve
from tests.waiting import reach

TIMEOUT_SECONDS = 0.1


def ticket(id: str, *, address: str = "127.0.0.1:1") -> Ticket:
    """Return a reservation on an engine."""
    return Ticket(id=id, target=TargetName("e0"), started=0, address=address, tokens=10)


CALL = CallId("c1")
TICKET = ticket("c1-1")

LARGE_PROMPT_TOKENS = 1_000_000
"""Tokens of a prompt that is larger than one engine's memory."""


def releasing() -> list[asyncio.Task[object]]:
    """Return the running release tasks."""
    return [task for task in asyncio.all_tasks() if task.get_name() == "release"]


class TestStop:
    """A process that exits waits briefly for its last releases, and leaves no task running."""

    @pytest.mark.parametrize(("delay", "held"), [(0.0, 0), (0.02, 0), (30.0, 1)])
    def test_release(self, delay: float, held: int) -> None:
        """Quick releases complete; slow ones are cancelled."""

        async def scenario() -> None:
            reservations = FakeReservations()
            reservations.delay = delay
            tickets = Tickets(reservations=reservations, started=lambda name: 0)
            async with tickets.hold((TICKET,), call=CALL):
                assert len(reservations.held) == 1
            await tickets.stop(timeout=TIMEOUT_SECONDS)
            assert len(reservations.held) == held
            assert not releasing()

        asyncio.run(scenario())

    def test_early_stop(self) -> None:
        """A gateway that exits before its grace period ends leaves no release running either."""

        async def scenario() -> None:
            async with serve(grace=1.0) as bed:
                bed.reservations.delay = 30.0
                answer = await bed.ask("/ask/", headers=model_headers(prompt=LARGE_PROMPT_TOKENS))
                assert answer.head.status == 200
                await reach(lambda: len(releasing()) == 1)
                await bed.gateway.stop()
                assert not releasing()

        asyncio.run(scenario())


class TestNextAttempt:
    """A retried request needs memory that its earlier attempt is still releasing."""

    @pytest.mark.parametrize("delay", [0.0, 0.01, RELEASE_SECONDS / 2.0])
    def test_not_refused_by_own_memory(self, delay: float) -> None:
        """The earlier attempt's memory is released before the next attempt reserves its own."""

        async def scenario() -> None:
            reservations, tickets = _full_engine(delay)
            async with tickets.hold((TICKET,), call=CALL):
                pass
            async with tickets.hold((ticket("c1-2"),), call=CALL):
                assert list(reservations.held) == [(TICKET.address, "c1-2")]
            await tickets.stop(timeout=1.0)
            assert not reservations.held

        run_virtual(scenario())

    @pytest.mark.parametrize(
        ("call", "delay", "most"),
        [("c1", 30.0, RELEASE_SECONDS), ("c2", RELEASE_SECONDS / 2.0, 0.0)],
    )
    def test_bound(self, call: str, delay: float, most: float) -> None:
        """The wait is bounded, and memory of other requests is not waited for."""

        async def scenario() -> None:
            _, tickets = _full_engine(delay)
            async with tickets.hold((TICKET,), call=CALL):
                pass
            begun = asyncio.get_running_loop().time()
            with pytest.raises(TargetRefusedError):
                async with tickets.hold((ticket(f"{call}-2"),), call=CallId(call)):
                    pass
            assert asyncio.get_running_loop().time() - begun == pytest.approx(most, abs=0.01)
            await tickets.stop(timeout=0.1)

        run_virtual(scenario())

    def test_unresponsive_engine_delays_no_release(self) -> None:
        """An unresponsive engine does not delay the release of memory on others."""

        async def scenario() -> None:
            reservations, tickets = _full_engine(0.0)
            reservations.unresponsive.add("deaf")
            async with tickets.hold((ticket("c1-1", address="deaf"), TICKET), call=CALL):
                pass
            await asyncio.sleep(0.1)
            assert list(reservations.held) == [("deaf", "c1-1")]
            await tickets.stop(timeout=0.1)

        run_virtual(scenario())


def _full_engine(delay: float) -> tuple[FakeReservations, Tickets]:
    """Return reservations with room for one attempt per engine, and tickets that use them."""
    reservations = FakeReservations()
    reservations.delay, reservations.room = delay, TICKET.tokens
    return reservations, Tickets(reservations=reservations, started=lambda name: 0)
