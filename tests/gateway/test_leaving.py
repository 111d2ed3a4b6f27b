"""A target that says in an answer that it leaves gets nothing new from who passed the answer on."""

import asyncio
from dataclasses import dataclass

import pytest
from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.inventory import Target, TargetRole
from tests.gateway.fixtures import Act, Bed, listed, model_headers, serve

TRIES = 12
"""Requests that are sent after the answer, enough for each target to get some."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request, and the targets that serve it."""

    path: str
    prefix: str
    streams: bool


READ = Kind(path="/read/", prefix="s", streams=False)
BOOK = Kind(path="/book/", prefix="s", streams=False)
ASK = Kind(path="/ask/", prefix="e", streams=True)


async def ask(bed: Bed, kind: Kind, id: str) -> int:
    """Send a request and return the status of its answer."""
    headers = model_headers() if kind.streams else ()
    return (await bed.ask(kind.path, id=id, headers=headers)).head.status


async def reached(bed: Bed, kind: Kind, *, tries: int = TRIES) -> set[str]:
    """Return the targets that some requests reach, all of them sent at once."""
    bed.fleet.runs.clear()
    number = bed.fleet.arrivals
    await asyncio.gather(*(ask(bed, kind, f"t{number}-{index}") for index in range(tries)))
    return {run.target for run in bed.fleet.runs}


def entries(bed: Bed, *, started: int = 0) -> tuple[Target, ...]:
    """Return the targets as the store lists them, all of them in service."""
    half = len(bed.targets) // 2
    return tuple(
        replace(listed(target, f"{prefix}{index}", streams=prefix == "e"), started=started)
        for prefix, targets in (("e", bed.targets[:half]), ("s", bed.targets[half:]))
        for index, target in enumerate(targets)
    )


async def learn(bed: Bed, kind: Kind, leaving: set[str]) -> None:
    """Let targets say that they leave until the gateway has passed on an answer of each."""
    bed.fleet.leaving = leaving
    seen: set[str] = set()
    while not leaving <= seen:
        seen |= await reached(bed, kind)


class TestLeaving:
    """What a target gets once it has said that it leaves."""

    @pytest.mark.parametrize("kind", [READ, BOOK, ASK], ids=lambda kind: kind.path)
    @pytest.mark.parametrize("act", [Act.ANSWER, Act.FAIL], ids=lambda act: act.name)
    def test_nothing_new(self, kind: Kind, act: Act) -> None:
        """It gets nothing new, whatever its answer was, and the others serve."""

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
        """A refusal that says so counts as well."""

        async def scenario() -> None:
            async with serve(count=1, acts=[Act.REFUSE] * TRIES) as bed:
                bed.fleet.leaving = {"s0"}
                assert await ask(bed, READ, "first") == 503
                bed.fleet.acts = []
                await asyncio.sleep(0.5)
                assert not await reached(bed, READ, tries=2)

        asyncio.run(scenario())

    def test_listed_again(self) -> None:
        """The store, which is behind, lists it as in service, without it, and again."""

        async def scenario() -> None:
            async with serve() as bed:
                await learn(bed, READ, {"s0"})
                whole = entries(bed)
                for targets in (whole, tuple(t for t in whole if t.name != "s0"), whole):
                    bed.gateway.set_targets(targets)
                    assert "s0" not in await reached(bed, READ)

        asyncio.run(scenario())

    def test_started_again(self) -> None:
        """A later start of its name is another target, which is used."""

        async def scenario() -> None:
            async with serve() as bed:
                bed.gateway.set_targets(entries(bed, started=1))
                await learn(bed, READ, {"s0"})
                assert "s0" not in await reached(bed, READ)
                bed.fleet.leaving = set()
                bed.gateway.set_targets(entries(bed, started=2))
                assert "s0" in await reached(bed, READ)

        asyncio.run(scenario())

    def test_all_leave(self) -> None:
        """Where no other one is left a request is refused as not run, with the time to come."""

        async def scenario() -> None:
            async with serve(count=2) as bed:
                await learn(bed, READ, {"s0", "s1"})
                bed.fleet.runs.clear()
                answer = await bed.ask("/read/", id="last")
                assert answer.head.status == 503
                assert answer.head.retry_after
                assert not bed.fleet.runs

        asyncio.run(scenario())


class TestOthers:
    """What says nothing of a target."""

    def test_another_at_its_address(self) -> None:
        """Another target at the address, which refuses what is not meant for it, means itself."""

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
    """What a host does with a list of targets that is older than what it knew."""

    @pytest.mark.parametrize("gone", [False, True], ids=["draining", "draining and gone"])
    def test_draining(self, gone: bool) -> None:
        """A target that was draining is not used again since an old entry says it serves."""

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
