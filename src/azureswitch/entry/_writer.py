"""Direct writing of streamed answers by a handler.

The framework reads a streamed response from a generator in a separate task, which costs a task
switch per chunk.  Here the task that reads from the engine writes to the caller.
"""

from collections.abc import Awaitable, Callable
from typing import Any

Message = dict[str, Any]
Send = Callable[[Message], Awaitable[None]]
Asgi = Callable[[Message, Callable[[], Awaitable[Message]], Send], Awaitable[None]]


class ResponseWriter:
    """Writes the answer to one request.

    As the framework's ``send``, it forwards messages until a handler begins an answer itself.

    Args:
        send: Sends a message to the server.
    """

    def __init__(self, *, send: Send) -> None:
        self._send = send
        self._has_begun = False

    async def __call__(self, message: Message) -> None:
        """Forward a message of the framework, unless a handler has begun an answer."""
        if not self._has_begun:
            await self._send(message)

    async def begin(self, *, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the status and headers."""
        self._has_begun = True
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def write(self, data: bytes) -> None:
        """Send part of the body, and wait until the caller has read enough of it."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self) -> None:
        """End the body."""
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})


class ResponseWriterApp:
    """The outermost application, which adds a `ResponseWriter` to every request.

    Args:
        app: The application.
    """

    def __init__(self, *, app: Asgi) -> None:
        self._app = app

    async def __call__(
        self, scope: Message, receive: Callable[[], Awaitable[Message]], send: Send
    ) -> None:
        """Serve one request."""
        writer = ResponseWriter(send=send)
        scope["state"]["writer"] = writer
        await self._app(scope, receive, writer)
