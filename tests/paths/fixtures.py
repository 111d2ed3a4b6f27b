"""Connectors that fail, and the bound of a scenario."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Never

from azureswitch.exceptions import HttpNotSentError, NotSent
from tests.gateway.fixtures import PATIENCE


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario to its end."""

    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE):
            await scenario()

    asyncio.run(bounded())


class LostConnector:
    """Opens no direct connections.

    Args:
        hangs: Whether it takes all of its time to find that out.
    """

    def __init__(self, *, hangs: bool = False) -> None:
        self._hangs = hangs

    async def connect(
        self, *, address: str, protocol: Callable[[], object], timeout: float
    ) -> Never:
        """Fail, at once or after the timeout."""
        if self._hangs:
            await asyncio.sleep(timeout)
            raise HttpNotSentError(address=address, reason=NotSent.TIMED_OUT)
        raise HttpNotSentError(address=address, reason=NotSent.REFUSED)
