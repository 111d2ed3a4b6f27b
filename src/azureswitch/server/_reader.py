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

from azureswitch.exceptions import (
    AzureswitchError,
    BodyTooLargeError,
    HeadersTooLargeError,
    MalformedRequestError,
)
from azureswitch.server._model import CallerLimits, HttpRequest

LINE_BYTES = 4
"""Bytes that a header takes beside its name and its value: a colon, a space and the line's end."""


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
    """

    def __init__(self, *, limits: Callable[[], CallerLimits]) -> None:
        self._limits = limits
        self._parser = HttpRequestParser(self)
        self._stage = Stage.NONE
        self._begun = 0
        self._ended = False
        self._refusal: AzureswitchError | None = None
        self._awaits_continue = False
        self._whole: list[tuple[HttpRequest, bool]] = []
        self._url = b""
        self._headers: list[tuple[str, str]] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

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

    def feed(self, data: bytes) -> list[tuple[HttpRequest, bool]]:
        """Read, and return the requests that are whole now.

        Returns:
            Each request, and whether its caller may send a further one.
        """
        if self._ended:
            return []
        self._whole = []
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            # The request is whole and is answered; what follows it would be another protocol.
            self._end()
        except HttpParserCallbackError:
            # A fault of ours, which the parser wraps as if the request were malformed.
            logging.exception("server: Reading a request failed.")
            self.refuse(AzureswitchError())
        except HttpParserError:
            self.refuse(MalformedRequestError())
        return self._whole

    def refuse(self, error: AzureswitchError) -> None:
        """Read nothing more, as what came is no acceptable request."""
        if not self._ended:
            self._end()
            self._refusal = error

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
        self._headers = []
        self._head_bytes = 0
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Keep path and query."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))
        self._count_head(len(name) + len(value) + LINE_BYTES)

    def on_headers_complete(self) -> None:
        """Go on with the body."""
        if self._ended:
            return
        self._stage = Stage.BODY
        self._awaits_continue = any(
            name == "expect" and "100" in value for name, value in self._headers
        )

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        if self._ended:
            return
        self._body.append(data)
        self._body_bytes += len(data)
        limit = self._limits().body_bytes
        if self._body_bytes > limit:
            self.refuse(BodyTooLargeError(limit=limit))

    def on_message_complete(self) -> None:
        """Keep a whole request."""
        if self._ended:
            return
        request = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=tuple(self._headers),
            body=b"".join(self._body),
        )
        self._body = []
        self._stage = Stage.NONE
        self._awaits_continue = False
        keep_alive = self._parser.should_keep_alive()
        self._whole.append((request, keep_alive))
        if not keep_alive:
            # What follows is no request (RFC 9112, 9.6), and no reason to refuse anything.
            self._end()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        limit = self._limits().header_bytes
        if self._head_bytes > limit:
            self.refuse(HeadersTooLargeError(limit=limit))

    def _end(self) -> None:
        self._ended = True
        self._stage = Stage.NONE
        self._awaits_continue = False
