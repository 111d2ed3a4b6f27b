"""Server-sent events of engines: skipping tokens, and merging events into one answer."""

from typing import Any

from msgspec import DecodeError, Struct
from msgspec.json import Decoder, decode, encode

from azureswitch.exceptions import TargetAnswerError
from azureswitch.ports import Surface

EVENT_END = b"\n\n"
"""The terminator of an event."""

_PREFIX = b"data: "
_DONE = b"[DONE]"
_REPLACED_KEYS = frozenset({"role", "id", "type", "name"})
"""Keys of a delta whose strings are complete; all others are parts of a longer string."""


class _Delta(Struct):
    content: str | None = None


class _Choice(Struct):
    text: str | None = None
    delta: _Delta | None = None
    finish_reason: str | None = None

    @property
    def has_text(self) -> bool:
        """Whether there is any text."""
        return bool(self.text or (self.delta and self.delta.content))


class _Event(Struct):
    choices: list[_Choice] = []
    usage: Any = None
    tokens: int = 1


class _Details(Struct):
    cached_tokens: int | None = None


class _Usage(Struct):
    prompt_tokens_details: _Details | None = None


class _Closing(Struct):
    usage: _Usage | None = None


_EVENTS = Decoder(_Event)
_CLOSINGS = Decoder(_Closing)


def _payloads(data: bytes) -> list[bytes]:
    events = (event for event in data.split(EVENT_END) if event.startswith(_PREFIX))
    payloads = (event[len(_PREFIX) :] for event in events)
    return [payload for payload in payloads if payload != _DONE]


def _tokens(event: bytes) -> int:
    if not event.startswith(_PREFIX) or event.endswith(_DONE):
        return 0
    decoded = _EVENTS.decode(event[len(_PREFIX) :])
    ends = any(choice.finish_reason for choice in decoded.choices) or decoded.usage is not None
    has_text = any(choice.has_text for choice in decoded.choices)
    return decoded.tokens if has_text or not ends else 0


def skip_tokens(data: bytes, count: int) -> bytes:
    """Return events without their first output tokens.

    Args:
        data: Whole events.
        count: Number of tokens to skip; an event of several tokens is not divided.

    Returns:
        The remaining events.
    """
    if count == 0:
        return data
    kept = []
    for event in data.split(EVENT_END)[:-1]:
        tokens = _tokens(event)
        if tokens == 0 or count < tokens:
            kept.append(event + EVENT_END)
        count = max(0, count - tokens)
    return b"".join(kept)


def cached_tokens(data: bytes) -> int:
    """Return the number of cached prompt tokens stated in an answer's last events, or zero."""
    for payload in _payloads(data):
        try:
            usage = _CLOSINGS.decode(payload).usage
        except DecodeError:
            continue
        if usage is not None and usage.prompt_tokens_details is not None:
            return usage.prompt_tokens_details.cached_tokens or 0
    return 0


def _merge(whole: dict[str, Any], piece: dict[str, Any]) -> None:
    for key, value in piece.items():
        known = whole.get(key)
        if known is None:
            whole[key] = value
        elif isinstance(value, str) and isinstance(known, str) and key not in _REPLACED_KEYS:
            whole[key] = known + value
        elif isinstance(value, dict) and isinstance(known, dict):
            _merge(known, value)
        elif isinstance(value, list) and isinstance(known, list):
            _merge_items(known, value)
        elif value is not None:
            whole[key] = value


def _merge_items(whole: list[Any], pieces: list[Any]) -> None:
    by_index = {item["index"]: item for item in whole if isinstance(item, dict) and "index" in item}
    for piece in pieces:
        known = by_index.get(piece.get("index")) if isinstance(piece, dict) else None
        if known is None:
            whole.append(piece)
        else:
            _merge(known, piece)


def whole_answer(data: bytes, surface: Surface) -> bytes:
    """Merge all events of a stream into one JSON answer.

    Args:
        data: All events of the answer.
        surface: The interface of the request.

    Raises:
        TargetAnswerError: An event cannot be decoded.
    """
    whole: dict[str, Any] = {}
    choice: dict[str, Any] = {"index": 0}
    message: dict[str, Any] = {"role": "assistant", "content": None}
    pieces: list[str] = []
    for payload in _payloads(data):
        try:
            event = decode(payload, type=dict[str, Any])
        except DecodeError as error:
            raise TargetAnswerError(target="") from error
        for part in event.pop("choices", None) or ():
            _add_choice(part, choice, message, pieces)
        whole.update(event)
    whole.pop("tokens", None)
    text = "".join(pieces)
    if surface is Surface.CHAT:
        whole["object"] = "chat.completion"
        message["content"] = text if pieces or "tool_calls" not in message else None
        choice["message"] = message
    else:
        choice["text"] = text
    return encode({**whole, "choices": [choice]})


def _add_choice(
    part: dict[str, Any], choice: dict[str, Any], message: dict[str, Any], pieces: list[str]
) -> None:
    """Merge one event's choice; texts are collected separately and joined once."""
    delta = part.pop("delta", None) or {}
    text = part.pop("text", None) or delta.pop("content", None)
    if text:
        pieces.append(text)
    _merge(message, delta)
    choice.update(part)
