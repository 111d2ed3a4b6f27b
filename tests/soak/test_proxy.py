"""The proxy does to bytes what each mode says."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from bench.soak._proxy import FaultProxy, Mode

SOON = 0.25
"""Seconds in which bytes over loopback surely arrive, but not those that are delayed."""


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)


async def _answered(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Return whether an echo comes soon."""
    writer.write(b"x")
    try:
        async with asyncio.timeout(SOON):
            return await reader.read(100) == b"x"
    except (TimeoutError, ConnectionError):
        return False


class TestFaultProxy:
    """Unit tests of `FaultProxy`."""

    @pytest.mark.parametrize(
        ("mode", "old", "fresh", "healed"),
        [
            (Mode.PASS, True, True, True),
            (Mode.DELAY, False, False, True),
            (Mode.SILENT, False, False, True),
            (Mode.ONE_WAY, False, False, True),
            (Mode.REFUSE, False, False, False),
            (Mode.FORGET, False, True, False),
        ],
    )
    def test_modes(self, mode: Mode, old: bool, fresh: bool, healed: bool) -> None:
        """An open connection, a new one, and the open one after all is well again."""

        async def scenario(proxy: FaultProxy) -> None:
            host, _, port = proxy.address.rpartition(":")
            first = await asyncio.open_connection(host, int(port))
            assert await _answered(*first)
            proxy.set_mode(mode)
            assert await _answered(*first) is old
            second = await asyncio.open_connection(host, int(port))
            assert await _answered(*second) is fresh
            proxy.set_mode(Mode.PASS)
            await asyncio.sleep(2.0 * SOON)
            reader, writer = first
            if healed and not old:
                # What was held back arrives.
                assert (await reader.read(1)) == b"x"
            assert await _answered(reader, writer) is healed

        _run(scenario)

    @pytest.mark.parametrize(("share", "alive"), [(0.0, True), (1.0, False)])
    def test_reset(self, share: float, alive: bool) -> None:
        """A reset breaks the connections that are open."""

        async def scenario(proxy: FaultProxy) -> None:
            host, _, port = proxy.address.rpartition(":")
            first = await asyncio.open_connection(host, int(port))
            assert await _answered(*first)
            proxy.reset(share=share)
            assert await _answered(*first) is alive

        _run(scenario)


def _run(scenario: Callable[[FaultProxy], Awaitable[None]]) -> None:
    async def whole() -> None:
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        proxy = FaultProxy(behind=f"{ip}:{port}")
        await proxy.start()
        try:
            async with asyncio.timeout(20.0):
                await scenario(proxy)
        finally:
            proxy.stop()
            server.close()

    asyncio.run(whole())
