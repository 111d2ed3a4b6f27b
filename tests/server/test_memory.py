"""What connections hold of a host's memory, and when requests are refused for it."""

import pytest

from azureswitch.buffers import (
    HEADER_BYTES,
    LARGE_SHARE,
    REQUEST_BYTES,
    SMALL_BYTES,
    SMALL_SHARE,
    BufferBudget,
    budget_of,
)
from azureswitch.server import CallerLimits
from azureswitch.server._headers import PackedHeaders
from tests.server.fixtures import Script, answer_after, never, request, run, serve
from tests.waiting import reach

LIMIT = 1_000_000
LARGE = 400_000
"""Bytes of a body of which one has room, and not two."""


def head(length: int | None) -> bytes:
    """Return the head of a request with a body of some length, or in chunks."""
    framing = "transfer-encoding: chunked" if length is None else f"content-length: {length}"
    return f"POST /1 HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n".encode()


class TestBudget:
    """`BufferBudget`."""

    @pytest.mark.parametrize(
        ("held", "size", "share", "grows"),
        [(0, 600, 0.6, True), (0, 601, 0.6, False), (500, 100, 0.6, True), (601, 0, 0.6, False)],
    )
    def test_share(self, held: int, size: int, share: float, grows: bool) -> None:
        """A lease grows while the share of the budget that it may use is not exceeded."""
        budget = BufferBudget(limit=1_000)
        budget.lease().resize(held)
        lease = budget.lease()
        assert lease.try_grow(size, share=share) is grows
        assert budget.used == held + size * grows
        lease.release()
        assert budget.used == held

    def test_unlimited(self) -> None:
        """Without a memory limit, anything has room."""
        assert budget_of(0).has_room(10**12, share=SMALL_SHARE)


