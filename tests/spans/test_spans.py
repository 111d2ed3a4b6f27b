"""Tests of runs on several engines: all or nothing, every end, and runs that meet."""

from asyncio import (
    CancelledError,
    Future,
    TaskGroup,
    TimerHandle,
    create_task,
    get_running_loop,
    sleep,
)
from collections.abc import AsyncIterator, Awaitable, Callable
from http import HTTPStatus
from math import isfinite
from typing import cast

import pytest

from azureswitch.core import CallId, HostName, Incarnation, TargetName
from azureswitch.exceptions import (
    AzureswitchError,
    DeadlineExceededError,
    TargetBrokenError,
    TargetRefusedError,
    TargetRejectedError,
)
from azureswitch.ports import Chunk, Engine, EngineRequest, Holding, HoldingKind, Surface
from azureswitch.spans import HOLD_LIMIT, HOLD_LONGEST, SpanRun, divide
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.engine import (
    EngineError,
    EngineModel,
    EngineSettings,
    Failed,
    Finished,
    Output,
    Prompt,
    RunRequest,
    SpanFailed,
    SpanReady,
)

MEMORY = 100_000
OUTPUT = 20
NAMES = tuple(TargetName(f"engine-{letter}") for letter in "abcd")


OTHER = Holding(
    id="other",
    kind=HoldingKind.RESERVATION,
    call=CallId("other"),
    attempt=1,
    owner=Incarnation(host=HostName("host"), started=1),
    tokens=MEMORY // 2,
)


class EnginePort:
    """A stand-in engine in virtual time.

    Attributes:
        broken: The names of calls that fail, as often as they stand here.
        losing: The name of a call before which all holdings are lost.
    """

    def __init__(self, *, name: TargetName, exports: dict[str, "EnginePort"]) -> None:
        self.model = EngineModel(settings=EngineSettings(name=name, memory=MEMORY))
        self.broken: list[str] = []
        self.losing = ""
        self._name = name
        self._exports = exports
        self._waiters: dict[str, Future[Output]] = {}
        self._timer: TimerHandle | None = None

    async def reserve(self, *, holding: Holding) -> None:
        """Hold memory."""
        self._act("reserve", lambda now: self.model.reserve(now=now, holding=holding))

    async def prefill(self, *, holding: Holding, request: EngineRequest, start: int) -> None:
        """Prefill a span."""
        await self._work(
            "prefill",
            lambda now: self.model.prefill(
                now=now, holding=holding, prompt=prompt(request), start=start, priority=0
            ),
            key=holding.id,
        )

    async def export(self, *, holding: Holding) -> str:
        """Let others read a span."""
        self._act("export", lambda now: self.model.export(now=now, holding=holding))
        self._exports[holding.id] = self
        return holding.id

    async def fetch(self, *, holding: Holding, source: str) -> None:
        """Link a span."""
        exporter = self._exports[source].model
        await self._work(
            "fetch",
            lambda now: self.model.fetch(
                now=now, holding=holding, span=exporter.exported(holding=source)
            ),
            key=holding.id,
        )

    async def release(self, *, holding: str) -> None:
        """Free a holding."""
        self._act("release", lambda now: self.model.release(now=now, holding=holding))

    async def holdings(self) -> tuple[Holding, ...]:
        """Return what is held."""
        return self.model.holdings

    async def cancel(self, *, call: CallId, attempt: int) -> None:
        """Stop an attempt."""
        self._act("cancel", lambda now: self.model.cancel(now=now, call=call, attempt=attempt))

    async def stream(self, *, request: EngineRequest) -> AsyncIterator[Chunk]:
        """Run a request; its output comes in one piece."""
        run = RunRequest(
            call=request.call,
            attempt=request.attempt,
            owner=request.owner,
            model="base",
            prompt=prompt(request),
            max_tokens=OUTPUT,
        )
        await self._work(
            "stream",
            lambda now: self.model.submit(now=now, request=run),
            key=f"{request.call}/{request.attempt}",
        )
        yield Chunk(data=b"", tokens=OUTPUT, last=True)

    def die(self) -> None:
        """Lose everything."""
        self.model.die(now=self._now)
        self._turn()

    @property
    def _now(self) -> float:
        # A timer may fire a rounding error early.
        return get_running_loop().time() + 1e-6

    def _act(self, name: str, act: Callable[[float], object]) -> None:
        if name in self.broken:
            self.broken.remove(name)
            raise TargetBrokenError(target=self._name)
        if name in self.losing:
            for holding in self.model.holdings:
                self.model.release(now=self._now, holding=holding.id)
        if not self.model.alive:
            raise TargetRefusedError(target=self._name)
        try:
            act(self._now)
        except EngineError as error:
            if error.status is HTTPStatus.SERVICE_UNAVAILABLE:
                raise TargetRefusedError(target=self._name) from error
            raise TargetRejectedError(target_status=error.status, detail=error.type) from error
        finally:
            self._turn()

    async def _work(self, name: str, act: Callable[[float], object], *, key: str) -> None:
        waiter: Future[Output] = get_running_loop().create_future()
        self._waiters[key] = waiter
        self._act(name, act)
        output = await waiter
        if isinstance(output, SpanFailed) and self.model.alive:
            raise TargetRejectedError(target_status=HTTPStatus.CONFLICT, detail="stopped")
        if isinstance(output, SpanFailed | Failed):
            raise TargetBrokenError(target=self._name)

    def _turn(self) -> None:
        for output in self.model.advance(self._now):
            key = f"{output.call}/{output.attempt}"
            if isinstance(output, SpanReady | SpanFailed):
                key = output.holding
            waiter = self._waiters.get(key)
            if waiter is not None and isinstance(
                output, SpanReady | SpanFailed | Finished | Failed
            ):
                del self._waiters[key]
                if not waiter.done():
                    waiter.set_result(output)
        if self._timer is not None:
            self._timer.cancel()
        due = self.model.next_event_time()
        if isfinite(due):
            self._timer = get_running_loop().call_at(due, self._turn)


