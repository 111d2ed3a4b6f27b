"""The engine's core in virtual time."""

from itertools import pairwise
from random import Random

import pytest

from azureswitch.core import CallId, HostName, Incarnation
from azureswitch.ports import Holding, HoldingKind, Order, OrderKind
from azureswitch_standins.engine import (
    BLOCK_TOKENS,
    CostModel,
    EngineError,
    EngineModel,
    EngineSettings,
    Failed,
    Finished,
    FirstToken,
    Prompt,
    RunRequest,
    SpanReady,
    expected_answer,
)

OWNER = Incarnation(host=HostName("h1"), started=1)
COST = CostModel()


def make(**settings):
    """Return an engine."""
    return EngineModel(settings=EngineSettings(name="e1", **settings))


def family_blocks(family, tokens):
    """Return the block hashes of a prompt of a family."""
    return tuple(ord(family) * 1_000 + index for index in range(tokens // BLOCK_TOKENS))


def run(call, *, tokens=1_000, output=10, attempt=1, family=None, **fields):
    """Return a request; those of one family share their prompt's beginning."""
    blocks = family_blocks(family, tokens) if family else ()
    return RunRequest(
        call=CallId(call),
        attempt=attempt,
        owner=OWNER,
        model=fields.pop("model", "base"),
        prompt=Prompt(tokens=tokens, key=1, blocks=blocks),
        max_tokens=output,
        **fields,
    )


def held(id, *, tokens, kind=HoldingKind.RESERVATION, call="big"):
    """Return a holding of the first attempt at a call."""
    return Holding(id=id, kind=kind, call=CallId(call), attempt=1, owner=OWNER, tokens=tokens)


def times(outputs, kind):
    """Return when outputs of a kind came, by call."""
    return {output.call: output.at for output in outputs if isinstance(output, kind)}


def workload(seed):
    """Return arrivals with cancels among them, heavy enough that requests wait."""
    random = Random(seed)
    now = 0.0
    for index in range(300):
        now += random.expovariate(12)
        long = random.random() < 0.05
        tokens = random.randint(20_000, 90_000) if long else random.randint(10, 4_000)
        fields = {"priority": int(long), "family": random.choice((None, "a", "b"))}
        fields["timeout"] = random.choice((None, None, 3.0))
        fields["output"] = random.randint(1, 200)
        yield now, run(f"c{index}", tokens=tokens, **fields), random.random() < 0.1


def play(engine, *, seed, looks):
    """Run a workload, looking at the engine ``looks`` times between arrivals."""
    outputs, last = [], 0.0
    for now, request, cancelled in workload(seed):
        for look in range(1, looks):
            outputs += engine.advance(last + (now - last) * look / looks)
        engine.submit(now=now, request=request)
        if cancelled:
            engine.cancel(now=now + 0.001, call=request.call, attempt=1)
        used = engine.memory_used
        assert 0 <= used <= engine.settings.memory
        last = now + 0.001
    return outputs + engine.advance(10_000.0)


class TestBatch:
    """Continuous batching and its cost."""

    @pytest.mark.parametrize(("tokens", "output"), [(100, 1), (1_000, 50), (200_000, 3)])
    def test_alone(self, tokens, output):
        """A request alone takes what the cost model says."""
        engine = make()
        engine.submit(now=1.0, request=run("c", tokens=tokens, output=output))
        outputs = engine.advance(1_000.0)
        first, last = times(outputs, FirstToken)["c"] - 1, times(outputs, Finished)["c"] - 1
        assert first == pytest.approx(COST.isolated_first_token(prompt=tokens))
        assert last == pytest.approx(COST.isolated_seconds(prompt=tokens, output=output))

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_looking_changes_nothing(self, seed):
        """What comes out does not depend on when the engine is looked at, and all ends once."""
        plain = play(make(memory=100_000), seed=seed, looks=1)
        looked = play(make(memory=100_000), seed=seed, looks=7)
        assert [type(output) for output in plain] == [type(output) for output in looked]
        for one, other in zip(plain, looked, strict=True):
            assert one.at == pytest.approx(other.at)
        ends = [output.call for output in plain if isinstance(output, Finished | Failed)]
        assert sorted(ends) == sorted(request.call for _, request, _ in workload(seed))

    def test_progress_between(self):
        """Tokens are there step by step inside a stride."""
        engine = make()
        engine.submit(now=0.0, request=run("c", output=100))
        seen = []
        for step in range(150):
            engine.advance(step * 0.01)
            if engine.attempts:
                seen.append(engine.produced(now=step * 0.01, call="c", attempt=1))
        assert max(after - before for before, after in pairwise(seen)) == 1
        assert seen[0] == 0
        assert seen[-1] > 50

    def test_urgent_overtakes_long_prefill(self):
        """A short prompt waits for a chunk of a long one and not for all of it."""
        engine = make()
        engine.submit(now=0.0, request=run("long", tokens=300_000, priority=5))
        engine.submit(now=1.0, request=run("short", tokens=1_000))
        first = times(engine.advance(1_000.0), FirstToken)
        alone = COST.isolated_first_token(prompt=1_000)
        assert first["short"] - 1.0 <= alone + 2 * COST.chunk
        assert first["long"] > 15.0

    def test_prioritize(self):
        """A changed priority counts for requests that prefill and for those that wait."""
        engine = make(sequences=2)
        for call in ("a", "b", "c"):
            engine.submit(now=0.0, request=run(call, tokens=100_000, priority=3))
        engine.prioritize(now=0.1, call=CallId("b"), attempt=1, priority=1)
        first = times(engine.advance(1_000.0), FirstToken)
        assert first["b"] < first["a"] < first["c"]

    def test_stall(self):
        """A stalled engine goes on where it was."""
        engine = make()
        engine.submit(now=0.0, request=run("c", tokens=20_000, output=1))
        engine.stall(now=0.5, seconds=4.0)
        alone = COST.isolated_first_token(prompt=20_000)
        assert times(engine.advance(100.0), Finished)["c"] == pytest.approx(alone + 4.0)

    def test_resume(self):
        """A resumed request produces the rest only."""
        engine = make()
        engine.submit(now=0.0, request=run("c", output=100, resume_from=90))
        last = times(engine.advance(100.0), Finished)["c"]
        assert last == pytest.approx(
            COST.isolated_first_token(prompt=1_090)
            + 9 * COST.decode_seconds(sequences=1, context=1_090)
        )


class TestMemory:
    """KV memory, the prefix cache and what is refused."""

    @pytest.mark.parametrize("end", ["finish", "cancel", "timeout", "die", "cancel_waiting"])
    def test_returned_on_any_end(self, end):
        """Every end of a request frees its memory."""
        engine = make(sequences=1 if end == "cancel_waiting" else 64)
        engine.submit(now=0.0, request=run("a", tokens=50_000, output=50, family="a", timeout=9.0))
        engine.submit(now=0.0, request=run("b", tokens=50_000, output=500, timeout=1.0))
        if end.startswith("cancel"):
            engine.cancel(now=1.5, call=CallId("a"), attempt=1)
            engine.cancel(now=1.5, call=CallId("b"), attempt=1)
        if end == "die":
            engine.die(now=1.5)
        ends = [o.call for o in engine.advance(99.0) if isinstance(o, Finished | Failed)]
        assert sorted(ends) == ["a", "b"]
        assert engine.memory_used == 0

    @pytest.mark.parametrize(
        ("first", "second", "hit"), [("a", "a", True), ("a", "b", False), (None, "a", False)]
    )
    def test_prefix_cache(self, first, second, hit):
        """A prompt that begins like an earlier one of its scope is prefilled from there on."""
        engine = make()
        engine.submit(now=0.0, request=run("1", tokens=40_000, family=first))
        engine.submit(now=50.0, request=run("2", tokens=40_100, family=second))
        outputs = engine.advance(99.0)
        cached = [output.cached_tokens for output in outputs if isinstance(output, Finished)]
        assert cached == [0, 40_000 // BLOCK_TOKENS * BLOCK_TOKENS if hit else 0]
        assert (times(outputs, FirstToken)["2"] < 50.1) == hit

    def test_eviction(self):
        """The least recently used blocks go first, and the cache never takes a request's room."""
        engine = make(memory=100_000, cache_gap=0.0)
        for index, family in enumerate("abac"):
            request = run(f"{index}", tokens=40_000, family=family)
            engine.submit(now=index * 50.0, request=request)
        engine.advance(200.0)
        removed = engine.cache(now=300.0, after=0).removed
        assert removed
        assert set(removed) <= set(family_blocks("b", 40_000))

    @pytest.mark.parametrize(
        ("request_", "type_"),
        [
            (run("c", model="other"), "model_not_found"),
            (run("c", tokens=99_999, output=2), "context_length_exceeded"),
            (run("running"), "attempt_exists"),
            (run("cancelled"), "attempt_exists"),
            (run("ended"), "attempt_exists"),
            (run("c"), "queue_full"),
        ],
    )
    def test_refused(self, request_, type_):
        """What cannot run is refused by a type of its own, and holds nothing."""
        engine = make(memory=100_000, sequences=1, queue=1 if type_ == "queue_full" else 9)
        engine.cancel(now=0.0, call=CallId("cancelled"), attempt=1)
        engine.submit(now=0.0, request=run("ended", output=1))
        engine.submit(now=1.0, request=run("running", output=1_000))
        engine.submit(now=1.0, request=run("waiting"))
        with pytest.raises(EngineError) as caught:
            engine.submit(now=2.0, request=request_)
        assert caught.value.type == type_
        assert engine.memory_used == 2_000

    def test_reservation(self):
        """Reserving is all or nothing, idempotent, and final once released."""
        engine = make(memory=100_000)
        holding = held("r", tokens=60_000)
        engine.reserve(now=0.0, holding=holding)
        engine.reserve(now=0.0, holding=holding)
        for refused in (held("s", tokens=50_000), held("r", tokens=1)):
            with pytest.raises(EngineError):
                engine.reserve(now=0.0, holding=refused)
        assert engine.memory_used == 60_000
        engine.release(now=1.0, holding="r")
        engine.release(now=1.0, holding="r")
        assert engine.memory_used == 0
        with pytest.raises(EngineError):
            engine.reserve(now=2.0, holding=holding)

    def test_prompt_over_two_engines(self):
        """A prompt of nearly twice an engine's memory runs over two and all memory comes back."""
        first, last = make(memory=100_000), make(memory=100_000)
        request = run("big", tokens=180_000, output=20)
        one, two = held("1", tokens=95_000), held("2", tokens=85_020)
        first.reserve(now=0.0, holding=one)
        last.reserve(now=0.0, holding=two)
        with pytest.raises(EngineError):
            last.prefill(now=0.0, holding=two, prompt=request.prompt, start=95_000, priority=1)
        first.prefill(now=0.0, holding=one, prompt=request.prompt, start=0, priority=1)
        with pytest.raises(EngineError):
            first.export(now=0.0, holding=one)
        ready = times(first.advance(60.0), SpanReady)["big"]
        assert ready == pytest.approx(COST.prefill_seconds(start=0, end=95_000))
        span = first.export(now=60.0, holding=one)
        last.fetch(now=60.0, holding=held("3", tokens=0, kind=HoldingKind.IMPORT), span=span)
        last.submit(now=60.0, request=request)
        outputs = last.advance(200.0)
        rest = COST.prefill_seconds(start=95_000, end=180_000)
        assert times(outputs, FirstToken)["big"] - 60 == pytest.approx(rest, rel=0.1)
        assert "big" in times(outputs, Finished)
        for engine, ids in ((first, ("1",)), (last, ("2", "3"))):
            for id_ in ids:
                engine.release(now=200.0, holding=id_)
            assert engine.memory_used == 0


class TestReports:
    """Load reports, cache events and orders."""

    def test_load_lags(self):
        """A report shows the engine as it was at its last interval."""
        engine = make(report_interval=1.0)
        engine.submit(now=0.5, request=run("c", tokens=90_000))
        assert engine.load(now=0.9).running == 0
        report = engine.load(now=1.1)
        assert (report.running, report.memory_used) == (1, 90_010)
        assert 60_000 < report.waiting_tokens < 90_000

    @pytest.mark.parametrize("gap", [0.0, 0.3])
    def test_cache_events(self, gap):
        """Cache events come late, and a gap in them is told."""
        engine = make(cache_lag=2.0, cache_gap=gap)
        request = run("c", tokens=40_000, output=1, family="a")
        engine.submit(now=0.0, request=request)
        assert engine.cache(now=3.9, after=0).added == ()
        events = engine.cache(now=9.0, after=0)
        assert events.complete == (not gap)
        assert set(events.added) <= set(request.prompt.blocks)
        assert (len(events.added) == len(request.prompt.blocks)) == (not gap)

    @pytest.mark.parametrize(("checks", "value"), [(True, "new"), (False, "old")])
    def test_fencing(self, checks, value):
        """An old fencing number is refused where the engine checks, and obeyed where not."""
        engine = make(checks_fence=checks)
        for fence, role in ((7, "new"), (3, "old")):
            order = Order(kind=OrderKind.ROLE, value=role, present=True, fence=fence)
            if checks and fence == 3:
                with pytest.raises(EngineError) as caught:
                    engine.order(now=0.0, order=order)
                assert (caught.value.fence, caught.value.newest) == (3, 7)
            else:
                engine.order(now=0.0, order=order)
        assert engine.state(now=1.0).role == value

    def test_loading_takes_time(self):
        """A model can be used once it is loaded, by its name without version too."""
        engine = make(load_seconds=3.0)
        order = Order(kind=OrderKind.MODEL, value="pool@2", present=True, fence=1)
        engine.order(now=0.0, order=order)
        with pytest.raises(EngineError):
            engine.submit(now=2.9, request=run("c", model="pool"))
        engine.submit(now=3.1, request=run("c", model="pool"))
        assert engine.state(now=3.1).models == ("base", "pool@2")


def test_expected_answer():
    """An answer is a function of prompt and index, and prompts differ in theirs."""
    answers = [expected_answer(prompt, 50) for prompt in ("a", "b", [1, 2], [2, 1])]
    assert expected_answer("a", 10) == answers[0][:10]
    assert len({answer[7] for answer in answers}) == 4
