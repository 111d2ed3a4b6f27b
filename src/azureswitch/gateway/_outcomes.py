"""Records what became of requests in the log and the metrics."""

from collections.abc import Callable

from azureswitch.exceptions import AzureswitchError, CallerLeftError
from azureswitch.gateway._log import RequestAnswered, RequestFailed
from azureswitch.gateway._records import CallRecord
from azureswitch.logs import Log
from azureswitch.metrics import Metrics

PAUSE_BOUNDS_SECONDS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.4, 0.6, 1.0, 2.0)
"""Histogram bucket bounds for stream pauses, in seconds; callers require 0.25 to 1."""


def count_without_answer(metrics: Metrics, *, reason: str) -> None:
    """Count a request that was read and that this host ends without a complete answer.

    Args:
        metrics: The metrics registry.
        reason: The code of the failure that broke the answer off, or why the connection closed.
    """
    metrics.count(
        name="requests_without_answer",
        help="Requests that were read and that this host ended without a complete answer.",
        reason=reason,
    )


class Outcomes:
    """Records the outcome of each request.

    Args:
        metrics: The metrics registry.
        log: Receives the log entries.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(self, *, metrics: Metrics, log: Log, clock: Callable[[], float]) -> None:
        self._metrics = metrics
        self._log = log
        self._clock = clock

    def record(self, record: CallRecord, error: AzureswitchError | None) -> None:
        """Record an answer, or the failure that a request ended with."""
        seconds = round(self._clock() - record.started, 3)
        if error is None:
            self._record_answer(record, seconds)
        else:
            self._record_failure(record, error, seconds)

    def _record_answer(self, record: CallRecord, seconds: float) -> None:
        first = 0.0 if record.first_event is None else record.first_event - record.started
        on_time = _on_time(record, first)
        self._log.write(
            RequestAnswered(
                id=record.arrival.id,
                seconds=seconds,
                first=round(first, 3),
                pause=round(record.longest_pause, 3),
                on_time=on_time,
                attempts=len(record.targets),
            )
        )
        self._metrics.count(
            name="answers",
            help="Requests answered whole, by route and whether on time.",
            route=record.route.name,
            on_time=str(on_time).lower(),
        )
        if record.route.gap_objective:
            self._metrics.measure(
                name="pause",
                help="The most seconds between two events of a stream, by route.",
                bounds=PAUSE_BOUNDS_SECONDS,
                value=record.longest_pause,
                route=record.route.name,
            )

    def _record_failure(self, record: CallRecord, error: AzureswitchError, seconds: float) -> None:
        broken = record.first_event is not None
        self._log.write(
            RequestFailed(
                id=record.arrival.id,
                code=error.code,
                status=0 if broken else int(error.status),
                ran=error.ran.value,
                seconds=seconds,
                attempts=len(record.targets),
                targets=",".join(record.targets),
            )
        )
        if broken and not isinstance(error, CallerLeftError):
            count_without_answer(self._metrics, reason=error.code)
        self._metrics.count(
            name="failures",
            help="Requests that failed after they were admitted, by route and failure.",
            route=record.route.name,
            code=error.code,
        )


def _on_time(record: CallRecord, first: float) -> bool:
    """Return whether an answer met its route's objectives; zero means no objective."""
    route = record.route
    prompt = not route.objective or first <= route.objective
    steady = not route.gap_objective or record.longest_pause <= route.gap_objective
    return prompt and steady
