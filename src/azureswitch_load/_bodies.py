"""The bodies of calls and the answers that they must get."""

from functools import lru_cache
from random import Random

import msgspec

from azureswitch_load._calls import CallKind, PlannedCall

TOKEN_BYTES = 4
"""Bytes of one token."""

TEXT_TOKENS = 1_200_000
"""Tokens of the text that documents are cut from."""

WORDS = ("mount", "angle", "dish", "roof", "signal", "budget", "ward", "vote", "canal", "school")


class _Message(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat."""

    role: str
    content: str


class _Body(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The body of a completion or a chat."""

    model: str
    max_tokens: int
    stream: bool
    prompt: str | None = None
    messages: tuple[_Message, ...] | None = None


class _Booking(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a booking."""

    customer: str
    number: int


def body(*, call: PlannedCall, model: str, run: str) -> bytes:
    """Return the body of a call.

    Args:
        call: The call.
        model: The model asked for.
        run: What tells the prompts of this run from those of others.
    """
    match call.kind:
        case CallKind.LOOKUP:
            return b""
        case CallKind.BOOKING:
            return msgspec.json.encode(_Booking(customer=call.caller.name, number=call.number))
        case CallKind.CHAT:
            messages = tuple(
                _Message(role=role, content=content) for role, content in messages_of(call, run)
            )
            return msgspec.json.encode(
                _Body(
                    model=model,
                    max_tokens=call.output_tokens,
                    stream=call.streamed,
                    messages=messages,
                )
            )
        case CallKind.COMPLETION:
            return msgspec.json.encode(
                _Body(
                    model=model,
                    max_tokens=call.output_tokens,
                    stream=call.streamed,
                    prompt=prompt_of(call, run),
                )
            )


def prepare() -> None:
    """Make the text that documents are cut from, which takes about a second, ahead of a run."""
    _text()


def prompt_of(call: PlannedCall, run: str) -> str:
    """Return the prompt of a completion: a document and a question."""
    question = _question(call, run)
    return _document(call, run, len(question)) + question


def messages_of(call: PlannedCall, run: str) -> tuple[tuple[str, str], ...]:
    """Return the messages of a chat as role and content."""
    question = _question(call, run)
    return ("system", _document(call, run, len(question))), ("user", question)


def _question(call: PlannedCall, run: str) -> str:
    return f" Question {run}-{call.number}: explain."


def _document(call: PlannedCall, run: str, question: int) -> str:
    size = max(0, call.prompt_tokens * TOKEN_BYTES - question)
    text = _text()
    if call.document is None:
        start = Random(f"{run}/{call.number}").randrange(len(text) - size)
        return f"{run}-{call.number} {text[start : start + size]}"[:size]
    start = Random(f"{call.caller.name}/{call.document}").randrange(len(text) - size)
    return text[start : start + size]


@lru_cache(maxsize=1)
def _text() -> str:
    words = Random(0).choices(WORDS, k=TEXT_TOKENS)
    return " ".join(words)
