"""Tests for targets that restart under the same name."""

import asyncio

import pytest
from msgspec.structs import replace

from azureswitch.core import CallId, TargetName
from azureswitch.gateway._log import TargetsChanged
from azureswitch.gateway._tickets import RENEW_SECONDS, Ticket, Tickets
from azureswitch_standins.clock import run_virtual
from tests.gateway.fixtures import (
    Act,
    FakeReservations,
    RecordingLog,
    listed,
    model_headers,
    serve,
    whole_stream,
)
from tests.waiting import reach

STARTED_MS = 1_790_000_000_000
"""A target's start, in milliseconds of the wall clock."""


class TestEntries:
    """The list of targets."""

    @pytest.mark.parametrize(
        ("before", "after", "restarted"),
        [
            (STARTED_MS, STARTED_MS + 1, "s0"),
            (STARTED_MS, STARTED_MS - 1, ""),
            (STARTED_MS, 0, ""),
            (0, STARTED_MS, ""),
        ],
    )
    def test_log(self, before: int, after: int, restarted: str) -> None:
        """Restarts are logged, and an outdated entry does not replace a newer one."""

        async def scenario() -> list[TargetsChanged]:
            log = RecordingLog()
            async with serve(count=1, log=log) as bed:
                entry = listed(bed.targets[1], "s0", streams=False)
                bed.gateway.set_targets((replace(entry, started=before),))
                late = replace(entry, started=after)
                if after and after < before:
                    late = replace(late, address="127.0.0.1:1")
                bed.gateway.set_targets((late,))
                assert (await bed.ask("/read/")).head.status == 200
            return [item for item in log.entries if isinstance(item, TargetsChanged)]

        assert asyncio.run(scenario())[-1].restarted == restarted

    @pytest.mark.parametrize(
        ("path", "act", "runs"),
        [("/ask/", Act.ANSWER, 1), ("/once/", Act.ANSWER, 1), ("/ask/", Act.HANG, 2)],
    )
    def test_streams(self, path: str, act: Act, runs: int) -> None:
        """A running stream completes although its target is reported as restarted.

        It is retried only if it has produced no output.
        """

        async def scenario() -> None:
            async with serve(count=1) as bed:
                bed.fleet.acts, bed.fleet.pause = [act], 0.05
                entry = listed(bed.targets[0], "e0", streams=True)
                bed.gateway.set_targets((replace(entry, started=STARTED_MS),))
                asking = asyncio.ensure_future(bed.ask(path, headers=model_headers()))
                await reach(lambda: len(bed.fleet.runs) == 1)
                await asyncio.sleep(bed.fleet.pause)
                bed.gateway.set_targets((replace(entry, started=STARTED_MS + 1),))
                assert (await asking).body == whole_stream(5)
                assert len(bed.fleet.runs) == runs

        asyncio.run(scenario())


class TestTickets:
    """Memory reservations."""

    @pytest.mark.parametrize(
        ("held", "now", "asked"),
        [
            (STARTED_MS, STARTED_MS, 4),
            (STARTED_MS, STARTED_MS + 1, 3),
            (STARTED_MS, STARTED_MS - 1, 4),
            (0, STARTED_MS, 4),
            (STARTED_MS, 0, 4),
        ],
    )
    def test_renewed(self, held: int, now: int, asked: int) -> None:
        """Reservations that an engine lost by restarting are not renewed there."""
        starts = {TargetName("e1"): held, TargetName("e2"): held}
        reservations = FakeReservations()

        async def scenario() -> None:
            tickets = Tickets(reservations=reservations, started=starts.__getitem__)
            wanted = [
                Ticket(
                    id="c1-1",
                    target=name,
                    started=held,
                    address=name,
                    tokens=9,
                )
                for name in starts
            ]
            async with tickets.hold(wanted, call=CallId("c1")):
                starts[TargetName("e1")] = now
                await asyncio.sleep(1.5 * RENEW_SECONDS)
            await asyncio.sleep(1.0)

        run_virtual(scenario())
        assert reservations.asked == asked
        assert not reservations.held
