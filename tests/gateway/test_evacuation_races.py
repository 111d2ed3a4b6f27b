"""A failure domain is evacuated while an attempt at one of its targets is being prepared."""

import asyncio

import pytest

from azureswitch.client import HttpClient
from azureswitch.client._connection import Connection
from azureswitch.core import CallId
from tests.gateway.fixtures import model_headers
from tests.gateway.test_evacuations import (
    LARGE_PROMPT_TOKENS,
    P1,
    P2,
    TRIES,
    ask,
    divided,
    evacuate,
    place_at,
    run,
)


class TestRaces:
    """The check before anything is sent."""

    @pytest.mark.parametrize("path", ["/read/", "/book/", "/ask/"])
    def test_unlisted(self, path: str, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a request to an evacuated target that has also left the list."""
        connect = HttpClient._connect

        async def scenario() -> None:
            async with divided(count=2) as (bed, _):
                everything = tuple(bed.gateway._listed.by_name.values())

                async def slow(client: HttpClient, deadline: float) -> Connection:
                    connection = await connect(client, deadline)
                    if client.address != bed.gateway.callers_address:
                        evacuate(bed, P1)
                        bed.gateway.set_targets(tuple(t for t in everything if t.place != P1))
                    return connection

                monkeypatch.setattr(HttpClient, "_connect", slow)
                for number in range(TRIES):
                    bed.gateway.set_targets(everything)
                    evacuate(bed)
                    await ask(bed, path, f"r{number}")
                assert {place_at(sent.target) for sent in bed.fleet.runs} == {P2}

        run(scenario)

    def test_reservation(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against memory reserved at a target evacuated during the wait for releases."""

        async def scenario() -> None:
            async with divided(count=6) as (bed, _):
                reserved: list[str] = []
                reserve = bed.reservations.reserve

                async def wait(call: CallId) -> None:
                    evacuate(bed, P1)
                    await asyncio.sleep(0.01)

                async def record(*, address: str, **more: object) -> None:
                    reserved.append(address)
                    await reserve(address=address, **more)  # type: ignore[arg-type]

                monkeypatch.setattr(bed.gateway._tickets, "_wait_for_releases", wait)
                monkeypatch.setattr(bed.reservations, "reserve", record)
                await bed.ask("/ask/", headers=model_headers(prompt=LARGE_PROMPT_TOKENS))
                evacuated = {bed.targets[index].address for index in (0, 2, 4)}
                assert not evacuated & set(reserved)

        run(scenario)
