"""Lets a handler write a streamed answer by itself.

A framework's streamed response is a generator that is pulled by a task of its own, which costs a
task switch for every run of tokens.  Here the task that reads the engine writes to the caller.
"""

from collections.abc import Awaitable, Callable
from typing import Any

Message = dict[str, Any]
Send = Callable[[Message], Awaitable[None]]
Asgi = Callable[[Message, Callable[[], Awaitable[Message]], Send], Awaitable[None]]


class Outlet:
    """One answer under way.

    Called by the framework it passes on what that sends, until a handler begins an answer itself.

    Args:
        send: Sends a message to the server.
    """

    def __init__(self, *, send: Send) -> None:
        self._send = send
        self._taken = False

    async def __call__(self, message: Message) -> None:
        """Pass a message of the framework on, unless a handler answers."""
        if not self._taken:
            await self._send(message)

    async def begin(self, *, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer."""
        self._taken = True
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def write(self, data: bytes) -> None:
        """Send part of the body, and wait while the caller is behind."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self) -> None:
        """End the body."""
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})


class Edge:
    """The outermost application, which gives every request its `Outlet`.

    Args:
        app: The application.
    """

    def __init__(self, *, app: Asgi) -> None:
        self._app = app

    async def __call__(
        self, scope: Message, receive: Callable[[], Awaitable[Message]], send: Send
    ) -> None:
        """Serve one request."""
        outlet = Outlet(send=send)
        scope["state"]["outlet"] = outlet
        await self._app(scope, receive, outlet)
