"""An event loop whose clock jumps to the next timer, for hours of timers in seconds."""

from asyncio import Runner, SelectorEventLoop
from collections.abc import Coroutine, Mapping
from selectors import BaseSelector, DefaultSelector, SelectorKey
from typing import Any, TypeVar

Result = TypeVar("Result")


class _JumpingSelector(BaseSelector):
    """Advances the clock in place of waiting."""

    def __init__(self) -> None:
        self.now = 0.0
        self._real = DefaultSelector()

    def register(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        return self._real.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> SelectorKey:
        return self._real.unregister(fileobj)

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        ready = self._real.select(0)
        if ready:
            return ready
        if timeout is None:
            # No timer is left; only another thread could wake the loop.
            return self._real.select(1.0)
        self.now += max(timeout, 0.0)
        return ready

    def get_map(self) -> Mapping[Any, SelectorKey]:
        return self._real.get_map()

    def close(self) -> None:
        self._real.close()


class VirtualLoop(SelectorEventLoop):
    """An event loop in virtual time, which starts at zero and passes only in timers."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now


def run_virtual(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to its end in virtual time.

    Args:
        main: The coroutine; it and what it calls take the time from the running loop.
    """
    with Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
