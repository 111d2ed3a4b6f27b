"""Reads requests out of a connection's bytes, by httptools."""

from collections.abc import Callable
from enum import Enum, auto

from absl import logging
from httptools import (
    HttpParserCallbackError,
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
)

from azureswitch.buffers import REQUEST_BYTES, BufferBudget, share_for
from azureswitch.client import MAX_FRAMING_BYTES, FramingMeter, pieces
from azureswitch.exceptions import (
    AzureswitchError,
    BodyTooLargeError,
    HeadersTooLargeError,
    MalformedRequestError,
    MemoryShortError,
    RequestShedError,
)
from azureswitch.server._headers import PackedHeaders
from azureswitch.server._model import CallerLimits, HttpRequest, ReadRequest
from azureswitch.shedding import Sheddable, UnfinishedRequests

LINE_BYTES = 4
"""Bytes that a header takes beside its name and its value: a colon, a space and the line's end."""
MAX_BODY_FRAMING_BYTES = 16_384
"""Bytes of chunk sizes, extensions and trailers, beside as many as the body has itself.

Each chunk costs as much to read, however short it is.
"""

_CUT_SHORT = (BodyTooLargeError, HeadersTooLargeError, MemoryShortError, RequestShedError)
"""Refusals of a request before it was read whole."""


class Stage(Enum):
    """What of a request has been read."""

    NONE = auto()
    HEAD = auto()
    BODY = auto()


