"""One host that suddenly gets most new connections of a failure domain."""

import asyncio
from pathlib import Path

import pytest

from azureswitch.exceptions import HttpError
from azureswitch_standins.store import StoreStandin
from bench.soak._documents import POOL, Layout, configuration, target_entry
from tests.gateway.fixtures import FakeTarget, Fleet, model_headers
from tests.platform.callers import ask
from tests.platform.processes import NETWORK, edge, run, until_listening, until_metric

RATE = 28.0
"""Requests a second of the largest failure domain that the users plan for, as played."""

SECONDS = 4.0
"""Seconds for which they come, each on a new connection."""

MIN_SERVED = 0.95
"""Least share of them that is served at the first attempt."""

TARGETS = 6
EVENTS = 38
EVENT_SECONDS = 0.045
"""Seconds between two events of a stream; a target writes one in this time."""


async def served(callers: str, number: int) -> bool:
    """Send a request on a new connection; return whether it was answered with success."""
    try:
        answer = await ask(callers, f"/ask/{number}", id=f"r{number}", headers=model_headers())
    except HttpError:
        return False
    return answer.head.status == 200


async def send_all(callers: str, *, rate: float) -> list[bool]:
    """Send requests at a rate, and return which of them were served."""
    tasks = []
    for number in range(int(rate * SECONDS)):
        tasks.append(asyncio.create_task(served(callers, number)))
        await asyncio.sleep(1.0 / rate)
    return await asyncio.gather(*tasks)


class TestMostConnections:
    """All new connections go to one host."""

    @pytest.mark.parametrize("rate", [RATE])
    def test_first_attempts(self, tmp_path: Path, rate: float) -> None:
        """Requests are read and served at the first attempt."""

        async def scenario() -> None:
            store = StoreStandin()
            await store.start()
            fleet = Fleet(events=EVENTS, pause=EVENT_SECONDS)
            targets = [FakeTarget(name=f"i-{n}", fleet=fleet, streams=True) for n in range(TARGETS)]
            value = configuration(version=1, extra=False, layout=Layout())
            await store.store.create(kind="config", name="main", value=value)
            for number, target in enumerate(targets):
                await target.start()
                models = [{"Name": "m"}]
                entry = target_entry(
                    service=POOL, address=target.address, place="z1", Models=models
                )
                await store.store.create(kind="servers", name=f"i-{number}", value=entry)
            ip = f"{NETWORK}.60"
            async with edge(tmp_path, ip=ip, store=store.address) as (callers, _):
                await until_listening(callers)
                await until_metric(ip, "azureswitch_targets_serving", TARGETS)
                answers = await send_all(callers, rate=rate)
            assert sum(answers) >= MIN_SERVED * len(answers)
            for target in targets:
                target.stop()
            await store.stop()

        run(scenario)
