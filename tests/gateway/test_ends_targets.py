"""What cancels the attempts of several requests at once, and how these end."""

import asyncio
import re
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from msgspec.structs import replace

import azureswitch
from azureswitch.inventory import TargetRole
from azureswitch.serving import LimitNamed, TargetLeaving
from tests.gateway.test_ends_configurations import (
    WAIT_SECONDS,
    Bed,
    check_whole,
    serve,
)
from tests.gateway.test_gateway import run
from tests.waiting import reach

REQUESTS = 6

POLLED = re.compile(r"\b(TargetUnreachable|LoadReported)\b")
"""Events that polls of targets bring about."""


def sources(part: str) -> Iterator[Path]:
    """Return the sources of a part of the program."""
    return (Path(azureswitch.__file__).parent / part).rglob("*.py")


class TestPolls:
    """Hosts on the platform poll no targets."""

    @pytest.mark.parametrize("part", ["gateway", "platform", "peers", "paths", "engines"])
    def test_no_polls(self, part: str) -> None:
        """Nothing that such a host runs tells the reducer of a target that answers no poll."""
        for path in sources(part):
            assert not POLLED.search(path.read_text()), path


def drain(bed: Bed) -> None:
    """List all targets as draining."""
    bed.gateway.set_targets(
        tuple(replace(target, role=TargetRole.DRAINING) for target in bed.targets())
    )


def drop(bed: Bed) -> None:
    """List no target."""
    bed.gateway.set_targets(())


def leave(bed: Bed) -> None:
    """Have all targets say that they leave."""
    for target in bed.targets():
        shell = bed.gateway.shell
        shell.dispatch(TargetLeaving(now=shell.now, target=target.name, started=target.started))


def limit(bed: Bed) -> None:
    """Have all targets name a limit that is used up."""
    for target in bed.targets():
        shell = bed.gateway.shell
        shell.dispatch(
            LimitNamed(
                now=shell.now, target=target.name, started=target.started, rate=0.01, text="0.01"
            )
        )


def move(bed: Bed) -> None:
    """List all targets at another address."""
    bed.gateway.set_targets(
        tuple(replace(target, address="127.0.0.1:9") for target in bed.targets())
    )


def start(bed: Bed, started: int) -> None:
    """List all targets as started at a time."""
    bed.gateway.set_targets(tuple(replace(target, started=started) for target in bed.targets()))


KEEPING = {
    "draining": drain,
    "unlisted": drop,
    "leaving": leave,
    "limited": limit,
    "moved": move,
}


async def ask_all(bed: Bed, path: str) -> "list[asyncio.Task[object]]":
    """Send several requests, and return once all run."""
    asking: list[asyncio.Task[object]] = [
        asyncio.create_task(bed.ask(path, id=f"r{number}")) for number in range(REQUESTS)
    ]
    await reach(lambda: bed.target.runs == REQUESTS)
    return asking


class TestSeveral:
    """Several requests that run as something becomes known of their targets."""

    @pytest.mark.parametrize("change", KEEPING.values(), ids=KEEPING.keys())
    @pytest.mark.parametrize("path", ["/read/", "/book/", "/ask/", "/once/"])
    def test_kept(self, path: str, change: Callable[[Bed], None]) -> None:
        """None is cancelled, and each gets its one answer."""

        async def scenario() -> None:
            async with serve() as bed:
                asking = await ask_all(bed, path)
                change(bed)
                await asyncio.sleep(WAIT_SECONDS)
                bed.target.go.set()
                for answer in await asyncio.gather(*asking):
                    check_whole(answer, path)
                assert bed.target.runs == REQUESTS

        run(scenario)

    @pytest.mark.parametrize("budget", [0.0, 2.0, 50.0])
    @pytest.mark.parametrize("path", ["/read/", "/ask/"])
    def test_restarted(self, path: str, budget: float) -> None:
        """Those that the budget permits are sent again, the others wait; each is answered."""

        async def scenario() -> None:
            async with serve() as bed:
                start(bed, 1)
                asking = await ask_all(bed, path)
                bed.gateway.shell._state.retries._burst = budget
                bed.gateway.shell._state.retries._taken = 0.0
                start(bed, 2)
                await asyncio.sleep(WAIT_SECONDS)
                again = bed.target.runs - REQUESTS
                bed.target.go.set()
                for answer in await asyncio.gather(*asking):
                    check_whole(answer, path)
                assert again == min(budget, REQUESTS)

        run(scenario)
