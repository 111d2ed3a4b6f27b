"""Cuts an engine's stream into runs of whole events and checks whose they are."""

import msgspec

from azureswitch.core import CallId, TargetName
from azureswitch.exceptions import TargetAnswerError, TargetBrokenError
from azureswitch.ports import Chunk

EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"data: [DONE]"
COMMENT = b":"


class _Usage(msgspec.Struct, frozen=True):
    """What the whole request took."""

    completion_tokens: int


class _Delta(msgspec.Struct, frozen=True):
    """The text of a chat event."""

    content: str | None = None


class _Choice(msgspec.Struct, frozen=True):
    """The text of an event."""

    text: str = ""
    delta: _Delta = _Delta()
    finish_reason: str | None = None

    @property
    def has_text(self) -> bool:
        """Whether there is any text."""
        return bool(self.text or self.delta.content)


class _Event(msgspec.Struct, frozen=True):
    """One event, as far as it is checked."""

    id: str = ""
    choices: tuple[_Choice, ...] = ()
    usage: _Usage | None = None
    tokens: int = 1
    error: object = None

    @property
    def output_tokens(self) -> int:
        """How many output tokens the event carries."""
        ends = any(choice.finish_reason for choice in self.choices)
        has_text = any(choice.has_text for choice in self.choices)
        return self.tokens if has_text or not (ends or self.usage) else 0


_DECODER = msgspec.json.Decoder(_Event)


class EventReader:
    """Reads the events of one attempt.

    Runs of plain token events are counted and checked by searching their bytes alone: the id, in
    the exact form in which JSON writes it, must occur as often as events end.  It cannot occur in a
    text, where JSON escapes the quotes.  Any other run is decoded event by event.
    """

    def __init__(self, *, target: TargetName, call: CallId, offset: int) -> None:
        self._target = target
        self._call = call
        self._offset = offset
        self._mark = b'"id":' + msgspec.json.encode(call)
        self._rest = b""
        self._tokens = 0
        self._used = False
        self._ended = False

    @property
    def tokens(self) -> int:
        """Output tokens that have arrived whole."""
        return self._tokens

    @property
    def ended(self) -> bool:
        """Whether the end of the stream has arrived, the whole answer before it."""
        return self._ended

    def feed(self, *, data: bytes) -> Chunk | None:
        """Take what arrived; return the whole events in it, or None.

        Raises:
            TargetAnswerError: An event is not of this request, cannot be read, or the count of
                tokens is not the one that the engine gives.
            TargetBrokenError: The engine reports a failure.
        """
        data = self._rest + data if self._rest else data
        cut = data.rfind(EVENT_END) + len(EVENT_END)
        if cut < len(EVENT_END):
            self._rest = data
            return None
        run = data if cut == len(data) else data[:cut]
        self._rest = data[cut:]
        tokens = self._count(run)
        self._tokens += tokens
        return Chunk(data=run, tokens=tokens, last=self._ended)

    def _count(self, run: bytes) -> int:
        events = run.count(EVENT_END)
        plain = run.count(self._mark) == events and not self._ended
        if plain and b'"usage":' not in run and b'"tokens":' not in run:
            return events
        tokens = 0
        for event in run.split(EVENT_END)[:-1]:
            tokens += self._read(event, self._tokens + tokens)
        return tokens

    def _read(self, event: bytes, before: int) -> int:
        if event.startswith(COMMENT):
            return 0
        if self._ended or not event.startswith(DATA):
            raise TargetAnswerError(target=self._target)
        if event == DONE:
            if not self._used:
                raise TargetAnswerError(target=self._target)
            self._ended = True
            return 0
        found = self._decode(event)
        tokens = found.output_tokens
        if found.usage is not None:
            self._check_usage(found.usage, before + tokens)
        return tokens

    def _decode(self, event: bytes) -> _Event:
        try:
            found = _DECODER.decode(event[len(DATA) :])
        except ValueError as error:
            raise TargetAnswerError(target=self._target) from error
        if found.error is not None:
            raise TargetBrokenError(target=self._target, tokens=self._tokens)
        if found.id != self._call:
            raise TargetAnswerError(target=self._target)
        return found

    def _check_usage(self, usage: _Usage, tokens: int) -> None:
        if usage.completion_tokens != self._offset + tokens:
            raise TargetAnswerError(target=self._target)
        self._used = True
