"""Messages to and from bytes."""

from typing import Any, TypeVar, cast

from msgspec import MsgspecError
from msgspec.msgpack import Decoder, Encoder

from azureswitch.exceptions import PeerMessageInvalidError, PeerMessageTooLargeError

Message = TypeVar("Message")

_ENCODER = Encoder()
_DECODERS: dict[type, Decoder[Any]] = {}


def kind_of(message: type) -> str:
    """Return the name under which a type of message travels."""
    return message.__name__


def encode(*, message: object, peer: str, limit: int) -> bytes:
    """Encode a message.

    Args:
        message: A frozen data class.
        peer: The host that it is for, for the failure.
        limit: The most bytes it may have.

    Raises:
        PeerMessageTooLargeError: It has more than ``limit`` bytes.
    """
    body = _ENCODER.encode(message)
    if len(body) > limit:
        raise PeerMessageTooLargeError(peer=peer, size=len(body), limit=limit)
    return body


def decode(*, body: bytes, kind: type[Message], peer: str) -> Message:
    """Decode a message.

    Args:
        body: The encoded message.
        kind: Its type.
        peer: The host that it came from, for the failure.

    Raises:
        PeerMessageInvalidError: It is not a message of that type.
    """
    try:
        return cast(Message, _decoder(kind).decode(body))
    except MsgspecError as error:
        raise PeerMessageInvalidError(peer=peer, kind=kind_of(kind)) from error


def _decoder(kind: type) -> Decoder[Any]:
    decoder = _DECODERS.get(kind)
    if decoder is None:
        decoder = Decoder(kind)
        _DECODERS[kind] = decoder
    return decoder
