"""The engines and plain targets of a run, on one virtual clock."""

from collections import Counter
from collections.abc import Callable
from math import inf, isfinite

from azureswitch.core import CallId, TargetName
from azureswitch_standins.engine import (
    EngineModel,
    EngineSettings,
    Failed,
    Finished,
    FirstToken,
    Output,
    SpanFailed,
    SpanReady,
)
from bench.policy._queue import EventQueue

Listener = Callable[[Output], None]


class VirtualEngine:
    """An engine model that wakes itself and passes on what comes out."""

    def __init__(self, *, settings: EngineSettings, queue: EventQueue) -> None:
        self._model = EngineModel(settings=settings)
        self._queue = queue
        self._armed = inf
        self._started = 1
        self._runs: dict[tuple[CallId, int], Listener] = {}
        self._fills: dict[str, Listener] = {}
        self._members: dict[object, Callable[[], None]] = {}
        self.submitted_at = 0.0

    @property
    def name(self) -> TargetName:
        """Its name."""
        return TargetName(self._model.settings.name)

    @property
    def model(self) -> EngineModel:
        """The model; `settle` must follow whatever changes it."""
        return self._model

    @property
    def alive(self) -> bool:
        """Whether it answers."""
        return self._model.alive

    def listen(self, call: CallId, attempt: int, listener: Listener) -> None:
        """Pass what comes out for an attempt to a listener until it ends."""
        self.submitted_at = self._queue.now
        self._runs[call, attempt] = listener

    def await_fill(self, holding: str, listener: Listener) -> None:
        """Pass the end of the work for a holding to a listener."""
        self._fills[holding] = listener

    def join(self, member: object, lost: Callable[[], None]) -> None:
        """Call ``lost`` if the engine dies before `part`."""
        self._members[member] = lost

    def part(self, member: object) -> None:
        """Forget a member."""
        self._members.pop(member, None)

    def settle(self) -> None:
        """Pass on what came out by now and wake when more will."""
        for output in self._model.advance(self._queue.now):
            self._pass_on(output)
        due = self._model.next_event_time()
        if isfinite(due) and due < self._armed:
            self._armed = due
            self._queue.at(due, self._wake, due)

    def die(self) -> None:
        """Lose everything."""
        self._model.die(now=self._queue.now)
        self.settle()
        members, self._members = self._members, {}
        for lost in members.values():
            lost()

    def revive(self) -> None:
        """Come back empty."""
        self._started += 1
        self._model.restart(now=self._queue.now, started=self._started)

    def _wake(self, due: float) -> None:
        if due == self._armed:
            self._armed = inf
        self.settle()

    def _pass_on(self, output: Output) -> None:
        listener: Listener | None = None
        if isinstance(output, FirstToken):
            listener = self._runs.get((output.call, output.attempt))
        elif isinstance(output, Finished | Failed):
            listener = self._runs.pop((output.call, output.attempt), None)
        elif isinstance(output, SpanReady | SpanFailed):
            listener = self._fills.pop(output.holding, None)
        if listener is not None:
            listener(output)


class PlainTargets:
    """The plain service, which counts what runs."""

    def __init__(self) -> None:
        self._runs: Counter[CallId] = Counter()

    @property
    def runs(self) -> Counter[CallId]:
        """Runs by call."""
        return self._runs

    def run(self, call: CallId) -> None:
        """Run a call."""
        self._runs[call] += 1
