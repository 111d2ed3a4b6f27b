"""A gateway sends nothing new to evacuated failure domains, and lets what runs there end."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from http import HTTPStatus

import pytest
from msgspec.structs import replace

from azureswitch.client import HttpClient
from azureswitch.client._connection import Connection
from azureswitch.core import PlaceName
from azureswitch.gateway import _evacuations as waiting
from azureswitch.gateway import _tickets as tickets
from azureswitch.gateway._announced import (
    EvacuationsUnknown,
    PlaceEmpty,
    PlaceEvacuated,
    PlaceRestored,
)
from azureswitch.gateway._log import AttemptOver, AttemptSent, RequestFailed
from azureswitch.inventory import Evacuation
from azureswitch.logs import Entry
from tests.gateway.fixtures import Act, Bed, RecordingLog, listed, model_headers, serve
from tests.waiting import PATIENCE, reach

EVACUATION = Evacuation(since=1_790_000_000_000, author="dana", reason="power")

P1, P2 = PlaceName("p1"), PlaceName("p2")

TRIES = 12
"""Number of requests sent, enough for each target to receive some."""

SOON = 0.05
"""Seconds that stand in for longer waits."""

LARGE_PROMPT_TOKENS = 1_000_000
"""Tokens of a prompt that only three engines can hold."""


def place_at(name: str) -> PlaceName:
    """Return the failure domain of a target: targets alternate between the two."""
    return P2 if int(name[1:]) % 2 else P1


@asynccontextmanager
async def divided(*, count: int = 4, **more: object) -> AsyncIterator[tuple[Bed, RecordingLog]]:
    """Run a gateway whose targets are in two failure domains, and a record of its log."""
    log = RecordingLog()
    async with serve(count=count, log=log, **more) as bed:  # type: ignore[arg-type]
        entries = [
            replace(listed(target, f"{kind}{index}", streams=kind == "e"), place=place)
            for kind, targets in (("e", bed.targets[:count]), ("s", bed.targets[count:]))
            for index, target in enumerate(targets)
            for place in (place_at(f"{kind}{index}"),)
        ]
        bed.gateway.set_targets(tuple(entries))
        yield bed, log


def evacuate(bed: Bed, *places: PlaceName) -> None:
    """Let the gateway learn of the evacuated failure domains."""
    bed.gateway.set_evacuations(dict.fromkeys(places, EVACUATION))


async def ask(bed: Bed, path: str, id: str) -> HTTPStatus:
    """Send a request and return the status of its answer."""
    headers = model_headers() if path == "/ask/" else ()
    return HTTPStatus((await bed.ask(path, id=id, headers=headers)).head.status)


async def reached(bed: Bed, path: str) -> set[PlaceName]:
    """Send some requests concurrently and return the failure domains that ran them."""
    bed.fleet.runs.clear()
    number = bed.fleet.arrivals
    await asyncio.gather(*(ask(bed, path, f"t{number}-{index}") for index in range(TRIES)))
    return {place_at(run.target) for run in bed.fleet.runs}


def written(log: RecordingLog, kind: type[Entry]) -> list[Entry]:
    """Return the entries of a kind."""
    return [entry for entry in log.entries if isinstance(entry, kind)]


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario to its end."""

    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE):
            await scenario()

    asyncio.run(bounded())


