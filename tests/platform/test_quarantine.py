"""Quarantined requests survive the death of all hosts.

If hosts kept them only in memory, a request that crashes targets would crash three more of them
each time that all hosts are killed and the request is sent again.
"""

import asyncio
from pathlib import Path

import pytest

from azureswitch.platform import header_names
from azureswitch_standins.store import StoreFaults, StoreStandin
from bench.soak._documents import DESK, Layout, configuration, target_entry
from tests.gateway.fixtures import Act, FakeTarget, Fleet
from tests.platform.callers import ask
from tests.platform.processes import NETWORK, edge, run, until_listening, until_metric

TARGETS = 8

LOOKUP = "/look/1"
"""A path whose requests may be retried."""

KEPT_SECONDS = 3.0
"""Seconds after which quarantined requests are stored, also after a store outage of two."""


HELD_LONG = 60.0
"""Retry delay in seconds above which a request stays quarantined over a restart of all hosts."""


async def fill(store: StoreStandin, targets: list[FakeTarget]) -> None:
    """Write a configuration and some running targets."""
    value = configuration(version=1, extra=False, layout=Layout())
    await store.store.create(kind="config", name="main", value=value)
    for number, target in enumerate(targets):
        entry = target_entry(service=DESK, address=target.address, place="z1")
        await store.store.create(kind="servers", name=f"i-{number}", value=entry)


def crashing(number: int, *, shared: bool) -> dict[str, object]:
    """Return a request that crashes targets: by a part, unlike the others, or always the same."""
    if not shared:
        return {"body": b"crashes"}
    parts = f"aa:40,bad:100,{number:x}:9"
    return {
        "body": f"unlike the others {number}".encode(),
        "headers": ((header_names.PROMPT_PARTS, parts),),
    }


async def crash_until_held(callers: str, *, shared: bool) -> None:
    """Send crashing requests after each retry delay until they are quarantined for long."""
    for number in range(20):
        answer = await ask(callers, LOOKUP, id=f"r{number}", **crashing(number, shared=shared))
        seconds = answer.head.retry_after or 0.0
        if seconds > HELD_LONG:
            return
        await asyncio.sleep(seconds)
    raise AssertionError("The request was never quarantined for long.")


class TestAllKilled:
    """All hosts (here a single one) are killed after a request has crashed three targets."""

    @pytest.mark.parametrize(
        ("ip", "faults", "shared"),
        [
            pytest.param(f"{NETWORK}.40", StoreFaults(), False, id="store up"),
            pytest.param(f"{NETWORK}.41", StoreFaults(down=True), False, id="store away then"),
            pytest.param(f"{NETWORK}.42", StoreFaults(), True, id="a shared part"),
        ],
    )
    def test_remembered(self, tmp_path: Path, ip: str, faults: StoreFaults, shared: bool) -> None:
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
                await crash_until_held(callers, shared=shared)
                await asyncio.sleep(KEPT_SECONDS * 2.0 / 3.0)
                await store.set_faults(faults=StoreFaults())
                await asyncio.sleep(KEPT_SECONDS)
            fleet.acts.clear()
            fleet.runs.clear()
            async with edge(tmp_path, ip=ip, store=store.address) as (callers, _):
                await until_listening(callers)
                await until_metric(ip, "azureswitch_targets_serving", TARGETS)
                again = await ask(callers, LOOKUP, id="again", **crashing(99, shared=shared))
                other = await ask(callers, LOOKUP, id="other", body=b"does not")
            assert [item.id for item in fleet.runs] == ["other"]
            assert (again.head.status, other.head.status) == (503, 200)
            assert again.head.retry_after
            for target in targets:
                target.stop()
            await store.stop()

        run(scenario)
