"""Continuous batching: the sequence of steps of the engine and their durations.

Equal steps are combined into one stride, so the cost of the simulation grows with the number of
requests and not of tokens.
"""

from heapq import heappop, heappush
from math import inf

from azureswitch_standins.engine._queue import PriorityQueue
from azureswitch_standins.engine._settings import CostModel

_DONE = 1e-9
"""Remaining seconds of prefill that are rounded to zero."""


class Job:
    """A prompt to prefill and, unless ``output`` is zero, a sequence to decode."""

    __slots__ = (
        "_per_second",
        "alive",
        "context",
        "joined",
        "left",
        "order",
        "output",
        "priority",
        "remote",
    )

    def __init__(
        self,
        *,
        order: int,
        priority: int,
        left: float,
        tokens: int,
        output: int,
        context: int,
        remote: int = 0,
    ) -> None:
        self.order = order
        self.priority = priority
        self.left = left
        self.output = output
        self.context = context
        self.remote = remote
        self.joined = -1
        self.alive = True
        self._per_second = tokens / left if left else 0.0

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens that are not prefilled yet."""
        return 0 if self.joined >= 0 else int(self.left * self._per_second)


class Batch:
    """The jobs of an engine, executed as a sequence of strides."""

    def __init__(self, *, cost: CostModel) -> None:
        self._cost = cost
        self._prefills: PriorityQueue[Job] = PriorityQueue()
        self._ends: list[tuple[int, int, Job]] = []
        self._sequences = 0
        self._decoding = 0
        self._context = 0
        self._remote = 0
        self._step = 0
        self._start = 0.0
        self._seconds = 0.0
        self._planned = 0
        self._shares: list[tuple[Job, float]] = []

    @property
    def end(self) -> float:
        """When the planned stride ends; infinite if none is planned."""
        return self._start + self._planned * self._seconds if self._planned else inf

    @property
    def decoding(self) -> int:
        """Sequences that are decoding."""
        return self._decoding

    @property
    def idle(self) -> bool:
        """Whether no stride is planned."""
        return not self._planned

    @property
    def sequences(self) -> int:
        """Jobs with output, prefilling or decoding."""
        return self._sequences

    def add(self, job: Job) -> None:
        """Add a job to the batch; it takes part from the next plan on."""
        self._prefills.add(job)
        self._sequences += job.output > 0

    def remove(self, job: Job) -> None:
        """Remove a job."""
        if not job.alive:
            return
        job.alive = False
        if job.joined < 0:
            self._prefills.remove(job)
            self._sequences -= job.output > 0
        else:
            self._leave(job)

    def prioritize(self, job: Job, priority: int) -> None:
        """Change a job's priority; decoding jobs are not affected."""
        if job.joined >= 0:
            return
        self._prefills.prioritize(job, priority)

    def produced(self, job: Job, now: float) -> int:
        """Return how many tokens a job has produced."""
        if job.joined < 0:
            return 0
        return min(job.output, 1 + self._step + self._elapsed(now) - job.joined)

    def next_step(self, now: float) -> float:
        """Return when the running step ends; infinite if none runs."""
        if not self._planned:
            return inf
        return self._start + (self._elapsed(now) + 1) * self._seconds

    def settle(self, now: float) -> None:
        """Apply the completed steps, except the last one of the stride."""
        done = min(self._elapsed(now), self._planned - 1)
        if done <= 0:
            return
        self._apply(done)
        self._start += done * self._seconds
        self._planned -= done

    def cut(self, now: float) -> None:
        """Shorten the stride to end with the running step."""
        self.settle(now)
        self._planned = min(self._planned, 1)

    def stall(self, seconds: float, *, now: float) -> None:
        """Delay the end of the running step."""
        self.cut(now)
        self._start += seconds

    def finish(self) -> tuple[list[Job], list[Job]]:
        """End the stride; return the jobs whose prefill ended and those whose output did."""
        shares, self._start = self._shares, self.end
        self._apply(self._planned)
        self._planned = 0
        finished = self._finished()
        prefilled = [job for job, _ in shares if job.alive and job.left <= _DONE]
        for job in prefilled:
            self._prefills.remove(job)
            self._join(job)
        finished += [job for job in prefilled if job.output == 1]
        for job in finished:
            job.alive = False
            self._leave(job)
        return prefilled, finished

    def plan(self, now: float) -> None:
        """Plan the next stride, if there is work."""
        self._start = now
        self._share()
        prefill = sum(seconds for _, seconds in self._shares)
        remote = self._remote + sum(job.remote for job, _ in self._shares)
        decode = self._cost.decode_seconds(
            sequences=self._decoding, context=self._context, remote=remote
        )
        if not self._decoding:
            decode = self._cost.remote_step * remote
        self._seconds = prefill + decode
        self._planned = self._strides()

    def _share(self) -> None:
        budget = self._cost.chunk
        self._shares = []
        for job in self._prefills:
            share = min(job.left, budget)
            self._shares.append((job, share))
            budget -= share
            if budget <= _DONE:
                break

    def _strides(self) -> int:
        while self._ends and not self._ends[0][2].alive:
            heappop(self._ends)
        limit = self._ends[0][0] - self._step if self._ends else 0
        if not self._shares:
            return limit
        job, share = self._shares[0]
        steps = 1
        if len(self._shares) == 1 and share > 0:
            steps = max(1, int(job.left / share))
        return min(steps, limit) if self._ends else steps

    def _elapsed(self, now: float) -> int:
        if not self._planned or now <= self._start or not self._seconds:
            return 0
        return min(self._planned, int((now - self._start) / self._seconds + 1e-6))

    def _apply(self, steps: int) -> None:
        self._step += steps
        for job, seconds in self._shares:
            job.left -= seconds * steps

    def _finished(self) -> list[Job]:
        finished = []
        while self._ends and self._ends[0][0] <= self._step:
            job = heappop(self._ends)[2]
            if job.alive:
                finished.append(job)
        return finished

    def _join(self, job: Job) -> None:
        job.joined = self._step
        if not job.output:
            job.alive = False
            return
        self._decoding += 1
        self._context += job.context
        self._remote += job.remote
        if job.output > 1:
            heappush(self._ends, (self._step + job.output - 1, job.order, job))

    def _leave(self, job: Job) -> None:
        self._sequences -= 1
        self._decoding -= 1
        self._context -= job.context
        self._remote -= job.remote
