"""Faults after which a caller would wait in vain for its answer."""

import asyncio
from http import HTTPStatus
from time import monotonic
from typing import Any

import pytest

from azureswitch.client import HttpHead
from azureswitch.platform import PlatformDialect
from azureswitch.serving import AttemptEnded, ServingEvent, ServingState, _reduce
from tests.gateway.fixtures import Act, serve, whole_stream
from tests.gateway.test_ends_faults import SOON_SECONDS, Fault, FaultyLog, ask
from tests.gateway.test_gateway import run
from tests.waiting import reach


class TestLog:
    """A line about an attempt that cannot be written, once."""

    @pytest.mark.parametrize("sentence", ["Attempt sent.", "Attempt over."])
    @pytest.mark.parametrize("act", [Act.ANSWER, Act.REFUSE, Act.CLOSE])
    @pytest.mark.parametrize("path", ["/read/", "/book/", "/ask/"])
    def test_ended(self, path: str, act: Act, sentence: str) -> None:
        """The request ends at once, and not at its deadline."""

        async def scenario() -> None:
            log = FaultyLog(sentence=sentence, fault=Fault(times=1))
            async with serve(acts=(act,), log=log) as bed:
                begun = monotonic()
                answer = await ask(bed, path)
                assert answer is not None
                await reach(lambda: not bed.gateway.shell.open_calls)
                assert monotonic() - begun < SOON_SECONDS

        run(scenario)


class TestHead:
    """A head that cannot be encoded."""

    @pytest.mark.parametrize("path", ["/read/", "/ask/"])
    def test_second_attempt(self, path: str, monkeypatch: pytest.MonkeyPatch) -> None:
        """It counts as not begun: the answer of the next attempt is sent."""
        fault, sound = Fault(times=1), PlatformDialect.answer

        def answer(dialect: PlatformDialect, head: HttpHead) -> Any:
            try:
                fault.due()
            except RuntimeError:
                return (("x", "\u2603"),)
            return sound(dialect, head)

        monkeypatch.setattr(PlatformDialect, "answer", answer)

        async def scenario() -> None:
            async with serve() as bed:
                got = await ask(bed, path)
                assert got is not None
                assert got.head.status == HTTPStatus.OK

        run(scenario)


class TestEvents:
    """Events that could not be sent."""

    def test_not_counted(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The next attempt is not asked to go on behind them."""
        Fault(times=1).put(monkeypatch, PlatformDialect, "answer")

        async def scenario() -> None:
            async with serve() as bed:
                got = await ask(bed, "/ask/")
                assert got is not None
                assert (got.head.status, got.body) == (HTTPStatus.OK, whole_stream(5))

        run(scenario)


class TestLostEffects:
    """A step of the reducer that belongs to no request fails behind one that ends a request."""

    @pytest.mark.parametrize("path", ["/read/", "/book/"])
    def test_ended(self, path: str, monkeypatch: pytest.MonkeyPatch) -> None:
        """The request's caller gets its answer."""
        permits = _reduce.request_permits
        seen: list[ServingEvent] = []
        apply = _reduce._apply

        def note(event: ServingEvent, state: ServingState) -> Any:
            seen.append(event)
            return apply(event, state)

        def request_permits(state: ServingState, *, now: float) -> Any:
            if isinstance(seen[-1], AttemptEnded):
                raise RuntimeError
            return permits(state, now=now)

        monkeypatch.setattr(_reduce, "_apply", note)
        monkeypatch.setattr(_reduce, "request_permits", request_permits)

        async def scenario() -> None:
            async with serve(acts=(Act.CLOSE,) * 9) as bed:
                begun = monotonic()
                answer = await ask(bed, path)
                assert answer is not None
                assert monotonic() - begun < SOON_SECONDS

        run(scenario)


class TestDeadline:
    """A request that the reducer does not know of any more."""

    def test_answered(self) -> None:
        """Its caller is answered at the deadline."""

        async def scenario() -> None:
            async with serve(acts=(Act.HANG,)) as bed:
                asking = asyncio.create_task(ask(bed, "/read/"))
                await reach(lambda: bed.gateway.shell.open_calls == 1)
                bed.gateway.shell._state.calls.clear()
                answer = await asking
                assert answer is not None
                assert answer.head.status == HTTPStatus.GATEWAY_TIMEOUT
                assert not bed.gateway.shell.open_calls

        run(scenario)


class TestSilenceLog:
    """A line about a silence that cannot be written, once."""

    @pytest.mark.parametrize("sentence", ["Target silent.", "Target resumed."])
    def test_answer_goes_on(self, sentence: str) -> None:
        """The answer that has begun is completed by the same attempt."""

        async def scenario() -> None:
            log = FaultyLog(sentence=sentence, fault=Fault(times=1))
            async with serve(acts=(Act.PAUSE,), log=log, count=1) as bed:
                bed.fleet.silence = 1.6
                answer = await ask(bed, "/ask/")
                assert answer is not None
                assert answer.body == whole_stream(5)
                assert len(bed.fleet.runs) == 1
                await reach(lambda: not bed.gateway.shell.open_calls)

        run(scenario)
