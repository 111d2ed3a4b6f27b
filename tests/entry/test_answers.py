"""Answers that several attempts write in turn."""

import asyncio

import pytest

from azureswitch.entry._answers import Relay
from azureswitch.exceptions import DeadlineExceededError
from azureswitch.ports import Chunk


def chunk(text: bytes, *, last: bool = False) -> Chunk:
    """Return output of one token."""
    return Chunk(data=text, tokens=1, last=last)


class SlowCaller:
    """A connection that takes nothing until it is told to, as a server's does."""

    def __init__(self) -> None:
        self.taken: list[bytes] = []
        self.open = asyncio.Event()
        self.open.set()

    async def write(self, data: bytes) -> None:
        """Wait until there is room, and only then take the bytes."""
        await self.open.wait()
        self.taken.append(data)


class TestRelay:
    """A streamed answer."""

    @pytest.mark.parametrize("last", [False, True])
    def test_called_off_behind_a_slow_caller(self, last: bool) -> None:
        """What an attempt had not written when it was called off comes from the next one."""

        async def check() -> None:
            relay, caller = Relay(limit=1_000), SlowCaller()
            await relay.put(attempt=1, offset=0, chunk=chunk(b"a"))
            serving = asyncio.create_task(relay.serve(caller.write))
            await asyncio.sleep(0)
            caller.open.clear()
            put = relay.put(attempt=1, offset=1, chunk=chunk(b"b", last=last))
            writing = asyncio.create_task(put)
            await asyncio.sleep(0)
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)
            relay.release(attempt=1)
            caller.open.set()
            assert relay.tokens == 1
            assert await relay.put(attempt=2, offset=1, chunk=chunk(b"b", last=True))
            relay.finish(None)
            await serving
            assert caller.taken == [b"a", b"b"]

        asyncio.run(check())

    def test_called_off_at_its_end(self) -> None:
        """An answer whose last part never went out is not taken for whole."""

        async def check() -> None:
            relay, caller = Relay(limit=1_000), SlowCaller()
            serving = asyncio.create_task(relay.serve(caller.write))
            await asyncio.sleep(0)
            caller.open.clear()
            put = relay.put(attempt=1, offset=0, chunk=chunk(b"a", last=True))
            writing = asyncio.create_task(put)
            await asyncio.sleep(0)
            writing.cancel()
            relay.finish(DeadlineExceededError())
            caller.open.set()
            await serving
            assert caller.taken == []
            assert isinstance(relay.error, DeadlineExceededError)

        asyncio.run(check())
