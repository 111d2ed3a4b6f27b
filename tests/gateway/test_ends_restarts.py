"""A begun stream whose next attempt waits at a target that is listed as restarted."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

import pytest
from msgspec.structs import replace

from azureswitch.gateway import RouteKind
from azureswitch.inventory import TargetRole
from azureswitch.server import Exchange
from tests.gateway import test_ends_configurations as configurations
from tests.gateway.fixtures import SEAL, deployment, event, route
from tests.gateway.test_ends_configurations import COUNT, HeldTarget, check_whole, serve
from tests.gateway.test_gateway import run
from tests.waiting import reach

RUNS = 4


@dataclass(slots=True, kw_only=True)
class BreakingTarget(HeldTarget):
    """A target that breaks its first stream off after an event, and waits before the next."""

    async def _answer(self, exchange: Exchange) -> None:
        headers = (
            ("x-azureswitch-attempt-id", exchange.request.header("x-azureswitch-attempt-id") or ""),
            *SEAL,
        )
        first = self.runs == 1
        if not first:
            await self.go.wait()
        exchange.begin(status=HTTPStatus.OK, headers=headers)
        if first:
            exchange.write(event(1))
            await asyncio.sleep(0.02)
            exchange.abort()
            return
        exchange.write(b"".join(event(number) for number in range(2, COUNT + 1)))
        exchange.finish()


class TestBegun:
    """No other target may take it."""

    def test_waits(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The attempt is not cancelled, as it may run at the new process."""
        monkeypatch.setattr(configurations, "HeldTarget", BreakingTarget)
        stream = route(
            RouteKind.STREAMING, prefix="/ask/", service="pool", resumable=True, runs=RUNS
        )

        async def scenario() -> None:
            async with serve() as bed:
                bed.gateway.adopt(deployment(2, routes=(stream,)))
                bed.gateway.set_targets(tuple(replace(t, started=1) for t in bed.targets()))
                asking = asyncio.create_task(bed.ask("/ask/"))
                await reach(lambda: bed.target.runs == 2)
                bed.gateway.set_targets(
                    tuple(
                        replace(target, started=2, role=TargetRole.DRAINING)
                        for target in bed.targets()
                    )
                )
                await asyncio.sleep(0.7)
                bed.target.go.set()
                check_whole(await asking, "/ask/")

        run(scenario)
