"""What the engine reads of a prompt, and the answer that it gives.

The answer is a function of the prompt alone, so that who sent a request can compute all of it and
compare, independently of what carried it.
"""

from collections.abc import Iterable, Sequence
from struct import pack

from msgspec import DecodeError, Raw, Struct, ValidationError
from msgspec.json import decode
from xxhash import xxh64_intdigest

from azureswitch.ports import Surface

BYTES_PER_TOKEN = 4
"""UTF-8 bytes of text that make one token, rounded up."""

BLOCK_TOKENS = 512
"""Tokens of one cached prefix block."""

DEFAULT_OUTPUT = 16
"""Output tokens where a request does not say."""

_SYLLABLES = tuple(c + v for c in "bdfghjklmnprstvz" for v in "aeio")


class Prompt(Struct, frozen=True, kw_only=True):
    """One prompt as the engine sees it.

    Attributes:
        tokens: Its length in tokens.
        key: What its answer is a function of.
        blocks: Hashes of its whole blocks, longest prefix last.
    """

    tokens: int
    key: int
    blocks: tuple[int, ...] = ()


class Question(Struct, frozen=True, kw_only=True):
    """The part of a request's body that the engine reads."""

    model: str
    prompt: Prompt
    max_tokens: int
    stream: bool


class BodyError(Exception):
    """The body of a request cannot be read."""


class _Part(Struct):
    text: str = ""


class _Message(Struct):
    role: str
    content: str | list[_Part] | None = None


class _Body(Struct):
    model: str
    prompt: str | list[int] | None = None
    messages: list[_Message] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = None
    seed: int | Raw | None = None


def prompt_data(*, prompt: str | Sequence[int]) -> bytes:
    """Return the bytes that stand for a prompt in hashes."""
    if isinstance(prompt, str):
        return prompt.encode()
    return pack(f"<{len(prompt)}q", *prompt)


def chat_text(*, messages: Iterable[tuple[str, str]]) -> str:
    """Return the prompt that a list of (role, content) stands for."""
    return "".join(f"{role}: {content}\n" for role, content in messages)


def prefix_blocks(*, data: bytes, block: int, cache_scope: str) -> tuple[int, ...]:
    """Return the hashes of the whole blocks of a prompt.

    Args:
        data: The prompt's bytes.
        block: Bytes of a block.
        cache_scope: The scope that prefixes are shared in.
    """
    seed = xxh64_intdigest(cache_scope.encode())
    hashes = []
    for start in range(0, len(data) - block + 1, block):
        seed = xxh64_intdigest(data[start : start + block], seed)
        hashes.append(seed)
    return tuple(hashes)


def read_prompt(*, prompt: str | Sequence[int], cache_scope: str) -> Prompt:
    """Return what the engine needs of a prompt."""
    data = prompt_data(prompt=prompt)
    token = BYTES_PER_TOKEN if isinstance(prompt, str) else 8
    return Prompt(
        tokens=max(1, -(-len(data) // token)),
        key=xxh64_intdigest(data),
        blocks=prefix_blocks(data=data, block=token * BLOCK_TOKENS, cache_scope=cache_scope),
    )


def read_question(*, surface: Surface, body: bytes, cache_scope: str) -> Question:
    """Read a request's body.

    Raises:
        BodyError: It is not what the interface asks for.
    """
    try:
        parsed = decode(body, type=_Body)
    except (DecodeError, ValidationError) as error:
        raise BodyError(str(error)) from error
    prompt: str | list[int] | None = parsed.prompt
    if surface is Surface.CHAT:
        prompt = _rendered(parsed.messages)
    if prompt is None:
        raise BodyError("the prompt or the messages are missing")
    wanted = parsed.max_tokens if parsed.max_tokens is not None else parsed.max_completion_tokens
    if wanted is not None and wanted < 1:
        raise BodyError("max_tokens is under 1")
    return Question(
        model=parsed.model,
        prompt=_read(prompt, cache_scope),
        max_tokens=DEFAULT_OUTPUT if wanted is None else wanted,
        stream=bool(parsed.stream),
    )


def output_token(*, key: int, index: int) -> str:
    """Return the text of one output token."""
    bits = xxh64_intdigest(index.to_bytes(4, "little"), key)
    first, second, third, fourth = bits & 63, bits >> 6 & 63, bits >> 12 & 63, bits >> 18 & 63
    return f" {_SYLLABLES[first]}{_SYLLABLES[second]}{_SYLLABLES[third]}{_SYLLABLES[fourth]}"


def expected_answer(prompt: str | Sequence[int], max_tokens: int) -> list[str]:
    """Return the whole answer to a prompt, token by token.

    Args:
        prompt: The prompt; of a chat, `chat_text` of its messages.
        max_tokens: The output tokens asked for, all of which the engine gives.
    """
    key = xxh64_intdigest(prompt_data(prompt=prompt))
    return [output_token(key=key, index=index) for index in range(max_tokens)]


def _read(prompt: str | list[int], cache_scope: str) -> Prompt:
    try:
        return read_prompt(prompt=prompt, cache_scope=cache_scope)
    except Exception as error:  # struct.error: an integer over 64 bits
        raise BodyError(str(error)) from error


def _rendered(messages: list[_Message] | None) -> str | None:
    if messages is None:
        return None
    return chat_text(messages=((item.role, _content(item)) for item in messages))


def _content(message: _Message) -> str:
    if message.content is None or isinstance(message.content, str):
        return message.content or ""
    return "".join(part.text for part in message.content)
