"""The attempts of an engine, from the queue to their ends."""

from azureswitch_standins.engine._batch import Batch, Job
from azureswitch_standins.engine._errors import AttemptExistsError
from azureswitch_standins.engine._memory import Memory
from azureswitch_standins.engine._outputs import (
    Failed,
    Failure,
    Finished,
    FirstToken,
    Output,
    RunRequest,
)
from azureswitch_standins.engine._queue import PriorityQueue
from azureswitch_standins.engine._recent import RecentSet
from azureswitch_standins.engine._settings import EngineSettings
from azureswitch_standins.engine._work import AttemptWork, Key, SpanWork

_ENDED_LIMIT = 4_096
"""Ended and cancelled attempts that are remembered, so that one that comes late does not run."""


class Attempts:
    """The attempts that wait or run.

    Args:
        settings: The engine's settings.
        memory: Allocates the memory of attempts.
        batch: Takes the jobs of attempts that run.
        jobs: The work of each job in the batch.
        outputs: Takes what comes out.
    """

    def __init__(
        self,
        *,
        settings: EngineSettings,
        memory: Memory,
        batch: Batch,
        jobs: dict[Job, AttemptWork | SpanWork],
        outputs: list[Output],
    ) -> None:
        self._settings = settings
        self._memory = memory
        self._batch = batch
        self._jobs = jobs
        self._outputs = outputs
        self._attempts: dict[Key, AttemptWork] = {}
        self._waiting: PriorityQueue[AttemptWork] = PriorityQueue()
        self._ended: RecentSet[Key] = RecentSet(limit=_ENDED_LIMIT)

    @property
    def keys(self) -> tuple[Key, ...]:
        """The calls and numbers of the attempts."""
        return tuple(self._attempts)

    @property
    def all(self) -> tuple[AttemptWork, ...]:
        """The attempts that wait or run."""
        return tuple(self._attempts.values())

    @property
    def waiting(self) -> PriorityQueue[AttemptWork]:
        """The attempts that wait."""
        return self._waiting

    def find(self, key: Key) -> AttemptWork | None:
        """Return an attempt that waits or runs, if it is there."""
        return self._attempts.get(key)

    def check_new(self, key: Key) -> None:
        """Check that an attempt has neither been accepted nor cancelled before.

        Raises:
            AttemptExistsError: It has.
        """
        if key in self._attempts or key in self._ended:
            raise AttemptExistsError()

    def add(self, *, request: RunRequest, order: int, reserved: bool) -> AttemptWork:
        """Add an attempt to the queue."""
        attempt = AttemptWork(
            request=request, priority=request.priority, order=order, reserved=reserved
        )
        self._attempts[attempt.key] = attempt
        self._waiting.add(attempt)
        return attempt

    def cancel(self, key: Key, now: float) -> None:
        """Stop an attempt; one that has not come yet will not be accepted."""
        self._ended.add(key)
        found = self._attempts.get(key)
        if found is not None:
            self.fail(found, Failure.CANCELLED, now)

    def prioritize(self, key: Key, priority: int) -> bool:
        """Change the priority of an attempt; return whether it is there."""
        found = self._attempts.get(key)
        if found is None:
            return False
        if found.job is None:
            self._waiting.prioritize(found, priority)
        else:
            self._batch.prioritize(found.job, priority)
        return True

    def produced(self, attempt: AttemptWork, now: float) -> int:
        """Return how many output tokens of the whole answer are there."""
        made = 0 if attempt.job is None else self._batch.produced(attempt.job, now)
        return attempt.request.resume_from + made

    def admit(self, now: float) -> None:
        """Move attempts from the queue to the batch, as far as there is room."""
        while self._waiting and self._batch.sequences < self._settings.sequences:
            attempt = self._waiting.first
            if not attempt.reserved and not self._memory.allocate(attempt, now):
                return
            self._waiting.remove(attempt)
            self._begin(attempt)

    def end_prefill(self, attempt: AttemptWork, now: float) -> None:
        """Record that the prompt of an attempt is prefilled."""
        request = attempt.request
        if not attempt.reserved:
            self._memory.cache_prompt(attempt, now)
        self._outputs.append(FirstToken(at=now, call=request.call, attempt=request.attempt))

    def finish(self, attempt: AttemptWork, now: float) -> None:
        """Record that the last output token of an attempt is there."""
        self._free(attempt)
        call, number = attempt.key
        self._outputs.append(
            Finished(at=now, call=call, attempt=number, cached_tokens=attempt.cached)
        )

    def fail(self, attempt: AttemptWork, failure: Failure, now: float) -> None:
        """End an attempt early."""
        tokens = self.produced(attempt, now)
        if attempt.job is None:
            self._waiting.remove(attempt)
        else:
            self._batch.remove(attempt.job)
        self._free(attempt)
        call, number = attempt.key
        self._outputs.append(
            Failed(at=now, call=call, attempt=number, failure=failure, tokens=tokens)
        )

    def _begin(self, attempt: AttemptWork) -> None:
        request = attempt.request
        start, remote = attempt.cached, 0
        if attempt.reserved:
            start, remote = self._memory.holdings.covered(request.call, request.attempt)
            attempt.cached = start
        end = max(start, request.prompt.tokens + request.resume_from)
        attempt.job = Job(
            order=attempt.order,
            priority=attempt.priority,
            left=self._settings.cost.prefill_seconds(start=start, end=end),
            tokens=end - start,
            output=max(1, request.max_tokens - request.resume_from),
            context=end,
            remote=remote,
        )
        self._jobs[attempt.job] = attempt
        self._batch.add(attempt.job)

    def _free(self, attempt: AttemptWork) -> None:
        del self._attempts[attempt.key]
        self._ended.add(attempt.key)
        if attempt.job is not None:
            del self._jobs[attempt.job]
        self._memory.free(attempt)