class TestPackedHeaders:
    """`PackedHeaders`."""

    @pytest.mark.parametrize(
        "headers",
        [
            (),
            ((b"a", b""),),
            ((b"a", b"b"), (b"a", b"c d\t\xe9")),
            ((b"a", b""), (b"b", b"")),
        ],
    )
    def test_unpacked(self, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        """Headers come out as they were added, in their order."""
        packed = PackedHeaders()
        for name, value in headers:
            packed.add(name, value)
        expected = tuple((n.decode(), v.decode("latin-1")) for n, v in headers)
        assert packed.unpack() == expected


class TestRequests:
    """Requests are counted from their head to the end of their answer."""

    @pytest.mark.parametrize("end", ["answer", "caller leaves", "broken off"])
    def test_released(self, end: str) -> None:
        """What a request holds is released once, however it ends."""

        async def scenario() -> None:
            budget = BufferBudget(limit=LIMIT)
            acts = {"answer": answer_after(0.05), "broken off": lambda e: e.abort()}
            script = Script(acts={"/1": acts.get(end, never)})
            async with serve(script, budget=budget) as bed:
                caller = await bed.connect()
                caller.send(head(1_000) + b"a" * 999)
                await reach(lambda: budget.used == REQUEST_BYTES + 1_000)
                caller.send(b"a")
                await reach(lambda: script.handled == ["/1"])
                if end == "caller leaves":
                    caller.writer.transport.abort()
                await reach(lambda: budget.used == 0)

        run(scenario)

    @pytest.mark.parametrize(
        ("sent", "held"),
        [
            (b"GET /1 HTTP/1.1\r\nhost: a\r\n", REQUEST_BYTES),
            (b"GET /1 HTTP/1.1\r\nx: " + b"a" * 30_000, 30_020),
            (b"GET /1 HTTP/1.1\r\n" + b"x: a\r\n" * 2_500, REQUEST_BYTES),
        ],
        ids=["short head", "long header", "small headers"],
    )
    def test_unfinished_head(self, sent: bytes, held: int) -> None:
        """A head is counted as it arrives, by its bytes."""

        async def scenario() -> None:
            budget = BufferBudget(limit=LIMIT)
            async with serve(Script(), budget=budget) as bed:
                caller = await bed.connect()
                caller.send(sent)
                await reach(lambda: budget.used == max(held, REQUEST_BYTES))

        run(scenario)

    def test_small_headers(self) -> None:
        """A whole head is counted by its headers, each of which takes more than its bytes."""

        async def scenario() -> None:
            budget = BufferBudget(limit=LIMIT)
            async with serve(Script(acts={"/1": never}), budget=budget) as bed:
                caller = await bed.connect()
                caller.send(b"GET /1 HTTP/1.1\r\n" + b"x: a\r\n" * 1_000 + b"\r\n")
                await reach(lambda: budget.used > 1_000 * HEADER_BYTES)

        run(scenario)

    @pytest.mark.parametrize("length", [LARGE, None])
    def test_large_refused(self, length: int | None) -> None:
        """A body that there is no room for is refused as not run, and its caller can read that."""

        async def scenario() -> None:
            budget = BufferBudget(limit=LIMIT)
            script = Script(acts={"/1": never})
            async with serve(script, budget=budget) as bed:
                first, second = await bed.connect(), await bed.connect()
                first.send(head(LARGE) + b"a" * LARGE)
                await reach(lambda: script.handled == ["/1"])
                second.send(head(length))
                body = b"a" * LARGE if length else (b"10000\r\n" + b"a" * 0x10000 + b"\r\n") * 6
                second.send(body)
                read = await second.reader.readuntil(b"memory_short")
                assert read.startswith(b"HTTP/1.1 503")
                assert script.handled == ["/1"]
                assert budget.used == REQUEST_BYTES + LARGE

        run(scenario)

    def test_small_accepted(self) -> None:
        """Small requests still have room where large ones have none."""

        async def scenario() -> None:
            budget = BufferBudget(limit=LIMIT)
            budget.lease().resize(int(LARGE_SHARE * LIMIT))
            async with serve(Script(), budget=budget) as bed:
                caller = await bed.connect()
                caller.send(head(SMALL_BYTES) + b"a" * SMALL_BYTES)
                assert (await caller.reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200")

        run(scenario)

    def test_one_connection(self) -> None:
        """Requests that one caller sends ahead leave room for those of others."""

        async def scenario() -> None:
            budget = BufferBudget(limit=LIMIT)
            async with serve(Script(acts={"/1": never}), budget=budget) as bed:
                first, second = await bed.connect(), await bed.connect()
                first.send(request("/1") + request("/2") * 200)
                await reach(lambda: budget.used > LIMIT // 2)
                assert (await second.ask("/3")).startswith(b"HTTP/1.1 200")

        run(scenario)

    def test_half_read_is_released(self) -> None:
        """A caller that leaves in the midst of its body holds nothing any more."""

        async def scenario() -> None:
            budget = BufferBudget(limit=LIMIT)
            async with serve(Script(), budget=budget) as bed:
                caller = await bed.connect()
                caller.send(head(LARGE) + b"a" * 10)
                await reach(lambda: budget.used > 0)
                caller.writer.transport.abort()
                await reach(lambda: budget.used == 0)

        run(scenario)


class TestAnswers:
    """Answers that callers do not read are counted."""

    def test_unread(self) -> None:
        """What waits for a caller is held until it reads, or its connection ends."""

        async def scenario() -> None:
            budget = BufferBudget(limit=100_000_000)
            script = Script(
                acts={"/1": lambda e: e.respond(status=200, headers=(), body=b"a" * 20_000_000)}
            )
            async with serve(script, budget=budget) as bed:
                caller = await bed.connect()
                caller.send(head(0))
                await reach(lambda: budget.used > 1_000_000)
                await caller.reader.readexactly(20_000_000)
                await reach(lambda: budget.used == 0)

        run(scenario)


REFUSED_LENGTH = CallerLimits().body_bytes + 1


class TestRefusalIsRead:
    """A caller that goes on sending a refused request still reads the refusal."""

    @pytest.mark.parametrize(
        ("sent", "rest", "status"),
        [
            (head(REFUSED_LENGTH), b"a" * REFUSED_LENGTH, b"413"),
            (b"GET / HTTP/1.1\r\nhost: a\r\nx: ", b"a" * 3_000_000, b"431"),
        ],
        ids=["body too large", "header without end"],
    )
    def test_status(self, sent: bytes, rest: bytes, status: bytes) -> None:
        """The connection is not reset before the caller has sent what it was sending."""

        async def scenario() -> None:
            async with serve(Script()) as bed:
                caller = await bed.connect()
                caller.send(sent)
                caller.send(rest)
                await caller.writer.drain()
                assert (await caller.reader.readuntil(b"\r\n")).split()[1] == status

        run(scenario)


class TestTrailers:
    """Headers that follow a body in chunks."""

    def test_ignored(self) -> None:
        """They are not taken for headers of the request."""

        async def scenario() -> None:
            seen: list[str | None] = []
            script = Script(acts={"/1": lambda e: seen.append(e.request.header("x-a"))})
            async with serve(script) as bed:
                caller = await bed.connect()
                caller.send(head(None) + b"1\r\na\r\n0\r\nx-a: late\r\n\r\n")
                await reach(lambda: bool(seen))
                assert seen == [None]

        run(scenario)
