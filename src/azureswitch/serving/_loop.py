"""The event loop of the serving reducer."""

from collections import deque
from collections.abc import Callable

from absl import logging

from azureswitch.core import Effect
from azureswitch.serving._effects import StartAttempt
from azureswitch.serving._events import AttemptEnd, AttemptEnded, ServingEvent
from azureswitch.serving._reduce import reduce
from azureswitch.serving._state import ServingState


class Loop:
    """Applies events to the reducer and executes its effects, in order.

    An effect may dispatch further events; these are queued until all effects of the current event
    have been executed.  An attempt whose `StartAttempt` raises is reported to the reducer as
    BROKEN.

    Args:
        state: The reducer's state.
        run: Executes an effect.
    """

    def __init__(self, *, state: ServingState, run: Callable[[Effect], None]) -> None:
        self._state = state
        self._run = run
        self._events: deque[ServingEvent] = deque()
        self._busy = False

    @property
    def busy(self) -> bool:
        """Whether an event is being applied, so that further ones are queued."""
        return self._busy

    def dispatch(self, event: ServingEvent) -> None:
        """Apply an event and execute its effects, or queue it while another one is applied."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event = self._events.popleft()
                for effect in reduce(self._state, event):
                    self._execute(effect, now=event.now)
        finally:
            self._busy = False

    def _execute(self, effect: Effect, *, now: float) -> None:
        """Execute an effect, and log an exception that it raises.

        The exception is contained because an event may have effects on several calls: when a log
        that could not be written to ended the event that stops the host, two of three open
        requests were left without an answer.
        """
        try:
            self._run(effect)
        except Exception:
            logging.exception("serving: Executing %s failed.", type(effect).__name__)
            if isinstance(effect, StartAttempt):
                self._events.append(
                    AttemptEnded(
                        now=now, call=effect.call, attempt=effect.attempt, end=AttemptEnd.BROKEN
                    )
                )