class RequestReader:
    """Reads requests; what is none ends the reading.

    Requests are returned and not handed over from within the parser, which knows of nothing that
    stands behind a request in the same bytes and takes each failure for a malformed request.

    Args:
        limits: Returns what a request may be now.
        budget: Counts the memory that requests take.
        unfinished: The unfinished requests of the process.
        holder: The connection, which is told if its request is shed.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], CallerLimits],
        budget: BufferBudget,
        unfinished: UnfinishedRequests,
        holder: Sheddable,
    ) -> None:
        self._limits = limits
        self._budget = budget
        self._unfinished = unfinished
        self._holder = holder
        self._lease = budget.lease()
        self._meter = FramingMeter()
        self._parser = HttpRequestParser(self)
        self._stage = Stage.NONE
        self._begun = 0
        self._ended = False
        self._refusal: AzureswitchError | None = None
        self._cut_short = False
        self._expects_continue = False
        self._awaits_continue = False
        self._whole: list[ReadRequest] = []
        self._url = b""
        self._headers = PackedHeaders()
        self._head_bytes = 0
        self._head_received = 0
        self._piece_bytes = 0
        self._length = 0
        self._body = bytearray()

    @property
    def stage(self) -> Stage:
        """What of the newest request has been read; nothing once it is whole."""
        return self._stage

    @property
    def begun(self) -> int:
        """Requests of which a part was read so far."""
        return self._begun

    @property
    def ended(self) -> bool:
        """Whether no further request can come."""
        return self._ended

    @property
    def refusal(self) -> AzureswitchError | None:
        """Why what came behind the last whole request is none, or None."""
        return self._refusal

    @property
    def cut_short(self) -> bool:
        """Whether what was refused goes on, so that its caller may still be sending."""
        return self._cut_short

    def feed(self, data: bytes) -> list[ReadRequest]:
        """Read, and return the requests that are whole now."""
        self._whole = []
        for piece in pieces(data):
            if self._ended:
                break
            self._parse(piece)
            self._check_body()
            if self._stage is Stage.HEAD:
                self._hold()
            if self._meter.exceeded:
                self.refuse(HeadersTooLargeError(limit=self._limits().header_bytes))
        self._note_unfinished(received=len(data))
        return self._whole

    def _note_unfinished(self, *, received: int) -> None:
        """Refuse what is not whole by now if unfinished requests have no room for it."""
        if self._stage is Stage.NONE:
            self._unfinished.discard(self._holder)
        elif not self._unfinished.keep(self._holder, size=self._lease.size, received=received):
            self.refuse(MemoryShortError())

    def _parse(self, piece: bytes) -> None:
        self._meter.add(len(piece))
        self._piece_bytes = len(piece)
        self._head_received += len(piece)
        try:
            self._parser.feed_data(piece)
        except HttpParserUpgrade:
            # The request is whole and is answered; what follows it would be another protocol.
            self._end()
        except HttpParserCallbackError:
            # A fault of ours, which the parser wraps as if the request were malformed.
            logging.exception("server: Reading a request failed.")
            self.refuse(AzureswitchError())
        except HttpParserError:
            self.refuse(MalformedRequestError())

    def refuse(self, error: AzureswitchError) -> None:
        """Read nothing more, as what came is no acceptable request."""
        if not self._ended:
            self._cut_short = isinstance(error, _CUT_SHORT)
            self._end()
            self._refusal = error

    def close(self) -> None:
        """Let go of a request that is not whole, as its connection has ended."""
        self._end()

    def take_continue(self) -> bool:
        """Return, once, whether the caller waits for leave to send its request's body."""
        due = self._awaits_continue
        self._awaits_continue = False
        return due

    # The parser calls these.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._stage = Stage.HEAD
        self._begun += 1
        self._url = b""
        self._headers = PackedHeaders()
        self._head_bytes = 0
        self._head_received = self._piece_bytes
        self._length = 0
        self._expects_continue = False
        self._meter.reset(limit=MAX_FRAMING_BYTES + self._limits().header_bytes)

    def on_url(self, url: bytes) -> None:
        """Keep path and query."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header, but none that follows the body, which may not replace one before it."""
        if self._stage is Stage.BODY or self._ended:
            return
        name = name.lower()
        self._headers.add(name, value)
        if name == b"content-length":
            # The parser has checked it.
            self._length = int(value)
        elif name == b"expect" and b"100" in value:
            self._expects_continue = True
        self._count_head(len(name) + len(value) + LINE_BYTES)

    def on_headers_complete(self) -> None:
        """Go on with the body, if there is memory for it."""
        if self._ended:
            return
        self._stage = Stage.BODY
        self._meter.reset(limit=MAX_BODY_FRAMING_BYTES)
        limit = self._limits().body_bytes
        if self._length > limit:
            self.refuse(BodyTooLargeError(limit=limit))
            return
        if self._hold():
            self._awaits_continue = self._expects_continue

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        if self._ended:
            return
        self._body += data
        self._meter.add_body(len(data))

    def on_message_complete(self) -> None:
        """Keep a whole request."""
        self._check_body()
        if self._ended:
            self._cut_short = False
            return
        if not self._hold(headers_unpacked=True):
            return
        request = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=self._headers.unpack(),
            body=bytes(self._body),
        )
        self._headers = PackedHeaders()
        self._body = bytearray()
        self._stage = Stage.NONE
        self._awaits_continue = False
        keep_alive = self._parser.should_keep_alive()
        self._whole.append(ReadRequest(request=request, keep_alive=keep_alive, lease=self._lease))
        self._lease = self._budget.lease()
        self._meter.reset()
        if not keep_alive:
            # What follows is no request (RFC 9112, 9.6), and no reason to refuse anything.
            self._end()

    def _check_body(self) -> None:
        """Refuse a body that is too large, or that there is no memory for."""
        size = len(self._body)
        limit = self._limits().body_bytes
        if size > limit:
            self.refuse(BodyTooLargeError(limit=limit))
            return
        if size:
            self._hold()

    def _hold(self, *, headers_unpacked: bool = False) -> bool:
        """Count what the request holds, and return True, or refuse it as there is no memory.

        Args:
            headers_unpacked: Whether its headers are about to be unpacked.
        """
        head = self._head_received if self._stage is Stage.HEAD else self._head_bytes
        if headers_unpacked:
            head += self._headers.unpacked_bytes
        body = max(self._length, len(self._body))
        size = max(REQUEST_BYTES, head) + body
        more = size - self._lease.size
        if more <= 0 or self._unfinished.try_grow(
            self._lease, more, share=share_for(body), holder=self._holder
        ):
            return True
        self.refuse(MemoryShortError())
        return False

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        limit = self._limits().header_bytes
        if self._head_bytes > limit:
            self.refuse(HeadersTooLargeError(limit=limit))

    def _end(self) -> None:
        self._ended = True
        self._stage = Stage.NONE
        self._awaits_continue = False
        self._headers = PackedHeaders()
        self._body = bytearray()
        self._lease.release()
        self._unfinished.discard(self._holder)
