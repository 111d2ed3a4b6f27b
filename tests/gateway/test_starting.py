"""Tests that a gateway that fails to start accepts no callers: it binds their address last."""

import asyncio
from socket import socket

import pytest

from tests.gateway.fixtures import PATIENCE, make_gateway


def free_address() -> str:
    """Return an unused loopback address."""
    with socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@pytest.mark.parametrize("taken", ["readiness", "metrics_address"])
def test_address_taken(taken: str) -> None:
    """If another address is in use, callers are refused rather than cut off."""

    async def scenario() -> None:
        with socket() as other:
            other.bind(("127.0.0.1", 0))
            other.listen()
            address = f"127.0.0.1:{other.getsockname()[1]}"
            callers = free_address()
            process = make_gateway(callers=callers, **{taken: address})
            with pytest.raises(OSError):
                await process.start()
            host, port = callers.split(":")
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(host, int(port))
            process.abort()

    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE):
            await scenario()

    asyncio.run(bounded())
