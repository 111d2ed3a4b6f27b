"""The shell around the serving reducer: passes it events and executes its effects."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod

from absl import logging

from azureswitch.clock import elapsed
from azureswitch.core import CallId, Effect, Incarnation
from azureswitch.entry._answers import Answer, Recording, Relay
from azureswitch.entry._attempts import Attempts
from azureswitch.entry._directory import Directory
from azureswitch.entry._ports import ClaimKeeper, DigestSink, JobKeeper
from azureswitch.entry._records import ModelRecord, PlainRecord, Record
from azureswitch.entry._settings import Limits
from azureswitch.entry._targets import Targets
from azureswitch.exceptions import AzureswitchError, CallerLeftError, ClaimUnavailableError
from azureswitch.inventory import Snapshot
from azureswitch.metrics import Metrics
from azureswitch.ports import PlainAnswer
from azureswitch.serving import (
    TICK_SECONDS,
    AnnounceEvacuation,
    AnnounceQuarantine,
    CallArrived,
    CallerLeft,
    CancelAttempt,
    ClaimCall,
    ClaimDenied,
    ClaimGranted,
    ClaimReplayed,
    EvacuatedPlace,
    FinishCall,
    HostSelf,
    Loop,
    Observe,
    PrioritizeAttempt,
    PublishDigest,
    ServingEvent,
    ServingState,
    SettleClaim,
    ShutdownBegan,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
)
from azureswitch.tasks import Tasks

STALL_CHECK_SECONDS = 1.0
"""Upper bound of the seconds between two checks for callers that do not read."""


class Shell:
    """Runs the serving reducer of one host.

    Args:
        myself: This host.
        seed: Seeds the reducer's random choices.
        targets: The ports of targets.
        claims: Claims non-idempotent calls.
        jobs: Records long work, so that any host finds it.
        publish: Sends digests to the peers.
        metrics: Records observations.
        limits: The limits for a caller.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        myself: HostSelf,
        seed: int,
        targets: Targets,
        claims: ClaimKeeper,
        jobs: JobKeeper,
        publish: DigestSink,
        metrics: Metrics,
        limits: Limits,
        clock: Callable[[], float] = elapsed,
    ) -> None:
        self._state = ServingState(myself=myself, seed=seed)
        self._targets = targets
        self._claims = claims
        self._jobs = jobs
        self._publish = publish
        self._metrics = metrics
        self._limits = limits
        self._clock = clock
        self._directory = Directory(snapshot=None)
        self._records: dict[CallId, Record] = {}
        self._tasks = Tasks(prefix="entry")
        self._attempts = Attempts(
            owner=Incarnation(host=myself.name, started=myself.started),
            targets=targets,
            jobs=jobs,
            dispatch=self.dispatch,
            clock=clock,
            tasks=self._tasks,
        )
        self._loop = Loop(state=self._state, run=self._run)
        self._leaving = False
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self._stall_check_at = 0.0

    @property
    def directory(self) -> Directory:
        """The configuration in force."""
        return self._directory

    @property
    def targets(self) -> Targets:
        """The ports of targets."""
        return self._targets

    @property
    def leaving(self) -> bool:
        """Whether this host accepts no new work."""
        return self._leaving

    @property
    def open_calls(self) -> int:
        """Number of requests that have not ended."""
        return len(self._records)

    @property
    def evacuations(self) -> tuple[EvacuatedPlace, ...]:
        """The evacuated failure domains, with the number of attempts still running there."""
        return self._state.evacuations.places

    @property
    def now(self) -> float:
        """Seconds of the monotonic clock."""
        return self._clock()

    # --- Events -----------------------------------------------------------------------------------

    def dispatch(self, event: ServingEvent) -> None:
        """Pass an event to the reducer and execute its effects in order."""
        self._loop.dispatch(event)

    def submit(self, record: Record) -> None:
        """Add a request; its answer ends when the request has ended."""
        self._records[record.call.id] = record
        self.dispatch(CallArrived(now=self.now, call=record.call))

    def leave(self, call: CallId) -> None:
        """End a request whose caller has disconnected."""
        record = self._records.get(call)
        if record is None or record.answer.ended:
            return
        record.answer.finish(CallerLeftError())
        self.dispatch(CallerLeft(now=self.now, call=call))

    def adopt(self, snapshot: Snapshot) -> None:
        """Adopt a newer configuration."""
        if snapshot.revision <= self._directory.revision:
            return
        self._targets.adopt(snapshot)
        self._directory = Directory(snapshot=snapshot)
        self.dispatch(SnapshotAdopted(now=self.now, snapshot=snapshot))
        logging.info("entry: Revision %d is in force.", snapshot.revision)

    def begin_shutdown(self) -> None:
        """Accept no new work; running requests continue."""
        self._leaving = True
        self.dispatch(ShutdownBegan(now=self.now))

    def is_running(self, call: CallId, attempt: int) -> bool:
        """Return whether an attempt runs in this process."""
        record = self._records.get(call)
        return record is not None and attempt in record.attempts

    async def run(self) -> None:
        """Dispatch `Ticked` events until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.dispatch(Ticked(now=self.now))
            self._check_stalls()

    async def wait_drained(self) -> None:
        """Wait until every request has ended."""
        while self._records:
            await asyncio.gather(*(_wait_ended(record.answer) for record in self._records.values()))
            await asyncio.sleep(0)
            if self._records:
                await asyncio.sleep(TICK_SECONDS)

    async def wait_stored(self, *, timeout: float) -> bool:
        """Wait until the outputs of ended jobs are in the store.

        Returns:
            Whether all are, within the timeout.
        """
        if self._closing_tasks:
            await asyncio.wait(tuple(self._closing_tasks), timeout=timeout)
        return not self._closing_tasks

    async def stop(self) -> None:
        """Cancel all background tasks."""
        await self._tasks.stop()

    def _check_stalls(self) -> None:
        if self.now < self._stall_check_at:
            return
        self._stall_check_at = self.now + min(STALL_CHECK_SECONDS, self._limits.write_timeout / 4)
        for record in tuple(self._records.values()):
            if isinstance(record, PlainRecord) or not isinstance(record.answer, Relay):
                continue
            if record.answer.stalled(seconds=self._limits.write_timeout):
                logging.info("entry: The caller of %s does not read.", record.call.id)
                self.leave(record.call.id)
                if record.abort is not None:
                    record.abort()

    # --- Effects ----------------------------------------------------------------------------------

    @singledispatchmethod
    def _run(self, effect: Effect) -> None:
        raise TypeError(effect)

    @_run.register
    def _run_start(self, effect: StartAttempt) -> None:
        record = self._records.get(effect.call)
        if isinstance(record, ModelRecord):
            self._attempts.start_model(record, effect)
            if record.durable:
                work = self._record_job(record, effect)
                self._tasks.spawn(work, name=f"{effect.call} place")
        elif isinstance(record, PlainRecord):
            self._attempts.start_plain(record, effect)

    @_run.register
    def _run_cancel(self, effect: CancelAttempt) -> None:
        record = self._records.get(effect.call)
        if record is not None:
            self._attempts.cancel(record, effect.attempt)

    @_run.register
    def _run_prioritize(self, effect: PrioritizeAttempt) -> None:
        record = self._records.get(effect.call)
        if isinstance(record, ModelRecord):
            self._attempts.prioritize(record, effect.attempt, effect.priority)

    @_run.register
    def _run_claim(self, effect: ClaimCall) -> None:
        self._tasks.spawn(self._claim(effect), name=f"{effect.call} claim")

    @_run.register
    def _run_settle(self, effect: SettleClaim) -> None:
        record = self._records.get(effect.call)
        answer = record.answer.answer if isinstance(record, PlainRecord) else None
        work = self._claims.settle(call=effect.call, outcome=effect.outcome, answer=answer)
        self._tasks.spawn(_log_failure(work), name=f"{effect.call} settle")

    @_run.register
    def _run_finish(self, effect: FinishCall) -> None:
        record = self._records.get(effect.call)
        if record is None:
            return
        record.answer.finish(effect.error)
        if isinstance(record, ModelRecord) and record.durable:
            record.job_recorded.set()
            task = self._tasks.spawn(self._close(record), name=f"{effect.call} close")
            self._closing_tasks.add(task)
            task.add_done_callback(self._closing_tasks.discard)
        asyncio.get_running_loop().call_soon(self._forget, record)

    @_run.register
    def _run_publish(self, effect: PublishDigest) -> None:
        self._publish(effect.digest)

    @_run.register
    def _run_announce_quarantine(self, effect: AnnounceQuarantine) -> None:
        logging.warning(
            "entry: Targets crashed under a request of %s, which is %s.",
            effect.change.report.customer,
            "answered and sent again" if effect.change.ended else "sent to no more of them",
        )

    @_run.register
    def _run_announce_evacuation(self, effect: AnnounceEvacuation) -> None:
        change = effect.change
        logging.warning(
            "entry: The evacuation of %s is %s (by %s: %s; attempts of this host there: %d).",
            change.place,
            change.phase.value,
            change.evacuation.author or "an unknown author",
            change.evacuation.reason or "no reason given",
            change.running,
        )

    @_run.register
    def _run_observe(self, effect: Observe) -> None:
        self._metrics.observe(effect)

    def _forget(self, record: Record) -> None:
        """Drop an ended request once its attempts have ended too."""
        if record.attempts:
            asyncio.get_running_loop().call_later(TICK_SECONDS, self._forget, record)
            return
        self._records.pop(record.call.id, None)

    async def _record_job(self, record: ModelRecord, effect: StartAttempt) -> None:
        """Record where long work runs, so that any host finds it."""
        try:
            job = await self._jobs.record(
                call=record.call, target=effect.targets[-1], attempt=effect.attempt
            )
            record.job = job or record.job
        finally:
            # The answer waits for this, but is sent even if there is no job id.
            record.job_recorded.set()

    async def _close(self, record: ModelRecord) -> None:
        """Store the output of a job that is complete, but no other output."""
        answer = record.answer
        if isinstance(answer, Recording) and answer.complete:
            await self._jobs.keep(call=record.call.id, chunks=answer.chunks)
        else:
            await self._jobs.close(call=record.call.id)

    async def _claim(self, effect: ClaimCall) -> None:
        error: AzureswitchError
        try:
            recorded = await self._claims.claim(
                customer=effect.customer,
                key=effect.key,
                fingerprint=effect.fingerprint,
                call=effect.call,
                deadline=effect.deadline,
            )
        except AzureswitchError as denied:
            error = denied
        except Exception:
            logging.exception("entry: The claim of %s failed.", effect.call)
            error = ClaimUnavailableError()
        else:
            self._claimed(effect.call, recorded)
            return
        self.dispatch(ClaimDenied(now=self.now, call=effect.call, error=error))

    def _claimed(self, call: CallId, recorded: PlainAnswer | None) -> None:
        record = self._records.get(call)
        if recorded is None:
            self.dispatch(ClaimGranted(now=self.now, call=call))
            return
        if isinstance(record, PlainRecord):
            record.answer.put(attempt=0, answer=recorded)
        self.dispatch(ClaimReplayed(now=self.now, call=call))


async def _wait_ended(answer: Answer) -> None:
    await answer.wait_ended()


async def _log_failure(work: Awaitable[None]) -> None:
    try:
        await work
    except AzureswitchError as error:
        logging.warning("entry: An outcome was not recorded: %s", error)
