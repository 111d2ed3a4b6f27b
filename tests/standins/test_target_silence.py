"""The target stand-in falls silent at any point of an answer, and goes on with nothing lost."""

import asyncio
from collections.abc import Awaitable, Callable
from time import monotonic

import msgspec
import pytest

from azureswitch.platform import ORDER_PATH, header_names
from azureswitch_standins.target import (
    REPORT_PATH,
    SILENCE_PATH,
    NoteKind,
    TargetPlan,
    TargetStandin,
    answer_body,
    event,
    event_count,
)
from azureswitch_standins.target._runs import Notes

PLAN = TargetPlan(name="i-1", service="s", place="p", store="", work=0.01)
STREAMS = msgspec.structs.replace(PLAN, streams=True)
SLOW = msgspec.structs.replace(PLAN, work=0.8)
SLOW_STREAMS = msgspec.structs.replace(STREAMS, work=0.2)
"""Slow enough that an answer is not over before a silence on a busy machine."""

STREAM = b"".join(event("r1", number) for number in range(1, event_count("r1") + 1))

SECONDS = 0.4
"""Seconds of silence."""

LEAD = 0.08
"""Seconds from the order on after which nothing more may arrive."""


class KeptNotes(Notes):
    """Notes that a test reads."""

    def __init__(self) -> None:
        super().__init__(target="i-1")
        self.kinds: list[NoteKind] = []

    def write(self, kind: NoteKind, **more: object) -> None:
        """Keep the kind of a note."""
        self.kinds.append(kind)


