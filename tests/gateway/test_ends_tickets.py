"""Reservations go on being renewed for as long as their request runs."""

import asyncio
from time import monotonic

import pytest

from azureswitch.core import CallId, TargetName
from azureswitch.exceptions import TargetBrokenError
from azureswitch.gateway import _tickets
from azureswitch.gateway._tickets import (
    HOLD_SECONDS,
    RENEW_AGAIN_SECONDS,
    RENEW_SECONDS,
    Ticket,
    Tickets,
)
from azureswitch.platform._orders import ORDER_TIMEOUT_SECONDS
from tests.gateway.fixtures import FakeReservations
from tests.gateway.test_gateway import run
from tests.waiting import reach

SCALE = 0.1
"""Share of the time between two renewals that the tests wait."""

TICKET = Ticket(id="r1-1", target=TargetName("e0"), started=1, address="a:1", tokens=1)


class UnreliableReservations(FakeReservations):
    """Reservations of which the first renewal fails.

    Args:
        error: How it fails.
        seconds: After how long.
    """

    def __init__(self, *, error: Exception, seconds: float) -> None:
        super().__init__()
        self._error = error
        self._seconds = seconds
        self.made: list[float] = []

    async def reserve(self, *, address: str, ticket: str, tokens: int, seconds: float) -> None:
        """Reserve memory, or fail."""
        self.asked += 1
        if self.asked == 2:
            await asyncio.sleep(self._seconds)
            raise self._error
        self.made.append(monotonic())


class TestRenewals:
    """A renewal that fails."""

    @pytest.mark.parametrize(
        "error",
        [TargetBrokenError(target="a:1"), RuntimeError("a fault")],
        ids=("of the engine", "of ours"),
    )
    def test_next_one(self, error: Exception, monkeypatch: pytest.MonkeyPatch) -> None:
        """The next one follows."""
        monkeypatch.setattr(_tickets, "RENEW_SECONDS", RENEW_SECONDS * SCALE)

        async def scenario() -> None:
            reservations = UnreliableReservations(error=error, seconds=0.0)
            tickets = Tickets(reservations=reservations, started=lambda name: 1)
            async with tickets.hold((TICKET,), call=CallId("r1")):
                async with asyncio.timeout(8.0 * RENEW_SECONDS * SCALE):
                    await reach(lambda: reservations.asked > 3)
            await tickets.stop(timeout=1.0)

        run(scenario)

    def test_in_time(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """After one that went unanswered, the next leaves a tenth of the lease to a slow host."""
        monkeypatch.setattr(_tickets, "RENEW_SECONDS", RENEW_SECONDS * SCALE)
        monkeypatch.setattr(_tickets, "RENEW_AGAIN_SECONDS", RENEW_AGAIN_SECONDS * SCALE)

        async def scenario() -> None:
            reservations = UnreliableReservations(
                error=TargetBrokenError(target="a:1"), seconds=ORDER_TIMEOUT_SECONDS * SCALE
            )
            tickets = Tickets(reservations=reservations, started=lambda name: 1)
            async with tickets.hold((TICKET,), call=CallId("r1")):
                await reach(lambda: len(reservations.made) == 2)
            await tickets.stop(timeout=1.0)
            first, second = reservations.made
            assert second - first < 0.9 * HOLD_SECONDS * SCALE

        run(scenario)
