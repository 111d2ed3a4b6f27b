"""A limit that rises holds also for a request of which a part was read under the old one."""

import asyncio
from collections.abc import Callable

import pytest
from msgspec.structs import replace

from azureswitch.server import CallerLimits
from tests.server.fixtures import Bed, Script, bodies, request, run, serve
from tests.server.test_ends import LONG, SHORT, post
from tests.server.test_losses import LAST, TRAVEL_SECONDS


def raise_idle(bed: Bed) -> None:
    """Raise the time that parts of a body may be apart."""
    bed.script.limits = replace(bed.script.limits, idle_seconds=LONG)


def raise_header(bed: Bed) -> None:
    """Raise the time that a head may take."""
    bed.script.limits = replace(bed.script.limits, header_seconds=LONG)


CASES = {
    "a body": (post("/1", b"12345678", headers=LAST), raise_idle),
    "a head": (request("/1", headers=LAST), raise_header),
}


class TestRises:
    """A limit that rises while the rest of a request is awaited."""

    @pytest.mark.parametrize(("data", "change"), CASES.values(), ids=CASES.keys())
    def test_answered(self, data: bytes, change: Callable[[Bed], None]) -> None:
        """What comes within the new limit is read, and the request is answered."""

        async def scenario() -> None:
            limits = CallerLimits(idle_seconds=SHORT, header_seconds=SHORT)
            async with serve(Script(limits=limits)) as bed:
                caller = await bed.connect()
                caller.send(data[:-4])
                await asyncio.sleep(TRAVEL_SECONDS)
                change(bed)
                await asyncio.sleep(3.0 * SHORT)
                caller.send(data[-4:])
                assert bodies(await caller.rest()) == ["/1"]

        run(scenario)
