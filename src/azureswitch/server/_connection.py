"""One connection of a caller: its requests are answered one after the other."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

from azureswitch.buffers import BufferBudget
from azureswitch.exceptions import CallerTooSlowError, RequestShedError
from azureswitch.server._exchange import Exchange, Handler
from azureswitch.server._handover import Handover
from azureswitch.server._idleness import Idleness
from azureswitch.server._model import CloseReason, ConnectionClosed, HttpRequest
from azureswitch.server._reader import RequestReader, Stage
from azureswitch.server._timer import Timer
from azureswitch.server._unread import is_readable
from azureswitch.shedding import ConnectionLimit, UnfinishedRequests

LOOK_SECONDS = 0.01
"""Seconds until a connection with unread bytes is looked at again; the loop's next turn reads them.

A whole request that arrived in a busy moment of the loop was lost to a reset without the look.
"""

UNREAD_LEAST = 5.0
"""Seconds for which a caller may read nothing, at least, as several packets in a row may drop."""

LINGER_SECONDS = 2.0
"""Seconds for which a refused caller may go on sending; it reads the refusal meanwhile."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerConnection(asyncio.Protocol):
    """One connection of a caller, whose requests are answered one after the other.

    Args:
        handler: Takes the requests.
        connections: The open connections, which this one adds itself to.
        budget: Counts the memory of requests, and of answers that the caller does not read.
        unfinished: The unfinished requests of the process.
        limit: Bounds the open connections.
        closed: Is told once it has ended.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        connections: set["ServerConnection"],
        budget: BufferBudget,
        unfinished: UnfinishedRequests,
        limit: ConnectionLimit,
        closed: Callable[[ConnectionClosed], None],
    ) -> None:
        self._handler = handler
        self._handover = Handover(handler=handler)
        self._connections = connections
        self._limit = limit
        self._closed = closed
        self._reason: CloseReason | None = None
        self._loop = asyncio.get_running_loop()
        self._reader = RequestReader(
            limits=lambda: handler.limits, budget=budget, unfinished=unfinished, holder=self
        )
        self._unread_answers = budget.lease()
        self._transport: asyncio.Transport | None = None
        self._timer = Timer(loop=self._loop)
        self._current: Exchange | None = None
        self._waiting: deque[Exchange] = deque()
        self._advancing = False
        self._held = False
        self._reading_since = self._loop.time()
        self._idleness = Idleness(limits=lambda: handler.limits, clock=self._loop.time)
        self._unsent_before = 0
        self._passed_over = 0
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def closing(self) -> bool:
        """Whether the answer under way is the last one; not before what was read is answered."""
        if self._waiting or self._reader.refusal is not None:
            return False
        return self._handler.closing or self._reader.ended or self._limit.crowded

    def promise(self) -> int:
        """Return the whole seconds that the connection stays once idle, or zero for untold."""
        return self._idleness.promise()

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        unread = self._reader.stage is Stage.NONE
        return unread and self._current is None and not self._waiting

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived, or the caller's end, that the loop has not read yet."""
        if self._transport is None or self._transport.is_closing():
            return False
        return is_readable(self._transport.get_extra_info("socket"))

    @property
    def _unsent(self) -> int:
        """Bytes that were written and that the kernel has no room for until the caller reads."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            if not self._writable.is_set():
                self._unread_answers.resize(self._unsent)

    async def drain(self) -> None:
        """Wait until the caller has read enough."""
        await self._writable.wait()

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once."""
        self._reason = self._reason or reason
        self._timer.stop()
        if self._transport is not None:
            self._transport.abort()

    def close(self, reason: CloseReason) -> None:
        """Close the connection once all that was written is sent, or its caller stops reading."""
        self._reason = self._reason or reason
        self._timer.stop()
        if self._transport is not None:
            self._transport.close()
            self._watch_unsent()

    def close_idle(self) -> None:
        """Close the connection for a stop, unless a request is here or must be on its way."""
        fresh = self._reader.begun == 0 and self._idleness.fresh
        if self.idle and not fresh and not self.has_unread:
            self.close(CloseReason.STOP)

    def drop(self) -> None:
        """Close the connection at once, as others need its descriptor."""
        self.abort(CloseReason.CROWDED)

    def shed(self, error: RequestShedError) -> None:
        """Refuse the request that is not whole yet, after the answers to those before it."""
        self._reader.refuse(error)
        self._advance()

    def answered(self, *, keep_alive: bool) -> None:
        """Go on with the next request, or close."""
        self._current = None
        if keep_alive:
            self._advance()
            return
        if self._reader.cut_short:
            self._linger()
        elif self._reader.refusal is not None:
            self.close(CloseReason.REFUSED)
        else:
            self.close(CloseReason.ANSWERED)

    # asyncio calls these.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, or close it where there are too many."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._limit.admit(self):
            self.drop()
            return
        self._connections.add(self)
        self._wait_idle()

    def data_received(self, data: bytes) -> None:
        """Read what arrived, and begin with what is whole."""
        self._limit.heard(self)
        if self._reason is not None:
            self._pass_over(len(data))
            return
        begun = self._reader.begun
        for read in self._reader.feed(data):
            exchange = Exchange(
                request=read.request,
                connection=self,
                keep_alive=read.keep_alive,
                lease=read.lease,
            )
            self._waiting.append(exchange)
        if self.idle and not self._reader.ended:
            # Blank lines between requests do not make a connection any less idle.
            return
        if self._reader.stage is not Stage.HEAD or self._reader.begun != begun:
            self._time_reading()
        self._advance()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell what is being answered that the caller is gone."""
        self._reason = self._reason or CloseReason.CALLER
        self._timer.stop()
        self._connections.discard(self)
        self._limit.discard(self)
        self._reader.close()
        self.resume_writing()
        current, waiting = self._current, tuple(self._waiting)
        self._waiting.clear()
        closed = ConnectionClosed(
            reason=self._reason,
            unserved=tuple(exchange.request for exchange in waiting),
            unanswered=None if current is None else current.request,
        )
        self._handover.contain(lambda: self._closed(closed), step="Reporting a closed connection")
        for exchange in (current, *waiting):
            if exchange is not None:
                self._handover.contain(exchange.leave, step="Letting go of a request")

    def pause_writing(self) -> None:
        """Hold back what is sent, as the caller does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Send on."""
        self._writable.set()
        self._unread_answers.release()

    def _advance(self) -> None:
        """Answer what was read, in order, until one of the answers takes its time.

        A loop, as a queue of answers that each begin the next one would be as deep as it is long.
        """
        if self._advancing:
            return
        self._advancing = True
        try:
            while self._current is None and self._reason is None and self._begin_next():
                pass
        finally:
            self._advancing = False
        if self._reason is None:
            self._read_on()

    def _begin_next(self) -> bool:
        """Begin with what comes next, and return whether there was something."""
        if self._waiting:
            self._current = self._waiting.popleft()
            self._handover.take(self._current)
        elif self._reader.refusal is not None:
            request = HttpRequest(method="", target="", headers=(), body=b"")
            self._current = Exchange(request=request, connection=self, keep_alive=False)
            self._handover.refuse(self._current, self._reader.refusal)
        elif self._reader.ended:
            self.close(CloseReason.ANSWERED)
        else:
            return False
        return True

    def _read_on(self) -> None:
        """Hold back a caller that sends ahead, or read its next request."""
        if self._current is not None:
            if self._waiting and self._transport is not None:
                self._held = True
                self._transport.pause_reading()
                # What is not read cannot be late.
                self._timer.stop()
            return
        if self._held and self._transport is not None:
            self._held = False
            self._transport.resume_reading()
            self._time_reading()
        if self._reader.stage is Stage.NONE:
            self._wait_idle()
        elif self._reader.take_continue():
            self.write(CONTINUE)
            self._time_reading()

    def _time_reading(self) -> None:
        """Begin to wait for more of a request; parts of a body may be as far apart as requests."""
        self._reading_since = self._loop.time()
        if self._reader.stage is Stage.NONE:
            self._timer.stop()
        else:
            self._timer.set(self._reading_seconds, self._timed_out)

    @property
    def _reading_seconds(self) -> float:
        """Seconds for which more of a request may be awaited, by the limits of this moment."""
        limits = self._handler.limits
        return limits.header_seconds if self._reader.stage is Stage.HEAD else limits.idle_seconds

    def _timed_out(self) -> None:
        left = self._reading_since + self._reading_seconds - self._loop.time()
        if left > 0.0:
            # The limit has risen since the timer was set.
            self._timer.set(left, self._timed_out)
            return
        self._reader.refuse(CallerTooSlowError(limit=self._handler.limits.header_seconds))
        self._advance()

    def _wait_idle(self) -> None:
        self._unsent_before = self._unsent
        self._idleness.begin()
        least = UNREAD_LEAST if self._unsent_before else 0.0
        self._timer.set(max(self._idleness.left, least), self._idled)

    def _idled(self) -> None:
        left = self._idleness.left
        if left > 0.0 or self.has_unread:
            self._timer.set(max(left, LOOK_SECONDS), self._idled)
            return
        if not self._unsent_before:
            self.close(CloseReason.IDLE)
        elif self._unsent < self._unsent_before:
            self._wait_idle()
        else:
            self._give_up()

    def _linger(self) -> None:
        """End a refusal, and pass over what its caller still sends, so that it reads the answer.

        A connection that is closed with unread bytes is reset, and the answer may go with it.
        """
        self._reason = self._reason or CloseReason.REFUSED
        if self._transport is None or not self._transport.can_write_eof():
            self.close(CloseReason.REFUSED)
            return
        self._transport.write_eof()
        if self._held:
            self._transport.resume_reading()
        self._timer.set(LINGER_SECONDS, lambda: self.abort(CloseReason.REFUSED))

    def _pass_over(self, size: int) -> None:
        """Count bytes that are not read any more, of which a body's worth may come."""
        self._passed_over += size
        if self._passed_over > self._handler.limits.body_bytes:
            self.abort(CloseReason.REFUSED)

    def _watch_unsent(self) -> None:
        """Wait for the caller to read what was sent before the close, while it goes on with it.

        A close alone waits for ever: 28 of 32 MB of an answer stayed for a caller that read none.
        """
        self._unsent_before = self._unsent
        if self._unsent_before:
            seconds = max(self._handler.limits.idle_seconds, UNREAD_LEAST)
            self._timer.set(seconds, self._look_unsent)

    def _look_unsent(self) -> None:
        if self._unsent < self._unsent_before:
            self._watch_unsent()
        else:
            self._give_up()

    def _give_up(self) -> None:
        """Let go of an answer of which the caller has read nothing for so long."""
        self._reason = CloseReason.UNREAD
        self.abort(CloseReason.UNREAD)
