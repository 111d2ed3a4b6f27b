"""Feeds the serving reducer events one after the other."""

from collections import deque
from collections.abc import Callable

from azureswitch.core import Effect
from azureswitch.serving._events import ServingEvent
from azureswitch.serving._reduce import reduce
from azureswitch.serving._state import ServingState


class Loop:
    """Hands events to the reducer and has its effects carried out, in order.

    An effect that is carried out may bring about further events; they wait until all effects of
    the event before them have been carried out.

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
                for effect in reduce(self._state, self._events.popleft()):
                    self._run(effect)
        finally:
            self._busy = False
