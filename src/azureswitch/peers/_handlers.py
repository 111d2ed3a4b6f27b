"""What a host does with the messages that it receives."""

from collections.abc import Callable, Coroutine
from types import CoroutineType
from typing import Any, TypeVar

from absl import logging
from msgspec import Struct

from azureswitch.exceptions import AzureswitchError, PeerMessageInvalidError
from azureswitch.peers._codec import decode, encode, kind_of
from azureswitch.peers._limits import CALL_LIMIT
from azureswitch.ports import Handled

Request = TypeVar("Request")
Handler = Callable[[Any], Handled]

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

    def register(self, request: type[Request], handler: Callable[[Request], Handled]) -> None:
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
            reply = self._hand_over(kind=kind, body=body, peer=peer)
            if isinstance(reply, CoroutineType):
                reply = await reply
            return _encoded(reply, peer=peer)
        except Exception as error:
            return _failure(error, kind=kind)

    def take(self, *, kind: str, body: bytes, peer: str) -> Coroutine[object, object, None] | None:
        """Handle a message that nobody waits for an answer to.

        Most of what a host hears is sends of the others, which are taken without a wait, so that
        no task is made for each.

        Returns:
            What is left to do where the handler has to wait, or None.
        """
        try:
            reply = self._hand_over(kind=kind, body=body, peer=peer)
        except Exception as error:
            _failure(error, kind=kind)
            return None
        return _finish(reply, kind=kind) if isinstance(reply, CoroutineType) else None

    def _hand_over(self, *, kind: str, body: bytes, peer: str) -> Handled:
        expected = self._types.get(kind)
        if expected is None:
            raise PeerMessageInvalidError(peer=peer, kind=kind)
        message: object = decode(body=body, kind=expected, peer=peer)
        return self._handlers[kind](message)


async def _finish(reply: Coroutine[object, object, object | None], *, kind: str) -> None:
    try:
        await reply
    except Exception as error:
        _failure(error, kind=kind)


def _encoded(reply: object | None, *, peer: str) -> Answer:
    if reply is None:
        return Answer()
    encoded = encode(message=reply, peer=peer, limit=CALL_LIMIT)
    return Answer(kind=kind_of(type(reply)), body=encoded)


def _failure(error: Exception, *, kind: str) -> Answer:
    """Log why a message was not handled, and return the answer that says so."""
    if isinstance(error, AzureswitchError):
        logging.warning("peers: Message %s failed: %s", kind, error)
        return Answer(error=error.code)
    logging.error("peers: Handler of %s failed.", kind, exc_info=error)
    return Answer(error=INTERNAL_ERROR)
