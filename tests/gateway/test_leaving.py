"""Tests that a gateway sends no new requests to a target that announced its leaving."""

import asyncio
from dataclasses import dataclass

import pytest
from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.inventory import Target, TargetRole
from tests.gateway.fixtures import Act, Bed, listed, model_headers, serve

TRIES = 12
"""Number of requests sent, enough for each target to receive some."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """A kind of request, and the targets that serve it."""

    path: str
    prefix: str
    streams: bool


READ = RequestKind(path="/read/", prefix="s", streams=False)
BOOK = RequestKind(path="/book/", prefix="s", streams=False)
ASK = RequestKind(path="/ask/", prefix="e", streams=True)


async def ask(bed: Bed, kind: RequestKind, id: str) -> int:
    """Send a request and return the status of its answer."""
    headers = model_headers() if kind.streams else ()
    return (await bed.ask(kind.path, id=id, headers=headers)).head.status


async def reached(bed: Bed, kind: RequestKind, *, tries: int = TRIES) -> set[str]:
    """Send some requests concurrently and return the targets that ran them."""
    bed.fleet.runs.clear()
    number = bed.fleet.arrivals
    await asyncio.gather(*(ask(bed, kind, f"t{number}-{index}") for index in range(tries)))
    return {run.target for run in bed.fleet.runs}


def entries(bed: Bed, *, started: int = 0) -> tuple[Target, ...]:
    """Return all targets as the store lists them, in service."""
    half = len(bed.targets) // 2
    return tuple(
        replace(listed(target, f"{prefix}{index}", streams=prefix == "e"), started=started)
        for prefix, targets in (("e", bed.targets[:half]), ("s", bed.targets[half:]))
        for index, target in enumerate(targets)
    )


async def announce_leaving(bed: Bed, kind: RequestKind, leaving: set[str]) -> None:
    """Make targets announce that they leave until the gateway has an answer from each."""
    bed.fleet.leaving = leaving
    seen: set[str] = set()
    while not leaving <= seen:
        seen |= await reached(bed, kind)


class TestLeaving:
    """Routing after a target has announced that it leaves."""

    @pytest.mark.parametrize("kind", [READ, BOOK, ASK], ids=lambda kind: kind.path)
    @pytest.mark.parametrize("act", [Act.ANSWER, Act.FAIL], ids=lambda act: act.name)
    def test_nothing_new(self, kind: RequestKind, act: Act) -> None:
        """It gets no new requests, whatever its answer was, and the others serve."""

        async def scenario() -> None:
            async with serve() as bed:
                await reached(bed, kind)
                bed.fleet.leaving = {f"{kind.prefix}0"}
                bed.fleet.acts = [act] * 4 * TRIES
                await reached(bed, kind, tries=4 * TRIES)
                bed.fleet.acts = []
                assert await reached(bed, kind) == {f"{kind.prefix}1", f"{kind.prefix}2"}

        asyncio.run(scenario())

    def test_refusal(self) -> None:
        """The announcement also counts in a refusal."""

        async def scenario() -> None:
            async with serve(count=1, acts=[Act.REFUSE] * TRIES) as bed:
                bed.fleet.leaving = {"s0"}
                assert await ask(bed, READ, "first") == 503
                bed.fleet.acts = []
                await asyncio.sleep(0.5)
                assert not await reached(bed, READ, tries=2)

        asyncio.run(scenario())

    def test_listed_again(self) -> None:
        """Outdated lists that show the target as in service do not make it used again."""

        async def scenario() -> None:
            async with serve() as bed:
                await announce_leaving(bed, READ, {"s0"})
                whole = entries(bed)
                for targets in (whole, tuple(t for t in whole if t.name != "s0"), whole):
                    bed.gateway.set_targets(targets)
                    assert "s0" not in await reached(bed, READ)

        asyncio.run(scenario())

    def test_started_again(self) -> None:
        """A restarted target of the same name is a new target and is used."""

        async def scenario() -> None:
            async with serve() as bed:
                bed.gateway.set_targets(entries(bed, started=1))
                await announce_leaving(bed, READ, {"s0"})
                assert "s0" not in await reached(bed, READ)
                bed.fleet.leaving = set()
                bed.gateway.set_targets(entries(bed, started=2))
                assert "s0" in await reached(bed, READ)

        asyncio.run(scenario())

    def test_all_leave(self) -> None:
        """If all targets leave, requests are refused as not run, with a retry delay."""

        async def scenario() -> None:
            async with serve(count=2) as bed:
                await announce_leaving(bed, READ, {"s0", "s1"})
                bed.fleet.runs.clear()
                answer = await bed.ask("/read/", id="last")
                assert answer.head.status == 503
                assert answer.head.retry_after
                assert not bed.fleet.runs

        asyncio.run(scenario())


class TestOthers:
    """Announcements that concern another target."""

    def test_another_at_its_address(self) -> None:
        """An announcement by another target at the listed address is ignored."""

        async def scenario() -> None:
            async with serve() as bed:
                bed.fleet.leaving = {"s1"}
                swapped = [
                    replace(target, name="s9") if target.name == "s1" else target
                    for target in entries(bed)
                ]
                bed.gateway.set_targets(tuple(swapped))
                await reached(bed, READ)
                bed.fleet.leaving = set()
                bed.gateway.set_targets(entries(bed))
                assert "s1" in await reached(bed, READ)

        asyncio.run(scenario())


class TestOlderList:
    """Target lists that are older than the known state."""

    @pytest.mark.parametrize("gone", [False, True], ids=["draining", "draining and gone"])
    def test_draining(self, gone: bool) -> None:
        """A draining target is not used again because an outdated entry lists it as serving."""

        async def scenario() -> None:
            async with serve() as bed:
                whole = entries(bed, started=1)
                bed.gateway.set_targets(whole)
                without = tuple(target for target in whole if target.name != TargetName("s0"))
                (first,) = (target for target in whole if target.name == TargetName("s0"))
                draining = replace(first, role=TargetRole.DRAINING)
                bed.gateway.set_targets((*without, draining))
                if gone:
                    bed.gateway.set_targets(without)
                bed.gateway.set_targets(whole)
                assert "s0" not in await reached(bed, READ)

        asyncio.run(scenario())
