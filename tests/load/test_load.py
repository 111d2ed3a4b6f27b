"""The load tool draws the same calls again and finds each broken promise."""

import msgspec
import pytest
from msgspec.structs import replace

from azureswitch.client import HttpHead
from azureswitch_load import (
    Attempt,
    Caller,
    CallKind,
    End,
    Length,
    Outcome,
    Phase,
    PlannedCall,
    PlanSettings,
    Promise,
    Runs,
    check_engines,
    check_outcomes,
    check_runs,
    count_violations,
    draw,
    make_report,
    show_report,
)
from azureswitch_load._answers import read_answer
from azureswitch_load._bodies import body, prompt_of
from azureswitch_standins.engine import EngineCounters, expected_answer

CALLER = Caller(name="c", key="k")
SETTINGS = PlanSettings(callers=(CALLER, Caller(name="d", key="l", weight=3.0)), seconds=60.0)


def planned(kind: CallKind = CallKind.COMPLETION, *, streamed: bool = True) -> PlannedCall:
    """Return a call of two output tokens."""
    return PlannedCall(
        number=1,
        at=0.0,
        kind=kind,
        phase=Phase.MIXED,
        caller=CALLER,
        length=Length.SHORT if kind is CallKind.COMPLETION else None,
        prompt_tokens=500,
        output_tokens=2,
        streamed=streamed,
        timeout=9.0,
    )


def outcome(*, key: str = "", **fields: object) -> Outcome:
    """Return the outcome of a call with one request."""
    values = {"request": "r", "entry": "e", "end": End.WHOLE, "sent": 0.0, "timeout": 9.0}
    attempt = Attempt(**{**values, "seconds": 1.0, "first_token": 0.5, **fields})
    return Outcome(call=planned(), key=key, attempts=(attempt,))


def event(text: str, *, call: str = "r") -> str:
    """Return one event of a completion."""
    answer = {"id": call, "choices": [{"text": text}]}
    return f"data: {msgspec.json.encode(answer).decode()}\n\n"


class TestPlan:
    """Unit tests of `draw`."""

    def test_seeded(self) -> None:
        """The same seed draws the same calls and another one does not."""
        calls = draw(settings=SETTINGS)
        assert calls == draw(settings=SETTINGS)
        assert calls != draw(settings=replace(SETTINGS, seed=2))
        assert [call.number for call in calls] == list(range(1, len(calls) + 1))
        assert sorted(call.at for call in calls) == [call.at for call in calls]

    def test_mix(self) -> None:
        """Every length and kind occurs, in its bounds, and long prompts only after the start."""
        calls = draw(settings=SETTINGS)
        assert {call.kind for call in calls} == set(CallKind)
        for length in Length:
            own = [call for call in calls if call.length is length]
            assert own
            assert all(length.low <= call.prompt_tokens <= length.high for call in own)
        alone = {call.length for call in calls if call.at < SETTINGS.alone}
        assert alone == {None, Length.SHORT}

    def test_prompt_length(self) -> None:
        """A prompt has the length that the plan says."""
        call = planned()
        assert len(prompt_of(call, "s")) == 4 * call.prompt_tokens
        assert msgspec.json.decode(body(call=call, model="m", run="s"))["max_tokens"] == 2


