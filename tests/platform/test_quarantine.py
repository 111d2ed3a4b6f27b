"""Quarantined requests survive the death of all hosts.

If hosts kept them only in memory, a request that crashes targets would crash three more of them
each time that all hosts are killed and the request is sent again.
"""

import asyncio
from pathlib import Path

import msgspec
import pytest

from azureswitch_standins.store import StoreFaults, StoreStandin
from bench.soak._documents import DESK, configuration
from tests.gateway.fixtures import Act, FakeTarget, Fleet
from tests.platform.callers import ask
from tests.platform.processes import NETWORK, edge, run, until_listening, until_metric

TARGETS = 5

LOOKUP = "/look/1"
"""A path whose requests may be retried."""

KEPT_SECONDS = 3.0
"""Seconds after which quarantined requests are stored, also after a store outage of two."""


HELD_LONG = 60.0
"""Retry delay in seconds above which a request stays quarantined over a restart of all hosts."""


async def fill(store: StoreStandin, targets: list[FakeTarget]) -> None:
    """Write a configuration and some running targets."""
    value = configuration(version=1, extra=False, idle_routes=0)
    await store.store.create(kind="config", name="main", value=value)
    for number, target in enumerate(targets):
        fields = {"Service": DESK, "Address": target.address, "Zone": "z1", "State": "in_service"}
        entry = msgspec.json.encode(fields)
        await store.store.create(kind="servers", name=f"i-{number}", value=entry)


async def crash_until_held(callers: str) -> None:
    """Repeat a crashing request after each retry delay until it is quarantined for long."""
    for number in range(20):
        answer = await ask(callers, LOOKUP, id=f"r{number}", body=b"crashes")
        seconds = answer.head.retry_after or 0.0
        if seconds > HELD_LONG:
            return
        await asyncio.sleep(seconds)
    raise AssertionError("The request was never quarantined for long.")


class TestAllKilled:
    """All hosts (here a single one) are killed after a request has crashed three targets."""

    @pytest.mark.parametrize(
        ("ip", "faults"),
        [
            pytest.param(f"{NETWORK}.40", StoreFaults(), id="store up"),
            pytest.param(f"{NETWORK}.41", StoreFaults(down=True), id="store away then"),
        ],
    )
    def test_remembered(self, tmp_path: Path, ip: str, faults: StoreFaults) -> None:
        """The request is not run again, and other requests are."""

        async def scenario() -> None:
            store = StoreStandin()
            await store.start()
            fleet = Fleet(acts=[Act.CLOSE] * 100)
            targets = [
                FakeTarget(name=f"i-{n}", fleet=fleet, streams=False) for n in range(TARGETS)
            ]
            for target in targets:
                await target.start()
            await fill(store, targets)
            async with edge(tmp_path, ip=ip, store=store.address) as (callers, _):
                await until_metric(ip, "azureswitch_targets_serving", TARGETS)
                await store.set_faults(faults=faults)
                await crash_until_held(callers)
                await asyncio.sleep(KEPT_SECONDS * 2.0 / 3.0)
                await store.set_faults(faults=StoreFaults())
                await asyncio.sleep(KEPT_SECONDS)
            fleet.acts.clear()
            fleet.runs.clear()
            async with edge(tmp_path, ip=ip, store=store.address) as (callers, _):
                await until_listening(callers)
                await until_metric(ip, "azureswitch_targets_serving", TARGETS)
                again = await ask(callers, LOOKUP, id="again", body=b"crashes")
                other = await ask(callers, LOOKUP, id="other", body=b"does not")
            assert [item.id for item in fleet.runs] == ["other"]
            assert (again.head.status, other.head.status) == (503, 200)
            assert again.head.retry_after
            for target in targets:
                target.stop()
            await store.stop()

        run(scenario)
