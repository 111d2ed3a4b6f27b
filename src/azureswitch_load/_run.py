"""Runs a plan."""

import asyncio
from collections.abc import Callable, Sequence

from msgspec import Struct

from azureswitch_load._calls import PlannedCall
from azureswitch_load._outcome import Outcome
from azureswitch_load._sender import Sender

PROGRESS_PERIOD = 5.0
"""Seconds between two reports of progress."""


class Progress(Struct, frozen=True, kw_only=True):
    """How far a run has come.

    Attributes:
        seconds: Seconds since the start.
        sent: Calls sent.
        ended: Calls that have ended.
        whole: Calls that got their whole answer.
        total: Calls of the plan.
    """

    seconds: float
    sent: int
    ended: int
    whole: int
    total: int


class Run:
    """Sends the calls of a plan, each at its time.

    Args:
        calls: The plan.
        sender: Sends one call.
        started: When the run starts, in seconds of the event loop.
        progress: Is told now and then how far the run has come.
    """

    def __init__(
        self,
        *,
        calls: Sequence[PlannedCall],
        sender: Sender,
        started: float,
        progress: Callable[[Progress], None],
    ) -> None:
        self._calls = calls
        self._sender = sender
        self._started = started
        self._progress = progress
        self._sent = 0
        self._outcomes: list[Outcome] = []

    @property
    def outcomes(self) -> tuple[Outcome, ...]:
        """What became of the calls that have ended, ordered by their end."""
        return tuple(self._outcomes)

    @property
    def state(self) -> Progress:
        """How far the run has come."""
        return Progress(
            seconds=asyncio.get_running_loop().time() - self._started,
            sent=self._sent,
            ended=len(self._outcomes),
            whole=sum(outcome.whole for outcome in self._outcomes),
            total=len(self._calls),
        )

    async def run(self) -> tuple[Outcome, ...]:
        """Send all calls and wait until each has ended."""
        reports = asyncio.create_task(self._report())
        try:
            async with asyncio.TaskGroup() as group:
                for call in self._calls:
                    await self._until(call.at)
                    self._sent += 1
                    group.create_task(self._send(call))
        finally:
            reports.cancel()
        return self.outcomes

    async def _until(self, at: float) -> None:
        delay = self._started + at - asyncio.get_running_loop().time()
        if delay > 0.0:
            await asyncio.sleep(delay)

    async def _send(self, call: PlannedCall) -> None:
        self._outcomes.append(await self._sender.send(call=call))

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_PERIOD)
            self._progress(self.state)
