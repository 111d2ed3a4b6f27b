"""Decoding of request bodies and events, with typed errors for invalid ones."""

from contextlib import suppress
from json import dumps

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureswitch.entry._answers import Recording, Relay
from azureswitch.entry._bodies import is_chat, read_completion
from azureswitch.entry._events import cached_tokens, skip_tokens, whole_answer
from azureswitch.exceptions import AnswerTooLargeError, MalformedBodyError, TargetAnswerError
from azureswitch.ports import Chunk, Surface
from azureswitch_standins.engine import chat_text, read_prompt

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=8,
)
FIELDS = ("model", "prompt", "messages", "max_tokens", "stream", "n", "role", "content")
BODIES = st.dictionaries(st.sampled_from(FIELDS), JSON).map(lambda body: dumps(body).encode())


def event(index: int) -> bytes:
    """Return the event of one token."""
    choice = {"index": 0, "text": f" {index}", "finish_reason": None}
    return b"data: " + dumps({"id": "a", "choices": [choice]}).encode() + b"\n\n"


END = (
    b'data: {"id":"a","choices":[{"index":0,"text":"","finish_reason":"stop"}],'
    b'"usage":{"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":512}}}\n\n'
    b"data: [DONE]\n\n"
)


class TestBodies:
    """`read_completion`."""

    @given(body=st.binary() | BODIES, surface=st.sampled_from(Surface))
    def test_anything(self, body: bytes, surface: Surface) -> None:
        """Any bytes are either decoded or rejected as malformed."""
        is_chat(body)
        with suppress(MalformedBodyError):
            assert read_completion(body, surface, scope="alder").prompt_tokens > 0

    @pytest.mark.parametrize("size", [1, 2_047, 2_048, 2_049, 10_000])
    def test_prefix(self, size: int) -> None:
        """Tokens and block hashes equal those of engines, and hashes differ between customers."""
        text = "é" * (size // 2) + "a"
        chat = {"model": "m", "messages": [{"role": "user", "content": text}]}
        items = list(range(size))
        for surface, body, prompt in (
            (Surface.COMPLETION, {"model": "m", "prompt": text}, text),
            (Surface.COMPLETION, {"model": "m", "prompt": items}, items),
            (Surface.CHAT, chat, chat_text(messages=[("user", text)])),
        ):
            read = read_completion(dumps(body).encode(), surface, scope="alder")
            other = read_completion(dumps(body).encode(), surface, scope="birch")
            engine = read_prompt(prompt=prompt, cache_scope="alder")
            assert (read.prompt_tokens, read.prefix) == (engine.tokens, tuple(engine.blocks))
            assert not set(read.prefix) & set(other.prefix)


class TestEvents:
    """Server-sent events of engines."""

    @pytest.mark.parametrize("count", range(5))
    def test_skipped(self, count: int) -> None:
        """Skipping removes whole tokens from the front, and never the final events."""
        data = b"".join(event(index) for index in range(4)) + END
        rest = b"".join(event(index) for index in range(count, 4)) + END
        assert skip_tokens(data, count) == rest

    def test_usage(self) -> None:
        """The cached tokens are those of the last event, or zero if it states none."""
        assert cached_tokens(event(1) + END) == 512
        assert cached_tokens(event(1)) == 0

    @given(data=st.binary().map(lambda data: b"data: " + data + b"\n\n"))
    def test_unreadable(self, data: bytes) -> None:
        """Events that cannot be decoded raise an error."""
        with suppress(TargetAnswerError):
            whole_answer(data, Surface.CHAT)

    def test_tool_calls(self) -> None:
        """The parts of a tool call are merged."""
        pieces = (
            {"index": 0, "id": "t", "function": {"name": "find", "arguments": '{"a"'}},
            {"index": 0, "function": {"arguments": ":1}"}},
        )
        data = b"".join(
            b"data: "
            + dumps({"choices": [{"index": 0, "delta": {"tool_calls": [piece]}}]}).encode()
            + b"\n\n"
            for piece in pieces
        )
        whole = whole_answer(data, Surface.CHAT)
        assert b'"arguments":"{\\"a\\":1}"' in whole
        assert whole.count(b'"find"') == 1


class TestAnswers:
    """Output is accepted from one attempt at a time, and only at the current offset."""

    @pytest.mark.parametrize(
        ("attempt", "offset", "taken"), [(1, 1, True), (1, 0, False), (1, 2, False), (2, 1, False)]
    )
    def test_crossed(self, attempt: int, offset: int, taken: bool) -> None:
        """Output of another attempt, or at another offset, is rejected."""
        answer = Recording(limit=1_000)
        chunk = Chunk(data=event(0), tokens=1, last=False)
        _run(answer.put(attempt=1, offset=0, chunk=chunk))
        assert _run(answer.put(attempt=attempt, offset=offset, chunk=chunk)) is taken
        answer.release(attempt=1)
        assert _run(answer.put(attempt=2, offset=1 + taken, chunk=chunk))

    def test_too_large(self) -> None:
        """A recording raises a typed error at its limit."""
        chunk = Chunk(data=event(0) * 9, tokens=9, last=False)
        with pytest.raises(AnswerTooLargeError):
            _run(Recording(limit=100).put(attempt=1, offset=0, chunk=chunk))

    def test_after_the_end(self) -> None:
        """Nothing is accepted after the end, and a complete answer cannot fail."""
        answer = Relay(limit=1_000)
        last = Chunk(data=END, tokens=0, last=True)
        assert _run(answer.put(attempt=1, offset=0, chunk=last))
        answer.finish(AnswerTooLargeError(limit=1))
        assert answer.error is None
        assert not _run(answer.put(attempt=1, offset=0, chunk=last))


def _run(work: object) -> object:
    """Run a coroutine that does not wait."""
    try:
        work.send(None)  # type: ignore[attr-defined]
    except StopIteration as ended:
        return ended.value
    raise AssertionError("It waits.")
