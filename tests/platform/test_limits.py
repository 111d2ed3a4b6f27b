"""Edge processes together keep to the request rate limit of a target."""

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random

import pytest

from azureswitch.exceptions import HttpError
from azureswitch_standins.store import StoreStandin
from bench.soak._documents import DESK, ZONES, Layout, configuration, target_entry
from tests.gateway.fixtures import FakeTarget, Fleet
from tests.gateway.test_limits import SETTLE_SECONDS, WINDOW_SECONDS, max_allowed, max_in_window
from tests.platform.callers import ask
from tests.platform.processes import NETWORK, edge, run, until_listening, until_metric

HOSTS = 3

PAUSE = 0.2
"""Mean seconds between two requests of a caller; each host has one caller."""


async def press(callers: str, *, seconds: float, seed: int) -> list[int]:
    """Send requests to a host for some seconds and return their statuses, 0 for none."""
    random = Random(seed)
    clock = asyncio.get_running_loop().time
    end = clock() + seconds
    statuses = []
    while clock() < end:
        try:
            answer = await ask(callers, "/look/", id=f"r{seed}-{len(statuses)}")
            statuses.append(answer.head.status)
        except HttpError:
            statuses.append(0)
        await asyncio.sleep(random.uniform(0.0, 2.0 * PAUSE))
    return statuses


class TestSeveralHosts:
    """Several hosts that exchange messages."""

    @pytest.mark.parametrize(("limit", "number"), [("1", 0), ("0.5", 1)])
    def test_limit_holds_over_all_hosts(self, tmp_path: Path, limit: str, number: int) -> None:
        """All hosts together stay within the limit, and another target serves the rest."""

        async def scenario() -> None:
            store = StoreStandin()
            await store.start()
            fleet = Fleet()
            targets = {name: FakeTarget(name=name, fleet=fleet, streams=False) for name in "ab"}
            value = configuration(version=1, extra=False, layout=Layout())
            await store.store.create(kind="config", name="main", value=value)
            async with AsyncExitStack() as stack:
                for name, target in targets.items():
                    await target.start()
                    stack.callback(target.stop)
                    entry = target_entry(service=DESK, address=target.address, place=ZONES[0])
                    await store.store.create(kind="servers", name=name, value=entry)
                hosts = []
                for index in range(HOSTS):
                    ip = f"{NETWORK}.{100 + number * HOSTS + index}"
                    folder = tmp_path / ip
                    folder.mkdir()
                    callers, _ = await stack.enter_async_context(
                        edge(folder, ip=ip, store=store.address, name=f"h{index}")
                    )
                    hosts.append(callers)
                for callers in hosts:
                    await until_listening(callers)
                for index in range(HOSTS):
                    ip = f"{NETWORK}.{100 + number * HOSTS + index}"
                    await until_metric(ip, "azureswitch_targets_serving", 2.0)
                fleet.limits = {"a": limit}
                pressing = [
                    press(callers, seconds=SETTLE_SECONDS + 1.5 * WINDOW_SECONDS, seed=seed)
                    for seed, callers in enumerate(hosts)
                ]
                statuses = [status for part in await asyncio.gather(*pressing) for status in part]
                assert max_in_window(
                    fleet.times["a"], begin=fleet.times["a"][0] + SETTLE_SECONDS
                ) <= max_allowed(limit)
                assert statuses.count(200) >= 0.95 * len(statuses)
            await store.stop()

        run(scenario)
