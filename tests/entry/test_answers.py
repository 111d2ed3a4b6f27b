"""Answers to which several attempts contribute."""

import asyncio
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import cast

import pytest

from azureswitch.core import CallId, CustomerName, HostName, Incarnation, ServiceName, TargetName
from azureswitch.entry._answers import Recording, Relay
from azureswitch.entry._attempts import Attempts
from azureswitch.entry._jobtable import Job, JobPull, JobTable
from azureswitch.entry._ports import JobKeeper
from azureswitch.entry._records import ModelPayload, ModelRecord
from azureswitch.entry._targets import Targets
from azureswitch.exceptions import DeadlineExceededError
from azureswitch.ports import Chunk, Engine, EngineRequest, Surface
from azureswitch.serving import (
    AttemptEnded,
    Call,
    FirstTokenArrived,
    ServingEvent,
    StartAttempt,
)
from azureswitch.tasks import Tasks
from azureswitch_standins.peers import PeersNetworkFake


def chunk(text: bytes, *, last: bool = False) -> Chunk:
    """Return output of one token."""
    return Chunk(data=text, tokens=1, last=last)


class EngineFake:
    """An engine whose first attempt sends a comment and then nothing."""

    async def stream(self, *, request: EngineRequest) -> AsyncIterator[Chunk]:
        """Yield the output of an attempt."""
        if request.attempt == 1:
            yield Chunk(data=b": alive\n\n", tokens=0, last=False)
            await asyncio.sleep(60.0)
        yield chunk(b"a", last=True)

    async def cancel(self, *, call: CallId, attempt: int) -> None:
        """Stop an attempt."""


class SlowCaller:
    """A connection that can be blocked, like that of a caller that does not read."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.open = asyncio.Event()
        self.open.set()

    async def write(self, data: bytes) -> None:
        """Wait until the connection is open, and only then accept the bytes."""
        await self.open.wait()
        self.written.append(data)


class TestRelay:
    """A streamed answer."""

    @pytest.mark.parametrize("last", [False, True])
    def test_cancelled_behind_a_slow_caller(self, last: bool) -> None:
        """Output that a cancelled attempt had not written is written by the next one."""

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
            assert caller.written == [b"a", b"b"]

        asyncio.run(check())

    def test_cancelled_at_its_end(self) -> None:
        """An answer whose last chunk was not written is not complete."""

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
            assert caller.written == []
            assert isinstance(relay.error, DeadlineExceededError)

        asyncio.run(check())


class TestHedges:
    """Concurrent attempts."""

    def test_comment_is_no_output(self) -> None:
        """An attempt that has sent only a comment does not prevent another from answering."""

        async def check() -> None:
            ends: list[ServingEvent] = []
            engine = cast(Engine, EngineFake())
            attempts = Attempts(
                owner=Incarnation(host=HostName("h"), started=1),
                targets=cast(Targets, SimpleNamespace(engine=lambda name: engine)),
                jobs=cast(JobKeeper, None),
                dispatch=ends.append,
                clock=lambda: 0.0,
                tasks=Tasks(prefix="test"),
            )
            relay = Relay(limit=1_000)
            payload = ModelPayload(surface=Surface.COMPLETION, body=b"", cache_scope="")
            call = Call(
                id=CallId("c"), customer=CustomerName(""), service=ServiceName(""), deadline=9.0
            )
            record = ModelRecord(call=call, payload=payload, answer=relay)
            for number in (1, 2):
                effect = StartAttempt(
                    call=call.id,
                    attempt=number,
                    targets=(TargetName("e"),),
                    priority=0,
                    resume_from=0,
                    timeout=9.0,
                )
                attempts.start_model(record, effect)
                await asyncio.sleep(0.01)
            assert relay.complete
            assert [type(event) for event in ends] == [FirstTokenArrived, AttemptEnded]
            attempts.cancel(record, 1)
            await asyncio.sleep(0.01)

        asyncio.run(check())


class TestJobTable:
    """Pulls of a job's output by another host."""

    def test_end_between_two_pulls(self) -> None:
        """A complete output is reported as its end, even before the job has ended."""

        async def check() -> None:
            peers = PeersNetworkFake().peers(address="10.0.0.1:1")
            table = JobTable(peers=peers, retention=60.0, clock=lambda: 0.0)
            output = Recording(limit=1_000)
            job = Job(call=CallId("c"), customer=CustomerName("a"), output=output)
            table.add(job)
            await output.put(attempt=1, offset=0, chunk=chunk(b"a", last=True))
            ask = JobPull(call=job.call, customer=job.customer, offset=0, follow=True)
            part = await table.pull(ask)
            assert (part.data, part.over) == (b"a", True)

        asyncio.run(check())
