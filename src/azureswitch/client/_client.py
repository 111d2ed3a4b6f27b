"""A client for one address, with a pool of connections."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from azureswitch.client._answer import Headers, HttpAnswer, HttpHead
from azureswitch.client._connection import Connection
from azureswitch.client._connector import Connector, DirectConnector
from azureswitch.exceptions import Breakage, HttpBrokenError, HttpNotSentError, NotSent

CONNECT_TIMEOUT = 1.0
"""Seconds that a connection may take to be made."""

IDLE_LIMIT = 2.0
"""Seconds after which an idle connection is not used again; servers close theirs later."""

POOL_LIMIT = 64
"""Idle connections that are kept at most."""

MAX_BODY_BYTES = 16_777_216
"""Bytes of a whole answer at most; a page of the store has some 2 MB."""

SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
"""Methods that are sent again where a kept connection had closed just then."""


class HttpExchange:
    """One answer that is being read."""

    def __init__(self, *, head: HttpHead, connection: Connection) -> None:
        self._head = head
        self._connection = connection

    @property
    def head(self) -> HttpHead:
        """Status and headers."""
        return self._head

    async def read(self) -> bytes:
        """Return what has arrived of the body, or wait for more; empty bytes are its end.

        Raises:
            HttpBrokenError: The connection broke or the time ran out.
        """
        return await self._connection.read()

    async def body(self) -> bytes:
        """Return the whole body.

        Raises:
            HttpBrokenError: The connection broke, the time ran out, or the body is too large.
        """
        body = bytearray()
        while part := await self.read():
            body += part
            if len(body) > MAX_BODY_BYTES:
                raise self.refuse_rest()
        return bytes(body)

    def refuse_rest(self) -> HttpBrokenError:
        """Close the connection, as the body is too large, and return the error to raise."""
        self._connection.abort(Breakage.BODY_TOO_LARGE)
        return HttpBrokenError(
            address=self._connection.address, answered=True, breakage=Breakage.BODY_TOO_LARGE
        )


class HttpClient:
    """Sends requests to one ``IP:PORT``, each once.

    Args:
        address: The ``IP:PORT``.
        connect_timeout: Seconds that a connection may take to be made.
        pool_limit: Idle connections that are kept at most.
        connector: Opens the connections, or None to open them straight to the address.

    Raises:
        ValueError: The address has no port.
    """

    def __init__(
        self,
        *,
        address: str,
        connect_timeout: float = CONNECT_TIMEOUT,
        pool_limit: int = POOL_LIMIT,
        connector: Connector | None = None,
    ) -> None:
        # Raises here, and not at the first request.
        int(address.rpartition(":")[2])
        self._address = address
        self._connector = connector or DirectConnector()
        self._connect_timeout = connect_timeout
        self._pool_limit = pool_limit
        self._idle: deque[Connection] = deque()

    @property
    def address(self) -> str:
        """The ``IP:PORT`` that requests go to."""
        return self._address

    async def request(
        self,
        *,
        method: str,
        path: str,
        headers: Headers = (),
        body: bytes = b"",
        timeout: float,
        fresh: bool = False,
    ) -> HttpAnswer:
        """Send a request and return its whole answer, of at most `MAX_BODY_BYTES`.

        Args:
            method: The HTTP method.
            path: Path and query.
            headers: Headers beside ``Content-Length``; ``Host`` is the address unless given.
            body: The body.
            timeout: Seconds until the whole answer must have arrived.
            fresh: Whether to make a connection for it, so that a kept one that the server is just
                closing cannot leave the outcome open.

        Raises:
            HttpNotSentError: Nothing was sent.
            HttpBrokenError: The request was sent and its answer did not arrive whole.
        """
        exchange = self.stream(
            method=method, path=path, headers=headers, body=body, timeout=timeout, fresh=fresh
        )
        async with exchange as answer:
            return HttpAnswer(head=answer.head, body=await answer.body())

    @asynccontextmanager
    async def stream(
        self,
        *,
        method: str,
        path: str,
        headers: Headers = (),
        body: bytes = b"",
        timeout: float,
        fresh: bool = False,
        permitted: Callable[[], bool] | None = None,
    ) -> AsyncIterator[HttpExchange]:
        """Send a request and give its answer to read; arguments and failures as for `request`.

        ``permitted`` is called once there is a connection, which can take time, and before anything
        is written; nothing is sent if it returns False.  Leaving the block before the end of the
        answer closes the connection.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        data = self._encode(method=method, path=path, headers=headers, body=body)
        connection, head = await self._send(
            method=method, data=data, deadline=deadline, fresh=fresh, permitted=permitted
        )
        try:
            yield HttpExchange(head=head, connection=connection)
        finally:
            self._put_back(connection)

    def close(self) -> None:
        """Close the connections that are idle."""
        while self._idle:
            self._idle.pop().abort()

    async def _send(
        self,
        *,
        method: str,
        data: tuple[bytes, bytes],
        deadline: float,
        fresh: bool,
        permitted: Callable[[], bool] | None,
    ) -> tuple[Connection, HttpHead]:
        kept = None if fresh else self._take()
        connection = kept or await self._connect(deadline)
        if permitted is not None and not permitted():
            connection.abort()
            raise HttpNotSentError(address=self._address, reason=NotSent.NOT_PERMITTED)
        head_only = method == "HEAD"
        connection.send(data=data, head_only=head_only, deadline=deadline)
        try:
            return connection, await connection.head()
        except HttpBrokenError:
            connection.abort()
            in_time = asyncio.get_running_loop().time() < deadline
            if kept is None or method not in SAFE_METHODS or not in_time:
                raise
        except BaseException:
            connection.abort()
            raise
        return await self._send(
            method=method, data=data, deadline=deadline, fresh=True, permitted=permitted
        )

    def _take(self) -> Connection | None:
        oldest = asyncio.get_running_loop().time() - IDLE_LIMIT
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable and connection.idle_since > oldest:
                return connection
            connection.abort()
        return None

    def _put_back(self, connection: Connection) -> None:
        connection.finish()
        if not connection.reusable or len(self._idle) >= self._pool_limit:
            connection.abort()
            return
        self._idle.append(connection)

    async def _connect(self, deadline: float) -> Connection:
        left = deadline - asyncio.get_running_loop().time()
        return await self._connector.connect(
            address=self._address,
            protocol=lambda: Connection(address=self._address),
            timeout=min(left, self._connect_timeout),
        )

    def _encode(
        self, *, method: str, path: str, headers: Headers, body: bytes
    ) -> tuple[bytes, bytes]:
        lines = [f"{method} {path} HTTP/1.1"]
        if not any(name.lower() == "host" for name, _ in headers):
            lines.append(f"host: {self._address}")
        lines.extend(f"{name}: {value}" for name, value in headers)
        if body or method not in SAFE_METHODS:
            lines.append(f"content-length: {len(body)}")
        head = "\r\n".join((*lines, "", "")).encode("latin-1")
        return head, body
