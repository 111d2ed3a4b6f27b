"""Reads answers as a caller does and compares them with what they must be."""

from http import HTTPStatus

import msgspec

from azureswitch.client import HttpHead
from azureswitch_load._bodies import messages_of, prompt_of
from azureswitch_load._calls import CallKind, PlannedCall
from azureswitch_load._outcome import End
from azureswitch_standins.engine import chat_text, expected_answer

DATA = "data: "
DONE = "data: [DONE]"
REFUSALS = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class _Text(msgspec.Struct, frozen=True):
    """The text of a message or a delta."""

    content: str | None = None


class _Choice(msgspec.Struct, frozen=True):
    """One choice, of whichever interface."""

    text: str | None = None
    message: _Text | None = None
    delta: _Text | None = None

    @property
    def content(self) -> str:
        """Its text."""
        part = self.message or self.delta
        return self.text or (part.content if part else "") or ""


class Failure(msgspec.Struct, frozen=True):
    """What an answer says of a failure."""

    code: str = ""
    ran: str = ""


class _Answer(msgspec.Struct, frozen=True):
    """A whole answer or one event."""

    id: str = ""
    choices: tuple[_Choice, ...] = ()
    error: Failure | None = None


class _Receipt(msgspec.Struct, frozen=True):
    """What the stand-in of a plain service answers."""

    request_id: str = ""
    idempotency_key: str = ""
    path: str = ""


class Reading(msgspec.Struct, frozen=True, kw_only=True):
    """What an answer turned out to be.

    Attributes:
        end: How the attempt ended.
        failure: What the answer says of a failure.
        tokens: Output tokens of a whole answer.
    """

    end: End
    failure: Failure = Failure()
    tokens: int = 0


def read_answer(
    *, call: PlannedCall, run: str, key: str, path: str, head: HttpHead, body: bytes
) -> Reading:
    """Return what the answer to a call is.

    Args:
        call: The call.
        run: The run that it belongs to.
        key: The Idempotency-Key that it was sent with; empty for none.
        path: The path below the root of the plain service.
        head: Status and headers.
        body: The whole body.
    """
    try:
        if head.status >= HTTPStatus.BAD_REQUEST:
            return _failed(head.status, msgspec.json.decode(body, type=_Answer).error)
        if call.length is None:
            return _plain(msgspec.json.decode(body, type=_Receipt), key=key, path=path)
        if call.streamed:
            return _streamed(call, run, head, body.decode())
        answer = msgspec.json.decode(body, type=_Answer)
        return _compared(call, run, answer.choices[0].content, answer.id == _request(head))
    except (ValueError, IndexError):
        return Reading(end=End.BROKEN)


def _failed(status: int, failure: Failure | None) -> Reading:
    if failure is None or not failure.code:
        return Reading(end=End.BROKEN)
    refused = status in REFUSALS and failure.ran == "not_run"
    return Reading(end=End.REFUSED if refused else End.FAILED, failure=failure)


def _plain(receipt: _Receipt, *, key: str, path: str) -> Reading:
    own = receipt.idempotency_key == key and receipt.path == path
    return Reading(end=End.WHOLE if own else End.WRONG)


def _streamed(call: PlannedCall, run: str, head: HttpHead, body: str) -> Reading:
    *events, rest = body.split("\n\n")
    if rest or not events:
        return Reading(end=End.BROKEN)
    answers = [
        msgspec.json.decode(event.removeprefix(DATA), type=_Answer)
        for event in events
        if event != DONE
    ]
    failure = next((answer.error for answer in answers if answer.error), None)
    if failure is not None:
        return Reading(end=End.FAILED, failure=failure)
    if events[-1] != DONE:
        return Reading(end=End.BROKEN)
    text = "".join(choice.content for answer in answers for choice in answer.choices)
    return _compared(call, run, text, all(answer.id == _request(head) for answer in answers))


def _compared(call: PlannedCall, run: str, text: str, own: bool) -> Reading:
    right = own and text == _expected(call, run)
    return Reading(end=End.WHOLE if right else End.WRONG, tokens=call.output_tokens)


def _expected(call: PlannedCall, run: str) -> str:
    if call.kind is CallKind.CHAT:
        prompt = chat_text(messages=messages_of(call, run))
    else:
        prompt = prompt_of(call, run)
    return "".join(expected_answer(prompt, call.output_tokens))


def _request(head: HttpHead) -> str:
    return head.header(name="x-request-id") or ""
