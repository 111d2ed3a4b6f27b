"""Decoding of the parts of completion bodies that azureswitch uses."""

from collections.abc import Iterator
from typing import Any

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder
from xxhash import xxh64_intdigest

from azureswitch.exceptions import MalformedBodyError
from azureswitch.ports import Surface

BLOCK_TOKENS = 512
"""Prompt tokens in one cached block of an engine."""

TOKEN_BYTES = 4
"""Estimated bytes of prompt per token."""

ITEM_BYTES = 8
"""Bytes of one token of a prompt given as token ids."""

DEFAULT_OUTPUT_TOKENS = 1_024
"""Assumed limit of output tokens of a request that does not state one."""

MAX_OUTPUT_TOKENS = 1_048_576
"""Upper bound of the output tokens that a request may ask for."""


class _Part(Struct):
    type: str = "text"
    text: str = ""


class _Message(Struct):
    role: str
    content: str | list[_Part] | None = None


class _Body(Struct, kw_only=True):
    model: str
    stream: bool | None = None
    max_tokens: int | None = None
    n: int | None = None


class _CompletionBody(_Body, kw_only=True):
    prompt: str | list[str | int]


class _ChatBody(_Body, kw_only=True):
    messages: list[_Message]
    max_completion_tokens: int | None = None


_COMPLETIONS = Decoder(_CompletionBody)
_CHATS = Decoder(_ChatBody)


class Completion(Struct, frozen=True, kw_only=True):
    """The parts of a completion body that azureswitch uses.

    Attributes:
        model: The requested model.
        stream: Whether the answer is to be sent as server-sent events.
        prompt_tokens: Estimated tokens of the prompt.
        output_tokens: Upper bound of the output tokens.
        prefix: Hashes of the prompt's whole blocks, chained, longest last.
    """

    model: str
    stream: bool
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]


class _Kind(Struct):
    messages: Any = None


_KINDS = Decoder(_Kind)


def is_chat(body: bytes) -> bool:
    """Return whether a body is a chat request; one that cannot be decoded is not."""
    try:
        return _KINDS.decode(body).messages is not None
    except (DecodeError, RecursionError):
        return False


def read_completion(body: bytes, surface: Surface, *, scope: str) -> Completion:
    """Read a completion body.

    Args:
        body: The body, in JSON.
        surface: The interface that it was sent to.
        scope: The scope within which prefixes are shared.

    Returns:
        The parts that azureswitch uses.

    Raises:
        MalformedBodyError: It is not JSON, or lacks what the interface asks for.
    """
    try:
        decoded = _CHATS.decode(body) if surface is Surface.CHAT else _COMPLETIONS.decode(body)
    except ValidationError as error:
        raise MalformedBodyError(detail=str(error)) from error
    except (DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedBodyError(detail="it is not JSON in UTF-8") from error
    output = _output_tokens(decoded)
    prompt, token = _prompt(decoded)
    return Completion(
        model=decoded.model,
        stream=bool(decoded.stream),
        prompt_tokens=max(1, -(-len(prompt) // token)),
        output_tokens=output,
        prefix=tuple(_prefix(prompt, token * BLOCK_TOKENS, scope)),
    )


def _output_tokens(body: _CompletionBody | _ChatBody) -> int:
    if body.n not in (None, 1):
        raise MalformedBodyError(detail="only n = 1 is served")
    asked = body.max_tokens
    if isinstance(body, _ChatBody) and body.max_completion_tokens is not None:
        asked = body.max_completion_tokens
    if asked is None:
        return DEFAULT_OUTPUT_TOKENS
    if not 1 <= asked <= MAX_OUTPUT_TOKENS:
        raise MalformedBodyError(detail=f"max_tokens must be from 1 to {MAX_OUTPUT_TOKENS}")
    return asked


def _prompt(body: _CompletionBody | _ChatBody) -> tuple[bytes, int]:
    """Return a prompt's bytes as engines hash them, and the number of bytes per token."""
    if isinstance(body, _ChatBody):
        if not body.messages:
            raise MalformedBodyError(detail="messages must not be empty")
        text = "".join(f"{message.role}: {_content(message)}\n" for message in body.messages)
        return _text_prompt(text)
    if isinstance(body.prompt, str):
        return _text_prompt(body.prompt)
    if len(body.prompt) == 1 and isinstance(body.prompt[0], str):
        return _text_prompt(body.prompt[0])
    return _id_prompt(body.prompt)


def _content(message: _Message) -> str:
    if isinstance(message.content, list):
        return "".join(part.text for part in message.content)
    return message.content or ""


def _text_prompt(text: str) -> tuple[bytes, int]:
    try:
        return text.encode(), TOKEN_BYTES
    except UnicodeEncodeError as error:
        raise MalformedBodyError(detail="the prompt holds half of a surrogate pair") from error


def _id_prompt(items: list[str | int]) -> tuple[bytes, int]:
    try:
        data = b"".join(item.to_bytes(ITEM_BYTES, "little") for item in _ids(items))
    except OverflowError as error:
        raise MalformedBodyError(detail="a token id is out of range") from error
    return data, ITEM_BYTES


def _ids(items: list[str | int]) -> Iterator[int]:
    if not items:
        raise MalformedBodyError(detail="the prompt must not be empty")
    for item in items:
        if not isinstance(item, int):
            raise MalformedBodyError(detail="only one prompt is served at a time")
        yield item


def _prefix(prompt: bytes, size: int, scope: str) -> Iterator[int]:
    """Yield the chained hash of each whole block, as engines compute it."""
    block = xxh64_intdigest(scope.encode())
    view = memoryview(prompt)
    for start in range(0, len(prompt) - size + 1, size):
        block = xxh64_intdigest(view[start : start + size], seed=block)
        yield block
