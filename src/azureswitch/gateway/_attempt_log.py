"""Logs the attempts of requests, and counts their answers that broke."""

from collections.abc import Callable

from azureswitch.gateway._answers import AttemptResult
from azureswitch.gateway._log import AttemptOver, AttemptSent, TargetResumed, TargetSilent
from azureswitch.gateway._records import CallRecord
from azureswitch.logs import Log
from azureswitch.metrics import Metrics
from azureswitch.serving import StartAttempt


class AttemptLog:
    """Logs the attempts of requests, and counts their answers that broke.

    Args:
        metrics: Counts answers that broke.
        log: Receives the log entries.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(self, *, metrics: Metrics, log: Log, clock: Callable[[], float]) -> None:
        self._metrics = metrics
        self._log = log
        self._clock = clock

    def sent(self, record: CallRecord, effect: StartAttempt) -> None:
        """Log that an attempt is sent."""
        self._log.write(
            AttemptSent(
                id=record.arrival.id,
                attempt=effect.attempt,
                targets=",".join(effect.targets),
                held=sum(effect.reserved),
                predicted=round(effect.first_token, 3),
                peers=effect.known_peers,
                held_back=effect.held_back,
                evacuated=effect.evacuated,
                after=record.last_event,
            )
        )

    def silent(self, record: CallRecord, effect: StartAttempt) -> None:
        """Log that the target of an attempt is silent."""
        self._log.write(
            TargetSilent(
                id=record.arrival.id,
                attempt=effect.attempt,
                target=effect.targets[0],
                seconds=self._seconds(record, effect),
                events=record.last_event,
            )
        )

    def resumed(self, record: CallRecord, effect: StartAttempt, seconds: float) -> None:
        """Log that a target has sent output again after a silence of some seconds."""
        self._log.write(
            TargetResumed(
                id=record.arrival.id,
                attempt=effect.attempt,
                target=effect.targets[0],
                seconds=round(seconds, 3),
                events=record.last_event,
            )
        )

    def over(
        self, record: CallRecord, effect: StartAttempt, end: AttemptResult, *, via: str
    ) -> None:
        """Log that an attempt ended, and count why its answer broke.

        Args:
            record: The request.
            effect: The attempt.
            end: How it ended.
            via: The host through whose tunnel it was sent; empty for a direct connection.
        """
        broke = "" if end.breakage is None else end.breakage.value
        if broke:
            self._metrics.count(
                name="answers_broken",
                help="Answers of targets that did not arrive whole, by reason.",
                reason=broke,
            )
        self._log.write(
            AttemptOver(
                id=record.arrival.id,
                attempt=effect.attempt,
                end=end.how.value,
                error="" if end.error is None else end.error.code,
                status=end.status,
                at_fault=end.at_fault or "",
                begun=effect.attempt in record.begun,
                broke=broke,
                not_sent="" if end.not_sent is None else end.not_sent.value,
                via=via,
                seconds=self._seconds(record, effect),
                events=record.last_event,
            )
        )

    def _seconds(self, record: CallRecord, effect: StartAttempt) -> float:
        """Return the seconds since an attempt was sent."""
        return round(self._clock() - record.sent_at[effect.attempt], 3)