class Wire:
    """A connection that notes when bytes arrive."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.parts: list[tuple[float, bytes]] = []
        self._reading = asyncio.create_task(self._read())

    @property
    def bytes(self) -> bytes:
        """All that has arrived."""
        return b"".join(data for _, data in self.parts)

    @property
    def body(self) -> bytes:
        """The body that has arrived, without its framing."""
        head, _, rest = self.bytes.partition(b"\r\n\r\n")
        if b"chunked" not in head:
            return rest
        body = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            length = int(size, base=16)
            body, rest = body + rest[:length], rest[length + 2 :]
        return body

    def ask(self, path: str, body: bytes = b"", *, left: int = 5_000) -> None:
        """Send a request."""
        lines = (
            f"POST {path} HTTP/1.1",
            f"{header_names.ID}: r1",
            f"{header_names.MILLISECONDS_LEFT}: {left}",
            f"content-length: {len(body)}",
        )
        self._writer.write("\r\n".join((*lines, "host: a", "", "")).encode() + body)

    def close(self) -> None:
        """Leave."""
        self._reading.cancel()
        self._writer.close()

    def between(self, begin: float, end: float) -> bytes:
        """Return what arrived in a span."""
        return b"".join(data for at, data in self.parts if begin < at < end)

    async def _read(self) -> None:
        while data := await self._reader.read(65_536):
            self.parts.append((monotonic(), data))


async def connect(target: TargetStandin) -> Wire:
    """Return a connection to a target."""
    ip, _, port = target.address.rpartition(":")
    return Wire(*await asyncio.open_connection(ip, int(port)))


async def silence(target: TargetStandin, seconds: float = SECONDS) -> float:
    """Tell a target to fall silent, and return when that was."""
    wire = await connect(target)
    wire.ask(SILENCE_PATH, msgspec.json.encode(seconds))
    while not wire.parts:
        await asyncio.sleep(0.001)
    wire.close()
    return monotonic()


def run(
    scenario: Callable[[TargetStandin, KeptNotes], Awaitable[None]],
    plan: TargetPlan = PLAN,
    seed: int = 1,
) -> None:
    """Run a scenario before a target."""

    async def whole() -> None:
        notes = KeptNotes()
        target = TargetStandin(plan=plan, notes=notes, address="127.0.0.1:0", seed=seed)
        await target.start()
        async with asyncio.timeout(20.0):
            await scenario(target, notes)

    asyncio.run(whole())


class TestSilence:
    """A target that is silent for a while."""

    @pytest.mark.parametrize(
        ("plan", "path", "before", "expected"),
        [
            pytest.param(SLOW_STREAMS, "/x", 0.15, STREAM, id="stream under way"),
            pytest.param(STREAMS, "/x", None, STREAM, id="stream that arrives"),
            pytest.param(SLOW, "/x", 0.05, answer_body("r1"), id="whole answer"),
            pytest.param(PLAN, "/x", None, answer_body("r1"), id="request that arrives"),
            pytest.param(PLAN, "/health", None, b"", id="health check"),
            pytest.param(PLAN, ORDER_PATH, None, b"{}", id="order"),
            pytest.param(
                *(PLAN, REPORT_PATH, None, b'{"Running":0,"Tickets":[],"Sequence":0}'), id="report"
            ),
        ],
    )
    def test_nothing_is_written(
        self, plan: TargetPlan, path: str, before: float | None, expected: bytes
    ) -> None:
        """Nothing arrives while it is silent, and all of the answer does afterwards."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            wire = await connect(target)
            if before is not None:
                wire.ask(path, b"{}")
                await asyncio.sleep(before)
            begin = await silence(target)
            await asyncio.sleep(LEAD)
            if before is None:
                wire.ask(path, b"{}")
            while wire.bytes == b"" or wire.body != expected:
                await asyncio.sleep(0.01)
            assert wire.between(begin + LEAD, begin + SECONDS) == b""
            assert wire.parts[-1][0] > begin + SECONDS
            assert notes.kinds.count(NoteKind.RUN) == (path == "/x")

        run(scenario, plan)

    @pytest.mark.parametrize(
        ("plan", "places"),
        [
            (STREAMS, {"before the head", "after the head", "inside an event", "between events"}),
            (PLAN, {"before the head", "after the head", "inside the body"}),
        ],
        ids=["stream", "whole answer"],
    )
    def test_places(self, plan: TargetPlan, places: set[str]) -> None:
        """Over some seeds it stops at each point of an answer, and the answer ends whole."""
        found = set()

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            wire = await connect(target)
            begin = await silence(target, 0.15)
            wire.ask("/x")
            await asyncio.sleep(LEAD)
            whole = STREAM if plan.streams else answer_body("r1")
            if wire.parts and wire.body == whole:
                # It was over before the silence.
                return
            found.add(_place(wire.bytes and wire.body, begun=bool(wire.parts)))
            while wire.bytes == b"" or wire.body != whole:
                await asyncio.sleep(0.01)
            assert wire.parts[-1][0] > begin + 0.15

        for seed in range(12):
            run(scenario, plan, seed)
        assert found >= places

    def test_work_stands_still(self) -> None:
        """Work takes as much longer as the silence lasts."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            wire = await connect(target)
            begin = monotonic()
            wire.ask("/x")
            await asyncio.sleep(0.1)
            await silence(target)
            while not wire.parts:
                await asyncio.sleep(0.01)
            assert 0.3 + SECONDS - 0.01 < wire.parts[0][0] - begin < 0.3 + SECONDS + 0.25

        run(scenario, msgspec.structs.replace(PLAN, work=0.3))

    def test_deadline(self) -> None:
        """A request whose deadline passes meanwhile is answered when the silence is over."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            wire = await connect(target)
            wire.ask("/x", left=150)
            await asyncio.sleep(0.05)
            begin = await silence(target)
            while not wire.parts:
                await asyncio.sleep(0.01)
            assert wire.parts[0][0] >= begin + SECONDS
            assert wire.bytes.startswith(b"HTTP/1.1 504")

        run(scenario, msgspec.structs.replace(PLAN, work=1.0))

    def test_caller_left(self) -> None:
        """A request that arrives meanwhile begins to run though its caller has left."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            await silence(target)
            await asyncio.sleep(LEAD)
            wire = await connect(target)
            wire.ask("/x")
            await asyncio.sleep(0.05)
            wire.close()
            assert notes.kinds == [NoteKind.ARRIVED]
            await asyncio.sleep(SECONDS)
            kinds = [NoteKind.ARRIVED, NoteKind.RUN, NoteKind.CALLER_LEFT, NoteKind.OVER]
            assert notes.kinds == kinds

        run(scenario, msgspec.structs.replace(PLAN, work=1.0))

    def test_longer(self) -> None:
        """A second order extends a silence."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            await silence(target, 0.2)
            await asyncio.sleep(0.1)
            begin = await silence(target)
            wire = await connect(target)
            wire.ask("/health")
            while not wire.parts:
                await asyncio.sleep(0.01)
            assert wire.parts[0][0] > begin + SECONDS - 0.05

        run(scenario)


def _place(body: bytes, *, begun: bool) -> str:
    """Return where an answer has stopped."""
    if not begun:
        return "before the head"
    if not body:
        return "after the head"
    if body.startswith(b"id:"):
        return "between events" if body.endswith(b"\n\n") else "inside an event"
    return "inside the body"
