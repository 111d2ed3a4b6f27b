"""Callers are told how long a connection stays, and it stays at least as long."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import pytest
from msgspec.structs import replace

from azureswitch.client import HttpHead
from azureswitch.exceptions import MalformedRequestError
from azureswitch.platform import PlatformDialect
from azureswitch.server import CallerLimits, Exchange
from tests.server.fixtures import Bed, Script, request, run, serve

LONG = 1.5
SHORT = 0.1


def begin(exchange: Exchange) -> None:
    """Answer in parts."""
    exchange.begin(status=HTTPStatus.OK, headers=())
    exchange.write(b"part")
    exchange.finish()


def refuse(exchange: Exchange) -> None:
    """Answer by a failure."""
    exchange.respond(status=HTTPStatus.NOT_FOUND, headers=(), body=b"")


def none(exchange: Exchange) -> None:
    """Answer without a body."""
    exchange.respond(status=HTTPStatus.NO_CONTENT, headers=(), body=b"")


async def head_of(bed: Bed, data: bytes) -> list[str]:
    """Return the lines of the first answer's head."""
    caller = await bed.connect()
    caller.send(data)
    head = await caller.reader.readuntil(b"\r\n\r\n")
    return head.decode().lower().split("\r\n")


def told(lines: list[str]) -> list[str]:
    """Return the lines that say how long a connection stays."""
    return [line for line in lines if line.startswith("keep-alive:")]


class TestTold:
    """Each answer that keeps the connection open says for how long."""

    @pytest.mark.parametrize(
        ("seconds", "line"),
        [
            (600.0, "keep-alive: timeout=480"),
            (15.0, "keep-alive: timeout=12"),
            (6.0, "keep-alive: timeout=4"),
            (2.0, "keep-alive: timeout=1"),
            (1.25, "keep-alive: timeout=1"),
        ],
    )
    def test_seconds(self, seconds: float, line: str) -> None:
        """Four fifths of the limit in whole seconds, so that a request does not cross the close."""

        async def scenario() -> None:
            async with serve(Script(limits=CallerLimits(idle_seconds=seconds))) as bed:
                assert told(await head_of(bed, request("/"))) == [line]

        run(scenario)

    @pytest.mark.parametrize("act", [begin, refuse, none])
    def test_kinds(self, act: Callable[[Exchange], None]) -> None:
        """Whatever the form of the answer."""

        async def scenario() -> None:
            async with serve(Script(acts={"/": act})) as bed:
                assert told(await head_of(bed, request("/"))) == ["keep-alive: timeout=12"]

        run(scenario)


class TestUntold:
    """Other answers do not say it."""

    def test_short(self) -> None:
        """A limit too short for whole seconds is not told."""

        async def scenario() -> None:
            async with serve(Script(limits=CallerLimits(idle_seconds=1.2))) as bed:
                assert told(await head_of(bed, request("/"))) == []

        run(scenario)

    @pytest.mark.parametrize("closing", [False, True])
    @pytest.mark.parametrize("act", [begin, refuse, none])
    def test_last(self, closing: bool, act: Callable[[Exchange], None]) -> None:
        """The last answer says that it is, by the caller's wish or by ours."""
        wish = "" if closing else "connection: close\r\n"

        async def scenario() -> None:
            async with serve(Script(closing=closing, acts={"/": act})) as bed:
                lines = await head_of(bed, request("/", headers=wish))
                assert told(lines) == []
                assert "connection: close" in lines

        run(scenario)

    def test_malformed(self) -> None:
        """So does the refusal of what is no request."""

        async def scenario() -> None:
            script = Script()
            async with serve(script) as bed:
                assert told(await head_of(bed, b"\x00\r\n\r\n")) == []
                assert [type(error) for error in script.refused] == [MalformedRequestError]

        run(scenario)

    def test_target(self) -> None:
        """What a target says of its own connection is not passed on."""
        head = HttpHead(status=HTTPStatus.OK, headers=(("keep-alive", "timeout=5"), ("a", "b")))
        assert PlatformDialect().answer(head) == (("a", "b"),)


async def lower(bed: Bed) -> None:
    """Have the limit fall once the connection is idle."""
    bed.script.limits = replace(bed.script.limits, idle_seconds=SHORT)


async def raise_(bed: Bed) -> None:
    """Have the limit rise once the connection is idle."""
    bed.script.limits = replace(bed.script.limits, idle_seconds=LONG)


class TestLimit:
    """A connection stays for the limit of the moment and for what its caller was told."""

    @pytest.mark.parametrize(
        ("before", "change"), [(LONG, lower), (SHORT, raise_)], ids=("falls", "rises")
    )
    def test_longer(self, before: float, change: Callable[[Bed], Awaitable[None]]) -> None:
        """The longer of the two counts, also for a connection that is idle already."""

        async def scenario() -> None:
            async with serve(Script(limits=CallerLimits(idle_seconds=before))) as bed:
                caller = await bed.connect()
                await caller.ask("/1")
                start = asyncio.get_running_loop().time()
                await change(bed)
                await bed.connect()
                assert await caller.rest() == b""
                assert asyncio.get_running_loop().time() - start >= LONG - 0.01

        run(scenario)

    def test_told_nothing_new(self) -> None:
        """What was told holds where a later answer under a short limit tells nothing."""

        async def scenario() -> None:
            async with serve(Script(limits=CallerLimits(idle_seconds=LONG))) as bed:
                caller = await bed.connect()
                await caller.ask("/1")
                await lower(bed)
                await caller.ask("/2")
                start = asyncio.get_running_loop().time()
                assert await caller.rest() == b""
                assert asyncio.get_running_loop().time() - start >= LONG - 0.01

        run(scenario)

    def test_told_while_it_fell(self) -> None:
        """A caller who was told the longer time is not cut after a later short answer's limit."""

        async def scenario() -> None:
            async with serve(Script(limits=CallerLimits(idle_seconds=LONG))) as bed:
                caller = await bed.connect()

                def lower_and_end(exchange: Exchange) -> None:
                    exchange.begin(status=HTTPStatus.OK, headers=())
                    bed.script.limits = replace(bed.script.limits, idle_seconds=SHORT)
                    exchange.finish()

                bed.script.acts["/"] = lower_and_end
                caller.send(request("/"))
                await caller.reader.readuntil(b"0\r\n\r\n")
                start = asyncio.get_running_loop().time()
                assert await caller.rest() == b""
                assert asyncio.get_running_loop().time() - start >= LONG - 0.01

        run(scenario)
