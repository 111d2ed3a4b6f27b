"""What a host does with the messages that it receives."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from absl import logging
from msgspec import Struct

from azureswitch.exceptions import AzureswitchError, PeerMessageInvalidError
from azureswitch.peers._codec import decode, encode, kind_of
from azureswitch.peers._limits import CALL_LIMIT

Request = TypeVar("Request")
Handler = Callable[[Any], Awaitable[object | None]]

INTERNAL_ERROR = "internal_error"


class Answer(Struct, frozen=True, kw_only=True):
    """The outcome of handling a message, encoded.

    Attributes:
        kind: The type name of the reply; empty where there is none.
        body: The reply.
        error: The code of the failure; empty where there is none.
    """

    kind: str = ""
    body: bytes = b""
    error: str = ""


class Handlers:
    """The handlers of one host, by type of message."""

    def __init__(self) -> None:
        self._types: dict[str, type[object]] = {}
        self._handlers: dict[str, Handler] = {}

    def register(
        self, request: type[Request], handler: Callable[[Request], Awaitable[object | None]]
    ) -> None:
        """Register the one handler for a type of message."""
        kind = kind_of(request)
        self._types[kind] = request
        self._handlers[kind] = handler

    async def handle(self, *, kind: str, body: bytes, peer: str) -> Answer:
        """Handle a message; every failure becomes an answer.

        Args:
            kind: Its type name.
            body: The encoded message.
            peer: Where it came from.
        """
        try:
            return await self._handle(kind=kind, body=body, peer=peer)
        except AzureswitchError as error:
            logging.warning("peers: Message %s failed: %s", kind, error)
            return Answer(error=error.code)
        except Exception:
            logging.exception("peers: Handler of %s failed.", kind)
            return Answer(error=INTERNAL_ERROR)

    async def _handle(self, *, kind: str, body: bytes, peer: str) -> Answer:
        expected = self._types.get(kind)
        if expected is None:
            raise PeerMessageInvalidError(peer=peer, kind=kind)
        message: object = decode(body=body, kind=expected, peer=peer)
        reply = await self._handlers[kind](message)
        if reply is None:
            return Answer()
        encoded = encode(message=reply, peer=peer, limit=CALL_LIMIT)
        return Answer(kind=kind_of(type(reply)), body=encoded)