class TestNothingNew:
    """Requests while a failure domain is evacuated."""

    @pytest.mark.parametrize("path", ["/read/", "/book/", "/ask/"])
    def test_elsewhere(self, path: str) -> None:
        """Guards against requests to an evacuated domain, and none after it is restored."""

        async def scenario() -> None:
            async with divided() as (bed, _):
                evacuate(bed, P1)
                assert await reached(bed, path) == {P2}
                evacuate(bed)
                assert P1 in await reached(bed, path)

        run(scenario)

    @pytest.mark.parametrize("path", ["/read/", "/book/", "/ask/"])
    def test_refused(self, path: str) -> None:
        """Guards against a call that hangs, or is said to have run, where all is evacuated."""

        async def scenario() -> None:
            async with divided() as (bed, log):
                evacuate(bed, P1, P2)
                headers = model_headers() if path == "/ask/" else ()
                answer = await bed.ask(path, headers=headers)
                assert answer.head.status == HTTPStatus.SERVICE_UNAVAILABLE
                assert 1.0 <= float(dict(answer.head.headers)["retry-after"]) <= 2.0
                (failed,) = written(log, RequestFailed)
                assert isinstance(failed, RequestFailed)
                assert (failed.code, failed.ran) == ("service_evacuated", "not_run")
                assert not bed.fleet.arrivals

        run(scenario)

    def test_while_reserving(self) -> None:
        """Guards against a request written after its target was evacuated as memory was reserved.

        The request goes elsewhere, and the memory is released.
        """

        async def scenario() -> None:
            async with divided(count=6) as (bed, log):
                reserve = bed.reservations.reserve

                async def slow(*, address: str, ticket: str, tokens: int, seconds: float) -> None:
                    evacuate(bed, P1)
                    await reserve(address=address, ticket=ticket, tokens=tokens, seconds=seconds)

                bed.reservations.reserve = slow  # type: ignore[method-assign]
                headers = model_headers(prompt=LARGE_PROMPT_TOKENS)
                answer = await bed.ask("/ask/", headers=headers)
                assert answer.head.status == HTTPStatus.OK
                first, second = written(log, AttemptSent)
                assert isinstance(first, AttemptSent)
                assert isinstance(second, AttemptSent)
                assert P1 in map(place_at, first.targets.split(","))
                assert set(map(place_at, second.targets.split(","))) == {P2}
                assert (first.evacuated, second.evacuated) == (0, 3)
                withheld, _ = written(log, AttemptOver)
                assert isinstance(withheld, AttemptOver)
                assert (withheld.end, withheld.error) == ("refused", "target_evacuated")
                assert len(bed.fleet.runs) == 1
                await reach(lambda: not bed.reservations.held)

        run(scenario)

    @pytest.mark.parametrize("path", ["/read/", "/book/", "/ask/"])
    def test_while_connecting(self, path: str, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a request written after its target was evacuated as it was connected to.

        A target that was not sent to has not failed, and is used again once it is restored.
        """
        connect = HttpClient._connect

        async def scenario() -> None:
            async with divided(count=2) as (bed, log):

                async def slow(client: HttpClient, deadline: float) -> Connection:
                    connection = await connect(client, deadline)
                    if client.address != bed.gateway.callers_address:
                        evacuate(bed, P1)
                    return connection

                monkeypatch.setattr(HttpClient, "_connect", slow)
                for number in range(TRIES):
                    assert await ask(bed, path, f"r{number}") == HTTPStatus.OK
                    evacuate(bed)
                assert {place_at(run.target) for run in bed.fleet.runs} == {P2}
                ends = [end for end in written(log, AttemptOver) if isinstance(end, AttemptOver)]
                assert {(end.end, end.error) for end in ends} == {
                    ("refused", "target_evacuated"),
                    ("complete", ""),
                }
                assert sum(end.end == "refused" for end in ends) > 1

        run(scenario)

    def test_no_new_reservation(self) -> None:
        """Guards against memory that is reserved at an engine evacuated before."""

        async def scenario() -> None:
            async with divided(count=6) as (bed, _):
                evacuate(bed, P1)
                bed.fleet.acts = [Act.HANG]
                headers = model_headers(prompt=LARGE_PROMPT_TOKENS)
                asked = asyncio.create_task(bed.ask("/ask/", headers=headers))
                await reach(lambda: bool(bed.fleet.runs))
                evacuated = {bed.targets[index].address for index in (0, 2, 4)}
                assert bed.reservations.held
                assert not evacuated & {address for address, _ in bed.reservations.held}
                asked.cancel()

        run(scenario)


class TestRunning:
    """What runs in a failure domain as it is evacuated."""

    def test_renewed(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against memory of a running prompt that is no longer renewed, or never released.

        The engine would abort the prompt.
        """
        monkeypatch.setattr(tickets, "RENEW_SECONDS", SOON)

        async def scenario() -> None:
            async with divided(count=3) as (bed, _):
                bed.fleet.pause = 0.3
                headers = model_headers(prompt=LARGE_PROMPT_TOKENS)
                asked = asyncio.create_task(bed.ask("/ask/", headers=headers))
                await reach(lambda: bool(bed.fleet.runs))
                evacuate(bed, P1, P2)
                before = bed.reservations.asked
                await reach(lambda: bed.reservations.asked >= before + 4)
                assert (await asked).head.status == HTTPStatus.OK
                await reach(lambda: not bed.reservations.held)

        run(scenario)

    def test_shown(self) -> None:
        """Guards against an evacuation whose progress neither status, metrics nor log show."""

        async def scenario() -> None:
            async with divided() as (bed, log):
                bed.fleet.pause = 0.2
                asked = [
                    asyncio.create_task(bed.ask("/ask/", id=f"r{n}", headers=model_headers()))
                    for n in range(TRIES)
                ]
                await reach(lambda: len(bed.fleet.runs) == TRIES)
                there = sum(place_at(run.target) == P1 for run in bed.fleet.runs)
                evacuate(bed, P1)
                (shown,) = bed.gateway.status.evacuations or ()
                assert (shown.place, shown.author, shown.reason) == (P1, "dana", "power")
                assert (shown.since, shown.running, shown.empty) == (EVACUATION.since, there, 0)
                metrics = bed.metrics.text()[0].decode()
                assert "azureswitch_evacuated_places 1\n" in metrics
                assert f"azureswitch_evacuated_attempts {there}\n" in metrics
                await asyncio.gather(*asked)
                await reach(lambda: bool(written(log, PlaceEmpty)))
                (shown,) = bed.gateway.status.evacuations or ()
                assert shown.running == 0
                assert shown.empty > 0
                evacuate(bed)
                assert not bed.gateway.status.evacuations
                kinds = [PlaceEvacuated, PlaceEmpty, PlaceRestored]
                assert [len(written(log, kind)) for kind in kinds] == [1, 1, 1]

        run(scenario)


class TestStart:
    """A gateway that starts, and waits for the first reading of the evacuations."""

    def test_waits(self) -> None:
        """Guards against a host that serves before it knows what is evacuated."""

        async def scenario() -> None:
            async with divided(evacuations=True) as (bed, _):
                assert not bed.gateway.ready
                assert await ask(bed, "/read/", "r1") == HTTPStatus.SERVICE_UNAVAILABLE
                evacuate(bed, P1)
                assert bed.gateway.ready
                assert await reached(bed, "/read/") == {P2}

        run(scenario)

    def test_unread(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a host that never serves where neither the store nor a peer answers."""
        monkeypatch.setattr(waiting, "FIRST_READING_SECONDS", SOON)

        async def scenario() -> None:
            async with divided(evacuations=True) as (bed, log):
                await reach(lambda: bed.gateway.ready)
                assert len(written(log, EvacuationsUnknown)) == 1
                assert P1 in await reached(bed, "/read/")
                evacuate(bed, P1)
                assert await reached(bed, "/read/") == {P2}

        run(scenario)

    def test_bound(self) -> None:
        """Guards against a longer wait than 1 s after the configuration."""
        assert waiting.FIRST_READING_SECONDS <= 1.0

    def test_switched_off(self) -> None:
        """Guards against a wait where a deployment does not evacuate failure domains."""

        async def scenario() -> None:
            async with divided() as (bed, _):
                assert bed.gateway.ready
                assert await ask(bed, "/read/", "r1") == HTTPStatus.OK

        run(scenario)