def prompt(request: EngineRequest) -> Prompt:
    """Return the prompt of a request; its body is its length."""
    return Prompt(tokens=int(request.body), key=1)


def spans_request(
    *, call: str, tokens: int, timeout: float = 600.0, attempt: int = 1
) -> EngineRequest:
    """Return a request whose prompt has so many tokens."""
    return EngineRequest(
        call=CallId(call),
        attempt=attempt,
        owner=Incarnation(host=HostName("host"), started=1),
        surface=Surface.COMPLETION,
        body=b"%d" % tokens,
        cache_scope="",
        priority=0,
        timeout=timeout,
    )


class Bed:
    """Four engines."""

    def __init__(self) -> None:
        exports: dict[str, EnginePort] = {}
        self.engines = {name: EnginePort(name=name, exports=exports) for name in NAMES}

    def run(
        self,
        call: str,
        *names: TargetName,
        tokens: int | None = None,
        timeout: float = 600.0,
        attempt: int = 1,
    ) -> SpanRun:
        """Make a run on some engines, by default one that fills most of each."""
        tokens = tokens or len(names) * MEMORY * 8 // 10
        return SpanRun(
            engines={name: cast(Engine, self.engines[name]) for name in names},
            request=spans_request(call=call, tokens=tokens, timeout=timeout, attempt=attempt),
            prompt_tokens=tokens,
            output_tokens=OUTPUT,
            seed=attempt + (int(call) if call.isdigit() else 0),
        )

    @property
    def used(self) -> int:
        """Tokens in use at all engines."""
        return sum(engine.model.memory_used for engine in self.engines.values())


async def finish(run: SpanRun) -> AzureswitchError | None:
    """Read a run to its end and release it; return how it failed."""
    failure = None
    try:
        async for chunk in run.stream():
            assert chunk.tokens == OUTPUT
    except AzureswitchError as error:
        failure = error
    finally:
        await run.release()
    return failure


def play(script: Callable[[Bed], Awaitable[None]]) -> None:
    """Run a script on fresh engines in virtual time."""

    async def main() -> None:
        await script(Bed())

    run_virtual(main())


class TestDivide:
    """How a prompt is cut."""

    @pytest.mark.parametrize("count", [2, 3, 7])
    @pytest.mark.parametrize(("tokens", "output"), [(1_000_000, 100), (1_001, 1), (900, 5_000)])
    def test_spans_cover_the_prompt_once(self, tokens: int, output: int, count: int) -> None:
        """Spans follow each other without gap, and the last has room for the output."""
        targets = tuple(TargetName(f"e{at}") for at in range(count))
        request = spans_request(call="c", tokens=tokens)
        members = divide(
            targets=targets, request=request, prompt_tokens=tokens, output_tokens=output
        )
        assert [m.start for m in members[1:]] == [m.start + m.holding.tokens for m in members[:-1]]
        assert members[-1].start < tokens
        assert members[-1].start + members[-1].holding.tokens == tokens + output


