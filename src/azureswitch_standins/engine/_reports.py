"""The load reports of an engine."""

from math import inf

from azureswitch.core import TargetName
from azureswitch.ports import LoadReport
from azureswitch_standins.engine._batch import Batch, Job
from azureswitch_standins.engine._memory import Memory
from azureswitch_standins.engine._orders import OrderedState
from azureswitch_standins.engine._queue import PriorityQueue
from azureswitch_standins.engine._settings import EngineSettings
from azureswitch_standins.engine._work import AttemptWork, SpanWork


class LoadReports:
    """Measures the load of an engine once an interval.

    Args:
        settings: The engine's settings.
        started: The engine's start.
        batch: The jobs that it works on.
        jobs: The work of each job in the batch.
        waiting: The attempts that wait.
        memory: Its memory.
        orders: Its models and role.
        next_time: When the first report is due.
    """

    def __init__(
        self,
        *,
        settings: EngineSettings,
        started: int,
        batch: Batch,
        jobs: dict[Job, AttemptWork | SpanWork],
        waiting: PriorityQueue[AttemptWork],
        memory: Memory,
        orders: OrderedState,
        next_time: float,
    ) -> None:
        self._settings = settings
        self._started = started
        self._batch = batch
        self._jobs = jobs
        self._waiting = waiting
        self._memory = memory
        self._orders = orders
        self._sequence = 0
        self._next_time = next_time
        self._last = self._measure()

    @property
    def last(self) -> LoadReport:
        """The last report."""
        return self._last

    @property
    def next_time(self) -> float:
        """When the next one is due."""
        return self._next_time

    def update(self, now: float) -> None:
        """Measure the load if a report is due."""
        if now < self._next_time:
            return
        interval = self._settings.report_interval
        self._next_time = now - now % interval + interval
        self._sequence += 1
        self._batch.settle(now)
        self._last = self._measure()

    def waiting_tokens(self, priority: float) -> int:
        """Return the prompt tokens to be prefilled of requests up to a priority."""
        waiting = sum(
            attempt.request.prompt.tokens
            for attempt in self._waiting
            if attempt.priority <= priority
        )
        return waiting + sum(job.waiting_tokens for job in self._jobs if job.priority <= priority)

    def _measure(self) -> LoadReport:
        return LoadReport(
            target=TargetName(self._settings.name),
            started=self._started,
            sequence=self._sequence,
            running=self._batch.sequences,
            waiting=len(self._waiting),
            waiting_tokens=self.waiting_tokens(inf),
            urgent_tokens=self.waiting_tokens(0),
            memory_used=self._memory.used,
            memory_total=self._settings.memory,
            models=self._orders.models,
            draining=self._orders.draining,
        )
