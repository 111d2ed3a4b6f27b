"""JSON on the engine's wire: bodies, errors and streamed events."""

import math
from http import HTTPStatus

from blacksheep import Content, Response
from msgspec import Struct, field
from msgspec.json import encode
from msgspec.structs import replace

from azureswitch.core import CallId
from azureswitch.ports import EngineRequest, Holding, Order, Surface
from azureswitch_standins.engine._errors import EngineError, FencedError
from azureswitch_standins.engine._prompt import Question, output_token

END = b"data: [DONE]\n\n"
"""The event that ends an answer."""


class HoldingBody(Struct):
    """What reserve and export read."""

    holding: Holding


class PrefillBody(Struct):
    """What prefill reads."""

    holding: Holding
    request: EngineRequest
    start: int


class FetchBody(Struct):
    """What fetch reads."""

    holding: Holding
    source: str


class ReleaseBody(Struct):
    """What release reads."""

    holding: str


class PriorityBody(Struct):
    """What a change of priority reads."""

    priority: int


class OrderBody(Struct):
    """What an order reads."""

    order: Order


class Exported(Struct):
    """What export answers."""

    address: str


class Holdings(Struct):
    """What the list of holdings answers."""

    holdings: tuple[Holding, ...]


class ListedModel(Struct):
    """One model of the list."""

    id: str
    object: str = "model"


class ModelList(Struct):
    """What the list of models answers."""

    data: list[ListedModel]
    object: str = "list"


class _Failure(Struct):
    type: str
    message: str
    not_run: bool
    detail: str = ""
    fence: int | None = None
    newest: int | None = None


class _FailureBody(Struct):
    error: _Failure


class _CachedTokens(Struct):
    cached_tokens: int


class _Usage(Struct):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: _CachedTokens


class _Choice(Struct, omit_defaults=True):
    index: int = field(default=-1)
    text: str | None = None
    message: dict[str, str] | None = None
    delta: dict[str, str] | None = None
    finish_reason: str | None = None


class _Answer(Struct):
    id: str
    object: str
    created: int
    model: str
    choices: list[_Choice]
    usage: _Usage


def json_answer(body: object, *, status: HTTPStatus = HTTPStatus.OK) -> Response:
    """Return a JSON answer."""
    return Response(status, content=Content(b"application/json", encode(body)))


def error_answer(error: EngineError) -> Response:
    """Return the answer for a refusal."""
    fence = error.fence if isinstance(error, FencedError) else None
    newest = error.newest if isinstance(error, FencedError) else None
    failure = _Failure(
        type=error.type,
        message=error.detail or type(error).__doc__ or "",
        not_run=True,
        detail=error.detail,
        fence=fence,
        newest=newest,
    )
    response = json_answer(_FailureBody(error=failure), status=error.status)
    if error.retry_after is not None:
        response.add_header(b"retry-after", str(math.ceil(error.retry_after)).encode())
    return response


class EventEncoder:
    """Encodes the answer to one request."""

    def __init__(self, *, call: CallId, surface: Surface, question: Question) -> None:
        self._call = call
        self._chat = surface is Surface.CHAT
        self._question = question
        head = b'data: {"id":%s,"object":"%s","created":0,"model":%s,"choices":[{"index":0,%s'
        kind, part = (
            (b"chat.completion.chunk", b'"delta":{') if self._chat else (b"text_completion", b"")
        )
        self._head = head % (encode(call), kind, encode(question.model), part)
        self._tail = (
            b'"},"finish_reason":null}]}\n\n' if self._chat else b'","finish_reason":null}]}\n\n'
        )

    def tokens(self, *, start: int, end: int) -> bytes:
        """Return the events of the output tokens from ``start`` up to ``end``."""
        key, head, tail = self._question.prompt.key, self._head, self._tail
        head += b'"content":"' if self._chat else b'"text":"'
        events = [
            head + output_token(key=key, index=index).encode() + tail for index in range(start, end)
        ]
        if self._chat and start == 0 and events:
            events[0] = events[0].replace(b'"delta":{', b'"delta":{"role":"assistant",', 1)
        return b"".join(events)

    def usage(self, *, cached: int) -> bytes:
        """Return the event with the reason of the end and the usage, and the one that ends."""
        part = (
            b'},"finish_reason":"length"}]'
            if self._chat
            else b'"text":"","finish_reason":"length"}]'
        )
        return self._head + part + b',"usage":' + encode(self._usage(cached)) + b"}\n\n" + END

    def whole(self, *, start: int, cached: int) -> Response:
        """Return the answer that is not streamed."""
        key = self._question.prompt.key
        text = "".join(
            output_token(key=key, index=index) for index in range(start, self._question.max_tokens)
        )
        choice = _Choice(index=0, text=text, finish_reason="length")
        if self._chat:
            message = {"role": "assistant", "content": text}
            choice = _Choice(index=0, message=message, finish_reason="length")
        return json_answer(
            _Answer(
                id=self._call,
                object="chat.completion" if self._chat else "text_completion",
                created=0,
                model=self._question.model,
                choices=[choice],
                usage=self._usage(cached),
            )
        )

    def crossed(self) -> "EventEncoder":
        """Return the encoder of a request that was never sent."""
        prompt = replace(self._question.prompt, key=self._question.prompt.key ^ 1)
        surface = Surface.CHAT if self._chat else Surface.COMPLETION
        question = replace(self._question, prompt=prompt)
        return EventEncoder(call=CallId(f"x{self._call}"), surface=surface, question=question)

    def _usage(self, cached: int) -> _Usage:
        prompt, output = self._question.prompt.tokens, self._question.max_tokens
        return _Usage(
            prompt_tokens=prompt,
            completion_tokens=output,
            total_tokens=prompt + output,
            prompt_tokens_details=_CachedTokens(cached_tokens=cached),
        )
