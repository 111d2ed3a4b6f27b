"""Feeds the serving reducer events one after the other."""

from collections import deque
from collections.abc import Callable

from absl import logging

from azureswitch.core import Effect
from azureswitch.serving._effects import StartAttempt
from azureswitch.serving._events import AttemptEnd, AttemptEnded, ServingEvent
from azureswitch.serving._reduce import reduce
from azureswitch.serving._state import ServingState


class Loop:
    """Hands events to the reducer and has its effects carried out, in order.

    An effect that is carried out may bring about further events; they wait until all effects of
    the event before them have been carried out.  An attempt that cannot be started has failed.

    Args:
        state: The reducer's state.
        run: Carries out an effect.
    """

    def __init__(self, *, state: ServingState, run: Callable[[Effect], None]) -> None:
        self._state = state
        self._run = run
        self._events: deque[ServingEvent] = deque()
        self._busy = False

    @property
    def busy(self) -> bool:
        """Whether an event is being applied, so that further ones wait."""
        return self._busy

    def dispatch(self, event: ServingEvent) -> None:
        """Hand over an event, and carry out what the reducer asks for."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event = self._events.popleft()
                for effect in reduce(self._state, event):
                    self._carry_out(effect, now=event.now)
        finally:
            self._busy = False

    def _carry_out(self, effect: Effect, *, now: float) -> None:
        """Carry an effect out; where that fails, those of other calls are carried out all the same.

        A log that could not be written to, as one of three requests was ended at the end of the
        time of grace, left the other two without an answer.
        """
        try:
            self._run(effect)
        except Exception:
            logging.exception("serving: %s was not carried out.", type(effect).__name__)
            if isinstance(effect, StartAttempt):
                self._events.append(
                    AttemptEnded(
                        now=now, call=effect.call, attempt=effect.attempt, end=AttemptEnd.BROKEN
                    )
                )
