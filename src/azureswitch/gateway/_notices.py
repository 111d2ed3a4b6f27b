"""Processes the state that targets report in answers to requests and orders."""

from collections.abc import Callable

from azureswitch.core import TargetName
from azureswitch.gateway._log import TargetLeaves
from azureswitch.gateway._model import AnswerInfo
from azureswitch.inventory import Target
from azureswitch.logs import Log
from azureswitch.serving import LimitNamed, LimitUnnamed, ServingEvent, TargetLeaving


class TargetNotices:
    """Reports the leaving notices and rate limits of targets to the reducer.

    Args:
        limited: Returns whether a rate limit is known for a target.
        dispatch: Dispatches an event to the reducer.
        log: Receives the log entries.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        limited: Callable[[TargetName], bool],
        dispatch: Callable[[ServingEvent], None],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        self._limited = limited
        self._dispatch = dispatch
        self._log = log
        self._clock = clock

    def handle_answer(
        self, target: Target, verdict: AnswerInfo, *, request: str, sent: float
    ) -> None:
        """Process the answer to a request that was sent at ``sent``."""
        self.handle(target, verdict, id=request)
        # A refusal may come from a proxy in front of the target, which knows no limit.
        unlimited = verdict.limit is None and not verdict.not_run
        if unlimited and self._limited(target.name):
            self._dispatch(
                LimitUnnamed(
                    now=self._clock(), target=target.name, started=target.started, sent=sent
                )
            )

    def handle(self, target: Target, verdict: AnswerInfo, *, id: str) -> None:
        """Process an answer; one without a limit leaves a known limit in force.

        Args:
            target: The target that answered.
            verdict: The decoded head of the answer.
            id: The id of the request or order, for the log.
        """
        if verdict.leaving:
            # The store may list it as leaving only much later.
            self._log.write(TargetLeaves(id=id, target=target.name))
            self._dispatch(
                TargetLeaving(now=self._clock(), target=target.name, started=target.started)
            )
        if verdict.limit is not None:
            self._dispatch(
                LimitNamed(
                    now=self._clock(),
                    target=target.name,
                    started=target.started,
                    rate=verdict.limit.rate,
                    text=verdict.limit.text,
                )
            )
