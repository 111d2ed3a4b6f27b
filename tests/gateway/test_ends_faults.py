"""A fault at any step of one request's handling: what its caller gets, and when."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from time import monotonic
from typing import Any

import pytest

from azureswitch.client import HttpAnswer
from azureswitch.exceptions import HttpBrokenError
from azureswitch.gateway import _handler, _notices, _outcomes, _relay, _shell
from azureswitch.logs import Entry
from azureswitch.metrics import Metrics
from azureswitch.paths import Dial
from azureswitch.platform import PlatformDialect
from azureswitch.serving import _attempts, _dispatch, _reduce
from tests.gateway.fixtures import Act, Bed, RecordingLog, model_headers, serve, whole_stream
from tests.gateway.test_gateway import run
from tests.waiting import reach

SOON_SECONDS = 2.0
"""Seconds in which a request ends that nothing holds up; its route's timeout is 5 s."""

ACTS = {"answered": Act.ANSWER, "refused": Act.REFUSE, "closed": Act.CLOSE}


@dataclass(slots=True, kw_only=True)
class Fault:
    """Fails at some of its calls.

    Attributes:
        times: Calls that fail.
        calls: Calls so far.
    """

    times: int
    calls: int = 0

    def due(self) -> None:
        """Fail, if it is time.

        Raises:
            RuntimeError: It is.
        """
        self.calls += 1
        if self.calls <= self.times:
            raise RuntimeError("a fault")

    def put(self, patch: pytest.MonkeyPatch, owner: object, name: str) -> None:
        """Let a function or method fail."""
        sound: Callable[..., Any] = getattr(owner, name)

        def faulty(*args: Any, **more: Any) -> Any:
            self.due()
            return sound(*args, **more)

        patch.setattr(owner, name, faulty)


class FaultyLog(RecordingLog):
    """A log that fails to write one sentence.

    Args:
        sentence: The sentence.
        fault: How often it fails.
    """

    def __init__(self, *, sentence: str, fault: Fault) -> None:
        super().__init__()
        self._sentence = sentence
        self._fault = fault

    def write(self, entry: Entry) -> None:
        """Record an entry, or fail."""
        if entry.sentence == self._sentence:
            self._fault.due()
        super().write(entry)


STEPS: dict[str, tuple[object, str]] = {
    "decoding the request": (PlatformDialect, "read"),
    "finding the service": (_handler, "pick_service"),
    "its fingerprint": (_handler, "fingerprint"),
    "submitting it": (_shell.Shell, "submit"),
    "the check on arrival": (_reduce, "refusal"),
    "admitting it": (_reduce, "admit"),
    "choosing a target": (_dispatch, "choose"),
    "starting the attempt": (_dispatch, "start_attempt"),
    "relaying it": (_relay.Relay, "run"),
    "the connection": (Dial, "connect"),
    "encoding what is sent": (PlatformDialect, "sending"),
    "decoding the answer's head": (PlatformDialect, "decode_answer"),
    "its notices": (_notices.TargetNotices, "handle_answer"),
    "the first event": (_reduce, "record_first_token"),
    "a completed attempt": (_attempts, "_complete"),
    "a failed attempt": (_attempts, "_failed"),
    "a retry": (_attempts, "retry"),
    "releasing an attempt": (_attempts, "release"),
    "ending the call": (_attempts, "finish"),
    "sending waiting calls": (_attempts, "drain_all"),
    "counting it": (Metrics, "count"),
    "measuring it": (Metrics, "observe"),
    "recording the outcome": (_outcomes.Outcomes, "record"),
}


async def ask(bed: Bed, path: str) -> HttpAnswer | None:
    """Send a request and return its answer, or None where it was broken off."""
    more = model_headers() if path in ("/ask/", "/once/") else ()
    try:
        return await bed.ask(path, headers=more)
    except HttpBrokenError:
        return None


class TestOneFault:
    """A fault at one step, once."""

    @pytest.mark.parametrize("act", ACTS.values(), ids=ACTS.keys())
    @pytest.mark.parametrize("step", STEPS.values(), ids=STEPS.keys())
    @pytest.mark.parametrize("path", ["/read/", "/ask/"])
    def test_answered(
        self, path: str, step: tuple[object, str], act: Act, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The caller gets one whole answer or failure, soon, and nothing stays open."""

        async def scenario() -> None:
            async with serve(acts=(act,), count=2) as bed:
                begun = monotonic()
                Fault(times=1).put(monkeypatch, *step)
                answer = await ask(bed, path)
                assert answer is not None
                if answer.head.status == HTTPStatus.OK:
                    assert answer.body == (whole_stream(5) if path == "/ask/" else b"whole r1")
                else:
                    assert answer.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
                await reach(lambda: not bed.gateway.shell.open_calls)
                assert monotonic() - begun < SOON_SECONDS

        run(scenario)


class TestLog:
    """A line that cannot be written, once."""

    @pytest.mark.parametrize(
        ("sentence", "act", "status"),
        [
            ("Request admitted.", Act.ANSWER, HTTPStatus.INTERNAL_SERVER_ERROR),
            ("Request answered.", Act.ANSWER, HTTPStatus.OK),
            ("Request failed.", Act.CLOSE, HTTPStatus.BAD_GATEWAY),
            ("Target leaves.", Act.ANSWER, HTTPStatus.OK),
        ],
    )
    def test_answered(self, sentence: str, act: Act, status: HTTPStatus) -> None:
        """The caller gets its answer or failure at once."""

        async def scenario() -> None:
            log = FaultyLog(sentence=sentence, fault=Fault(times=1))
            async with serve(acts=(act, act), log=log, count=2) as bed:
                bed.fleet.leaving.update(("s0", "s1") if sentence == "Target leaves." else ())
                begun = monotonic()
                answer = await ask(bed, "/read/")
                assert answer is not None
                assert answer.head.status == status
                await reach(lambda: not bed.gateway.shell.open_calls)
                assert monotonic() - begun < SOON_SECONDS

        run(scenario)

    def test_refused(self) -> None:
        """A refusal that cannot be logged has been sent."""

        async def scenario() -> None:
            log = FaultyLog(sentence="Request refused.", fault=Fault(times=1))
            async with serve(log=log) as bed:
                answer = await ask(bed, "/none/")
                assert answer is not None
                assert answer.head.status == HTTPStatus.NOT_FOUND

        run(scenario)