class TestEnds:
    """Whatever happens, nothing stays held."""

    @pytest.mark.parametrize("names", [NAMES[:2], NAMES[2::-1], NAMES], ids=["2", "3 back", "4"])
    def test_whole_answer_leaves_nothing_held(self, names: tuple[TargetName, ...]) -> None:
        """A prompt of several engines' memory is answered, and all memory is free."""

        async def script(bed: Bed) -> None:
            assert await finish(bed.run("call", *names)) is None
            assert bed.used == 0

        play(script)

    @pytest.mark.parametrize("step", ["reserve", "prefill", "export", "fetch", "stream"])
    @pytest.mark.parametrize("lost_releases", [0, 2])
    def test_failed_step_leaves_nothing_held(self, step: str, lost_releases: int) -> None:
        """A step that breaks ends the run with its failure, also where releases are lost."""

        async def script(bed: Bed) -> None:
            for engine in bed.engines.values():
                engine.broken = [step, *["release"] * lost_releases]
            assert isinstance(await finish(bed.run("call", *NAMES)), TargetBrokenError)
            assert bed.used == 0

        play(script)

    @pytest.mark.parametrize("step", ["prefill", "export", "fetch", "stream"])
    def test_lost_memory_is_no_fault_of_the_request(self, step: str) -> None:
        """A run whose memory was released by others may be tried again."""

        async def script(bed: Bed) -> None:
            for engine in bed.engines.values():
                engine.losing = step
            assert isinstance(await finish(bed.run("call", *NAMES)), TargetRefusedError)
            assert bed.used == 0

        play(script)

    def test_wrong_request_is_rejected(self) -> None:
        """A prompt that is longer than was planned for is said to be wrong."""

        async def script(bed: Bed) -> None:
            run = bed.run("call", *NAMES[:2], tokens=MEMORY)
            run._request = spans_request(call="call", tokens=3 * MEMORY)
            assert isinstance(await finish(run), TargetRejectedError)
            assert bed.used == 0

        play(script)

    @pytest.mark.parametrize("victim", [0, 3], ids=["first", "last"])
    @pytest.mark.parametrize("seconds", [0.05, 3.0, 12.0])
    def test_dead_engine_leaves_nothing_held(self, victim: int, seconds: float) -> None:
        """An engine that dies in any phase ends the run at the others."""

        async def script(bed: Bed) -> None:
            task = create_task(finish(bed.run("call", *NAMES)))
            await sleep(seconds)
            bed.engines[NAMES[victim]].die()
            await task
            assert bed.used == 0

        play(script)

    @pytest.mark.parametrize("seconds", [0.0, 0.3, 3.0, 12.0, 17.0])
    def test_cancelled_run_leaves_nothing_held(self, seconds: float) -> None:
        """A caller that leaves in any phase frees everything."""

        async def script(bed: Bed) -> None:
            task = create_task(finish(bed.run("call", *NAMES)))
            await sleep(seconds)
            task.cancel()
            with pytest.raises(CancelledError):
                await task
            assert bed.used == 0

        play(script)

    def test_request_out_of_time_ends(self) -> None:
        """A run whose time is over between two steps fails with that."""

        async def script(bed: Bed) -> None:
            assert isinstance(
                await finish(bed.run("call", *NAMES, timeout=5.0)), DeadlineExceededError
            )
            assert bed.used == 0

        play(script)

    @pytest.mark.parametrize(("attempt", "limit"), [(1, HOLD_LIMIT), (5_000, HOLD_LONGEST)])
    def test_refused_reservation_is_waited_for_not_for_long(
        self, attempt: int, limit: float
    ) -> None:
        """A run without room holds what it has for a while, and then nothing."""

        async def script(bed: Bed) -> None:
            await bed.engines[NAMES[1]].reserve(holding=OTHER)
            start = get_running_loop().time()
            failure = await finish(bed.run("call", NAMES[0], NAMES[1], attempt=attempt))
            assert isinstance(failure, TargetRefusedError)
            assert limit <= get_running_loop().time() - start < limit + 1.0
            assert bed.used == OTHER.tokens

        play(script)


class TestMeetings:
    """Runs that reach for overlapping sets."""

    @staticmethod
    async def _repeat(
        bed: Bed, who: str, names: tuple[TargetName, ...], *, seconds: float
    ) -> list[float]:
        """Run again and again, back after a refusal as the serving reducer is; return waits."""
        waits, attempt, start = [], 0, get_running_loop().time()
        since = start
        while get_running_loop().time() < start + seconds:
            attempt += 1
            call = f"{who}{len(waits):04d}00"
            run = bed.run(call, *names, tokens=len(names) * MEMORY * 6 // 10, attempt=attempt)
            if await finish(run) is None:
                waits.append(get_running_loop().time() - since)
                since, attempt = get_running_loop().time(), 0
            else:
                await sleep(0.5)
        return waits

    @pytest.mark.parametrize(
        "sets",
        [
            (NAMES[:2], NAMES[1::-1]),
            (NAMES[:2], NAMES[1:3]),
            (NAMES[:2], NAMES[1:3], NAMES[2:], (NAMES[3], NAMES[0])),
            (NAMES, NAMES[:2], NAMES[2:]),
        ],
        ids=["opposite", "chain", "ring", "one against two"],
    )
    def test_runs_neither_deadlock_nor_starve(
        self, sets: tuple[tuple[TargetName, ...], ...]
    ) -> None:
        """All of them get through again and again, none waits for long."""

        async def script(bed: Bed) -> None:
            async with TaskGroup() as group:
                tasks = [
                    group.create_task(self._repeat(bed, str(at), names, seconds=600.0))
                    for at, names in enumerate(sets, 1)
                ]
            waits = [task.result() for task in tasks]
            assert bed.used == 0
            assert min(len(of_one) for of_one in waits) >= 8
            assert max(max(of_one) for of_one in waits) <= 90.0

        play(script)
