"""Prefills and copies of spans into the holdings of an engine."""

from msgspec.structs import replace

from azureswitch.ports import Holding
from azureswitch_standins.engine._batch import Batch, Job
from azureswitch_standins.engine._errors import HoldingError
from azureswitch_standins.engine._kv import Holdings, Span
from azureswitch_standins.engine._outputs import Failure, Output, SpanFailed, SpanReady
from azureswitch_standins.engine._prompt import Prompt
from azureswitch_standins.engine._settings import CostModel
from azureswitch_standins.engine._work import AttemptWork, Key, SpanWork


class SpanWorks:
    """The spans that are being prefilled or copied.

    Args:
        cost: What a prefill costs.
        holdings: Where the KV goes.
        batch: Takes the jobs of prefills.
        jobs: The work of each job in the batch.
        outputs: Takes the result of each span.
    """

    def __init__(
        self,
        *,
        cost: CostModel,
        holdings: Holdings,
        batch: Batch,
        jobs: dict[Job, AttemptWork | SpanWork],
        outputs: list[Output],
    ) -> None:
        self._cost = cost
        self._holdings = holdings
        self._batch = batch
        self._jobs = jobs
        self._outputs = outputs
        self._works: dict[str, SpanWork] = {}

    @property
    def all(self) -> tuple[SpanWork, ...]:
        """All spans in progress."""
        return tuple(self._works.values())

    def of_attempt(self, key: Key) -> tuple[SpanWork, ...]:
        """Return the spans in progress for an attempt."""
        return tuple(work for work in self._works.values() if work.key == key)

    def find(self, holding: str) -> SpanWork | None:
        """Return the span in progress for a holding, if any."""
        return self._works.get(holding)

    def prefill(
        self, *, holding: Holding, prompt: Prompt, start: int, priority: int, order: int
    ) -> None:
        """Add the prefill of a span to the batch.

        Raises:
            HoldingError: The memory is not reserved, or the context before it is not imported.
        """
        reservation = self._holdings.reservation(holding)
        covered, remote = self._holdings.covered(holding.call, holding.attempt)
        if covered < start:
            raise HoldingError(detail=f"prompt tokens from {covered} on are not imported")
        if reservation.id in self._works:
            raise HoldingError(detail="the holding is being filled")
        end = min(start + reservation.tokens, prompt.tokens)
        job = Job(
            order=order,
            priority=priority,
            left=self._cost.prefill_seconds(start=start, end=end),
            tokens=end - start,
            output=0,
            context=0,
            remote=remote,
        )
        work = SpanWork(holding=reservation, span=Span(start=start, end=end), job=job)
        self._works[reservation.id] = work
        self._jobs[job] = work
        self._batch.add(job)

    def copy(self, *, holding: Holding, span: Span) -> SpanWork:
        """Begin to copy a span; one larger than its holding stays remote and is read from there."""
        remote = holding.tokens < span.end - span.start
        work = SpanWork(holding=holding, span=replace(span, remote=remote))
        self._works[holding.id] = work
        return work

    def finish(self, work: SpanWork, now: float) -> None:
        """Record that the KV of a span is in its holding."""
        holding = work.holding
        self._forget(work)
        self._holdings.fill(holding.id, work.span)
        self._outputs.append(
            SpanReady(at=now, call=holding.call, attempt=holding.attempt, holding=holding.id)
        )

    def stop(self, work: SpanWork, failure: Failure, now: float) -> None:
        """Stop work for a span; the holding stays."""
        holding = work.holding
        if work.job is not None:
            self._batch.remove(work.job)
        self._forget(work)
        self._outputs.append(
            SpanFailed(
                at=now,
                call=holding.call,
                attempt=holding.attempt,
                holding=holding.id,
                failure=failure,
            )
        )

    def _forget(self, work: SpanWork) -> None:
        del self._works[work.holding.id]
        if work.job is not None:
            del self._jobs[work.job]
