"""Targets, callers and entries that send without end, or more than any valid one."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from random import Random
from time import monotonic

from azureswitch.client import HttpClient
from azureswitch.exceptions import HttpError
from azureswitch.platform import TARGETS_KIND
from azureswitch_standins.store import REVISION
from bench.soak._documents import HOST_HEADER
from bench.soak._fleet import CONTROL_TIMEOUT, Fleet
from bench.soak._moments import moments
from bench.soak._proxy import Flood
from bench.soak._records import Records

LAST_SECONDS = (0.5, 2.0)
"""Seconds for which a target answers without end."""

CALLERS = 4
"""Callers that send without end at the same time."""

CALLER_BYTES = 16_000_000
"""Bytes after which such a caller gives up."""

ENTRY_SECONDS = 1.2
"""Seconds between two writes of an entry, as targets beat."""

ENTRY_WRITES = 3


def _repeated(piece: bytes) -> bytes:
    return piece * (65_536 // len(piece))


TARGET_FLOODS = (
    Flood(begin=b"HTTP/1.1 200 OK\r\n", piece=_repeated(b"x-a: aaaaaaaaaa\r\n")),
    Flood(begin=b"HTTP/1.1 200 OK\r\nx-a: ", piece=_repeated(b"a")),
    Flood(begin=b"HTTP/1.1 200 ", piece=_repeated(b"a")),
    Flood(begin=b"", piece=_repeated(b"HTTP/1.1 102 Processing\r\n\r\n")),
    Flood(begin=b"HTTP/1.1 200 OK\r\n\r\n", piece=_repeated(b"a")),
)
"""Answers without end; none of them has a seal."""

_HEAD = f"POST /book/flood HTTP/1.1\r\nhost: {HOST_HEADER}\r\n".encode()
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"

CALLER_FLOODS = (
    Flood(begin=_HEAD, piece=_repeated(b"x-a: aaaaaaaaaa\r\n")),
    Flood(begin=_HEAD + b"x-a: ", piece=_repeated(b"a")),
    Flood(begin=_CHUNKED, piece=_repeated(b"1\r\na\r\n")),
    Flood(begin=_CHUNKED + b"1;a=", piece=_repeated(b"a")),
    Flood(begin=_CHUNKED + b"0\r\n", piece=_repeated(b"x-a: aaaaaaaaaa\r\n")),
)
"""Requests without end."""

ODD_CONTENTS = (
    b"[%s]" % b",".join([b"[" * 1_200 + b"]" * 1_200] * 350),
    b"[" * 400_000 + b"]" * 400_000,
    b'{"Service":"%s"}' % (b"a" * 900_000),
    b"9" * 10_000,
    b'{"Sequence":%s}' % (b"9" * 10_000),
    b"NaN",
)
"""Contents of entries that no target has."""


class Floods:
    """Lets targets, callers and another writer send without end.

    Args:
        fleet: The processes.
        records: Takes the floods of targets; those of callers and entries excuse nothing.
        seed: Draws them.
    """

    def __init__(self, *, fleet: Fleet, records: Records, seed: int) -> None:
        self._fleet = fleet
        self._records = records
        self._random = Random(f"{seed} floods")
        self._number = 0

    async def run(self, *, count: int, seconds: float) -> None:
        """Bring so many floods about, and return once all are over.

        Args:
            count: How many.
            seconds: Within how many seconds they begin.
        """
        acts: tuple[Callable[[], Coroutine[object, object, None]], ...] = (
            self._target,
            self._callers,
            self._entry,
        )
        async with asyncio.TaskGroup() as group:
            async for number in moments(self._random, count=count, seconds=seconds):
                group.create_task(acts[number % len(acts)]())

    async def _target(self) -> None:
        target = self._random.choice(self._fleet.targets)
        begin = monotonic()
        target.proxy.flood = self._random.choice(TARGET_FLOODS)
        await asyncio.sleep(self._random.uniform(*LAST_SECONDS))
        target.proxy.flood = None
        self._records.note("target answers without end", target.plan.name, begin)

    async def _callers(self) -> None:
        host = self._random.choice(self._fleet.hosts)
        flood = self._random.choice(CALLER_FLOODS)
        await asyncio.gather(*(send_without_end(host.callers, flood) for _ in range(CALLERS)))

    async def _entry(self) -> None:
        self._number += 1
        name = f"odd-{self._number}"
        content = self._random.choice(ODD_CONTENTS)
        metadata = b'{"Name":"%s","Revision":%s}' % (name.encode(), REVISION)
        entry = b'{"Metadata":%s,"Spec":%s,"Status":null}' % (metadata, content)
        client = HttpClient(address=self._fleet.store_address)
        for _ in range(ENTRY_WRITES):
            with suppress(HttpError):
                await client.request(
                    method="POST",
                    path=f"/standin/entries/{TARGETS_KIND}/{name}",
                    body=entry,
                    timeout=CONTROL_TIMEOUT,
                )
            await asyncio.sleep(ENTRY_SECONDS)
        client.close()


async def send_without_end(address: str, flood: Flood) -> None:
    """Send a request until the host closes the connection, or the caller gives up."""
    host, _, port = address.rpartition(":")
    with suppress(OSError):
        _, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(flood.begin)
            for _ in range(CALLER_BYTES // len(flood.piece)):
                writer.write(flood.piece)
                await writer.drain()
        finally:
            writer.transport.abort()
