"""A loopback proxy that delays, resets, silences or cuts connections one way."""

import asyncio
from enum import Enum
from typing import cast

from msgspec import Struct

from bench.soak._cuts import CutMode, HostCuts


class Mode(Enum):
    """What the proxy does with bytes."""

    PASS = "passes all on"
    DELAY = "passes all on late"
    SILENT = "holds back all bytes, and takes new connections all the same"
    ONE_WAY = "holds back what comes from behind"
    REFUSE = "resets every connection, open or new"
    FORGET = "passes on new connections alone; those that were open stay silent for good"


DELAY_SECONDS = 0.3
"""Seconds by which bytes are late; a call to the store may take 1 s."""

BLOCK = 65_536


class Flood(Struct, frozen=True, kw_only=True):
    """Bytes without end in place of an answer or a request.

    Attributes:
        begin: How they begin.
        piece: What follows again and again.
    """

    begin: bytes
    piece: bytes


class FaultProxy:
    """Stands in front of one address.

    Args:
        behind: ``IP:PORT`` that connections are passed on to.
        ip: The IP address to listen on.
        cuts: The hosts whose connections it does not carry.

    Attributes:
        flood: What is sent in place of each answer, or None.
    """

    def __init__(self, *, behind: str, ip: str = "127.0.0.1", cuts: HostCuts | None = None) -> None:
        self._behind = behind
        self._cuts = cuts or HostCuts()
        self._cuts.on_begin(self._apply_cut)
        self._ip = ip
        self._mode = Mode.PASS
        self._healed = asyncio.Event()
        self._healed.set()
        self._server: asyncio.Server | None = None
        self.flood: Flood | None = None
        self._links: set[_Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """``IP:PORT`` that it listens on."""
        assert self._server is not None
        ip, port = self._server.sockets[0].getsockname()
        return f"{ip}:{port}"

    @property
    def mode(self) -> Mode:
        """What it does now."""
        return self._mode

    @property
    def healed(self) -> asyncio.Event:
        """Set while bytes are passed on."""
        return self._healed

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._take, self._ip, 0)

    def stop(self) -> None:
        """Stop listening, if it does, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        self.reset(share=1.0)

    def set_mode(self, mode: Mode) -> None:
        """Do something else with bytes from now on."""
        self._mode = mode
        if mode in (Mode.SILENT, Mode.ONE_WAY):
            self._healed.clear()
        else:
            self._healed.set()
        if mode is Mode.REFUSE:
            self.reset(share=1.0)
        if mode is Mode.FORGET:
            for link in self._links:
                link.forgotten = True

    def reset(self, *, share: float) -> None:
        """Reset a share of the open connections, the oldest first."""
        links = sorted(self._links, key=lambda link: link.number)
        for link in links[: round(share * len(links))]:
            link.abort()

    def _apply_cut(self, ports: frozenset[int], mode: CutMode) -> None:
        """Reset or silence the open connections of a host that is cut off, by their ports."""
        for link in [link for link in self._links if link.port in ports]:
            if mode is CutMode.RESET:
                link.abort()
            elif mode is CutMode.SILENT:
                link.forgotten = True

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._join(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source: int = writer.get_extra_info("peername")[1]
        cut = self._cuts.mode_of(source)
        if self._mode is Mode.REFUSE or cut in (CutMode.REFUSE_NEW, CutMode.RESET):
            _abort(writer)
            return
        host, _, port = self._behind.rpartition(":")
        try:
            behind_reader, behind_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # Nothing listens there; the caller sees a reset, as it would without the proxy.
            _abort(writer)
            return
        link = _Link(proxy=self, front=writer, behind=behind_writer, port=source)
        link.forgotten = cut is CutMode.SILENT
        self._links.add(link)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(link.copy(reader, behind_writer, answers=False))
                group.create_task(link.copy(behind_reader, writer, answers=True))
        except* (OSError, asyncio.IncompleteReadError):
            # One side broke; so does the other.
            link.abort()
        finally:
            self._links.discard(link)
            link.abort()


class _Link:
    """One connection and the one behind it."""

    _numbers = iter(range(1 << 62))

    def __init__(
        self,
        *,
        proxy: FaultProxy,
        front: asyncio.StreamWriter,
        behind: asyncio.StreamWriter,
        port: int,
    ) -> None:
        self._proxy = proxy
        self._front = front
        self._behind = behind
        self.port = port
        self.number = next(self._numbers)
        self.forgotten = False

    def abort(self) -> None:
        """Reset both."""
        _abort(self._front)
        _abort(self._behind)

    async def copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        """Pass bytes on until their end, which is passed on too."""
        while data := await source.read(BLOCK):
            await self._hold(answers=answers)
            if answers and self._proxy.flood is not None:
                await _send_without_end(sink, self._proxy.flood)
            sink.write(data)
            await sink.drain()
        await self._hold(answers=answers)
        if sink.can_write_eof():
            sink.write_eof()

    async def _hold(self, *, answers: bool) -> None:
        if self.forgotten:
            await asyncio.Event().wait()
        if self._proxy.mode is Mode.DELAY:
            await asyncio.sleep(DELAY_SECONDS)
        if answers or self._proxy.mode is not Mode.ONE_WAY:
            await self._proxy.healed.wait()


async def _send_without_end(sink: asyncio.StreamWriter, flood: Flood) -> None:
    """Send until the other side closes.

    Raises:
        OSError: It has closed.
    """
    sink.write(flood.begin)
    while True:
        sink.write(flood.piece)
        await sink.drain()


def _abort(writer: asyncio.StreamWriter) -> None:
    cast(asyncio.Transport, writer.transport).abort()
