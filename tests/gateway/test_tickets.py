"""Memory on engines is released before a process ends."""

import asyncio

import pytest

from azureswitch.core import CallId, TargetName
from azureswitch.exceptions import TargetRefusedError
from azureswitch.gateway._tickets import RELEASE_SECONDS, Ticket, Tickets
from azureswitch_standins.clock import run_virtual
from tests.gateway.fixtures import FakeReservations, model_headers, serve
from tests.waiting import reach

TIMEOUT = 0.1


def ticket(id: str, *, address: str = "127.0.0.1:1") -> Ticket:
    """Return memory that a request needs on an engine."""
    return Ticket(id=id, target=TargetName("e0"), started=0, address=address, tokens=10)


CALL = CallId("c1")
TICKET = ticket("c1-1")

LARGE = 1_000_000
"""Tokens of a prompt that is larger than one engine's memory."""


def releasing() -> list[asyncio.Task[object]]:
    """Return the orders to release memory that are under way."""
    return [task for task in asyncio.all_tasks() if task.get_name() == "release"]


class TestStop:
    """A process that ends waits a moment for its last orders, and leaves none under way."""

    @pytest.mark.parametrize(("delay", "held"), [(0.0, 0), (0.02, 0), (30.0, 1)])
    def test_release(self, delay: float, held: int) -> None:
        """What takes a moment is done; what takes longer is called off."""

        async def scenario() -> None:
            reservations = FakeReservations()
            reservations.delay = delay
            tickets = Tickets(reservations=reservations, started=lambda name: 0)
            async with tickets.hold((TICKET,), call=CALL):
                assert len(reservations.held) == 1
            await tickets.stop(timeout=TIMEOUT)
            assert len(reservations.held) == held
            assert not releasing()

        asyncio.run(scenario())

    def test_early_stop(self) -> None:
        """A gateway that ends before its time of grace is over leaves none under way either."""

        async def scenario() -> None:
            async with serve(grace=1.0) as bed:
                bed.reservations.delay = 30.0
                answer = await bed.ask("/ask/", headers=model_headers(prompt=LARGE))
                assert answer.head.status == 200
                await reach(lambda: len(releasing()) == 1)
                await bed.gateway.stop()
                assert not releasing()

        asyncio.run(scenario())


class TestNextAttempt:
    """A request that goes on elsewhere needs memory that its earlier attempt is giving back."""

    @pytest.mark.parametrize("delay", [0.0, 0.01, RELEASE_SECONDS / 2.0])
    def test_refused_by_its_own_memory(self, delay: float) -> None:
        """What its earlier attempt held is free before it asks for its own."""

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
        """It waits for a moment alone, and not at all for what other requests held."""

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

    def test_release_held_up_by_a_deaf_engine(self) -> None:
        """An engine that does not answer holds up no memory on others."""

        async def scenario() -> None:
            reservations, tickets = _full_engine(0.0)
            reservations.deaf.add("deaf")
            async with tickets.hold((ticket("c1-1", address="deaf"), TICKET), call=CALL):
                pass
            await asyncio.sleep(0.1)
            assert list(reservations.held) == [("deaf", "c1-1")]
            await tickets.stop(timeout=0.1)

        run_virtual(scenario())


def _full_engine(delay: float) -> tuple[FakeReservations, Tickets]:
    """Return engines that each have room for one attempt, and who sets memory aside there."""
    reservations = FakeReservations()
    reservations.delay, reservations.room = delay, TICKET.tokens
    return reservations, Tickets(reservations=reservations, started=lambda name: 0)
