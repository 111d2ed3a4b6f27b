"""Requests whose id is in use on this host are refused, and the one that has it is answered."""

import asyncio
from http import HTTPStatus

import pytest

from tests.gateway.test_ends_configurations import check_whole, serve
from tests.gateway.test_gateway import run
from tests.waiting import reach


class TestIdInUse:
    """Two requests with one id."""

    @pytest.mark.parametrize("path", ["/read/", "/book/", "/ask/", "/once/"])
    def test_refused(self, path: str) -> None:
        """The second one is refused at once, and the first one gets its answer."""

        async def scenario() -> None:
            async with serve() as bed:
                asking = asyncio.create_task(bed.ask(path))
                await reach(lambda: bed.target.runs == 1)
                second = await bed.ask(path)
                assert second.head.status == HTTPStatus.CONFLICT
                assert bed.log.about("r1")[-1] == "Request refused."
                bed.target.go.set()
                check_whole(await asking, path)
                assert bed.target.runs == 1

        run(scenario)

    def test_caller_left(self) -> None:
        """So is one whose caller left before, while its outcome is awaited; then it is free."""

        async def scenario() -> None:
            async with serve() as bed:
                asking = asyncio.create_task(bed.ask("/book/"))
                await reach(lambda: bed.target.runs == 1)
                asking.cancel()
                await asyncio.sleep(0.05)
                assert bed.gateway.shell.open_calls == 1
                assert (await bed.ask("/book/")).head.status == HTTPStatus.CONFLICT
                bed.target.go.set()
                await reach(lambda: not bed.gateway.shell.open_calls)
                check_whole(await bed.ask("/book/"), "/book/")

        run(scenario)