class TestAnswers:
    """Unit tests of `read_answer`."""

    FIRST, SECOND = expected_answer(prompt_of(planned(), "s"), 2)
    WHOLE = event(FIRST) + event(SECOND) + "data: [DONE]\n\n"
    REFUSAL = '{"error":{"code":"no_target","ran":"not_run"}}'
    UNKNOWN = '{"error":{"code":"retries_exhausted","ran":"unknown"}}'

    @pytest.mark.parametrize(
        ("status", "answer", "end"),
        [
            (200, WHOLE, End.WHOLE),
            (200, event(FIRST) + "data: [DONE]\n\n", End.WRONG),
            (200, event(SECOND) + event(FIRST) + "data: [DONE]\n\n", End.WRONG),
            (200, event(FIRST) + event(SECOND, call="x") + "data: [DONE]\n\n", End.WRONG),
            (200, event(FIRST) + event(SECOND), End.BROKEN),
            (200, event(FIRST) + 'data: {"id', End.BROKEN),
            (200, "", End.BROKEN),
            (200, event(FIRST) + f"data: {UNKNOWN}\n\n", End.FAILED),
            (503, REFUSAL, End.REFUSED),
            (502, UNKNOWN, End.FAILED),
            (502, "<html>", End.BROKEN),
        ],
    )
    def test_streamed(self, status: int, answer: str, end: End) -> None:
        """An answer is whole only with every token of its own request, and failures are typed."""
        head = HttpHead(status=status, headers=(("x-request-id", "r"),))
        reading = read_answer(
            call=planned(), run="s", key="", path="", head=head, body=answer.encode()
        )
        assert reading.end is end

    @pytest.mark.parametrize(("key", "end"), [("k1", End.WHOLE), ("k2", End.WRONG)])
    def test_receipt(self, key: str, end: End) -> None:
        """A receipt of another booking is a wrong answer."""
        reading = read_answer(
            call=planned(CallKind.BOOKING),
            run="s",
            key="k1",
            path="/bookings",
            head=HttpHead(status=200, headers=()),
            body=msgspec.json.encode({"idempotency_key": key, "path": "/bookings"}),
        )
        assert reading.end is end


class TestPromises:
    """Unit tests of the checks."""

    @pytest.mark.parametrize(
        ("found", "runs", "promise"),
        [
            (outcome(), {"r": 1}, None),
            (outcome(end=End.REFUSED, ran="not_run"), {}, None),
            (outcome(key="k"), {"k": 1}, None),
            (outcome(key="k", end=End.FAILED, ran="unknown"), {}, None),
            (outcome(seconds=10.5), {}, Promise.IN_TIME),
            (outcome(end=End.WRONG), {}, Promise.WHOLE),
            (outcome(end=End.BROKEN), {}, Promise.WHOLE),
            (outcome(end=End.REFUSED, ran="not_run"), {"r": 1}, Promise.NOT_RUN),
            (outcome(key="k"), {"k": 2}, Promise.ONCE),
            (outcome(key="k"), {}, Promise.ONCE),
        ],
    )
    def test_calls(self, found: Outcome, runs: dict[str, int], promise: Promise | None) -> None:
        """Each broken promise is found, by what the stand-ins ran, and no other."""
        counted = Runs(by_request=runs, by_key=runs)
        violations = [
            *check_outcomes(outcomes=[found]),
            *check_runs(outcomes=[found], runs=counted),
        ]
        assert [violation.promise for violation in violations] == ([promise] if promise else [])
        counts = count_violations(violations=violations)
        assert set(counts) == {item.value for item in Promise}
        assert sum(counts.values()) == len(violations)

    @pytest.mark.parametrize(("used", "holdings", "count"), [(0, 0, 0), (9, 0, 1), (0, 1, 1)])
    def test_memory(self, used: int, holdings: int, count: int) -> None:
        """Memory that an idle engine still holds is found."""
        counters = EngineCounters(
            runs={},
            finished=0,
            failed=0,
            refused=0,
            tokens=0,
            running=0,
            memory_used=used,
            memory_total=100,
            holdings=holdings,
        )
        assert len(list(check_engines(engines={"e": counters}))) == count


class TestReport:
    """Unit tests of `make_report`."""

    def test_report(self) -> None:
        """Times run from a call's first request, and shares add up to one."""
        first = outcome(end=End.REFUSED, ran="not_run", code="no_target", first_token=None)
        again = outcome(sent=2.0)
        twice = Outcome(call=planned(), key="", attempts=(*first.attempts, *again.attempts))
        report = make_report(outcomes=[outcome(), twice])
        assert (report.calls, report.whole, report.retries) == (2, 2, 1)
        assert report.failures == {"no_target": 1}
        times = report.buckets[0].first_token
        assert (times.count, round(times.p50, 2), round(times.p95, 2)) == (2, 0.5, 2.5)
        assert sum(customer.share for customer in report.customers) == pytest.approx(1.0)
        assert any(line.split()[:3] == ["1k", "2", "2"] for line in show_report(report=report))
