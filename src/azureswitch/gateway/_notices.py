"""What targets say of themselves in their answers, to requests and to orders alike."""

from collections.abc import Callable

from azureswitch.core import TargetName
from azureswitch.gateway._log import TargetLeaves
from azureswitch.gateway._model import AnswerInfo
from azureswitch.inventory import Target
from azureswitch.logs import Log
from azureswitch.serving import LimitNamed, LimitUnnamed, ServingEvent, TargetLeaving


class Hearing:
    """Tells the reducer what targets say of themselves.

    Args:
        limited: Returns whether a target is known to have named a limit.
        dispatch: Hands an event to the reducer.
        log: Takes what is heard.
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

    def hear_answer(
        self, target: Target, verdict: AnswerInfo, *, request: str, sent: float
    ) -> None:
        """Take the answer to a request that was sent at some time."""
        self.hear(target, verdict, id=request)
        # A refusal may come from what stands before the target's program.
        silent = verdict.limit is None and not verdict.not_run
        if silent and self._limited(target.name):
            self._dispatch(
                LimitUnnamed(
                    now=self._clock(), target=target.name, started=target.started, sent=sent
                )
            )

    def hear(self, target: Target, verdict: AnswerInfo, *, id: str) -> None:
        """Take what an answer says, as that to an order, which does not end a limit.

        Args:
            target: Who answers.
            verdict: What the head of the answer says.
            id: The request or the order, for the log.
        """
        if verdict.leaving:
            # The store may say so much later.
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
