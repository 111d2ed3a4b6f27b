"""An effect that raises does not prevent the effects on other calls."""

import pytest

from azureswitch.core import CallId, Effect, HostName, PlaceName
from azureswitch.serving import (
    CallArrived,
    FinishCall,
    GraceEnded,
    HostSelf,
    Loop,
    ServingState,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
)
from tests.serving.fixtures import model_call, only, snapshot

CALLS = tuple(CallId(f"c{number}") for number in (1, 2, 3))


class Shell:
    """Records effects, and raises at those of one type for the first call.

    Args:
        failing: The type of the effects that raise.
    """

    def __init__(self, failing: type[Effect]) -> None:
        myself = HostSelf(name=HostName("h1"), place=PlaceName("a1"), started=1)
        self._failing = failing
        self.effects: list[Effect] = []
        self.loop = Loop(state=ServingState(myself=myself, seed=1), run=self.run)
        self.loop.dispatch(SnapshotAdopted(now=0.0, snapshot=snapshot()))
        for call in CALLS:
            self.loop.dispatch(CallArrived(now=0.0, call=model_call(call, runs=2)))

    def run(self, effect: Effect) -> None:
        """Record an effect, or raise if it is to fail."""
        if isinstance(effect, self._failing) and getattr(effect, "call", None) == CALLS[0]:
            raise RuntimeError
        self.effects.append(effect)


def test_finish(caplog: pytest.LogCaptureFixture) -> None:
    """Other calls that the same event ends are answered, and the failure is logged."""
    shell = Shell(FinishCall)
    shell.loop.dispatch(GraceEnded(now=1.0))
    assert {finish.call for finish in only(FinishCall, shell.effects)} == set(CALLS[1:])
    assert "FinishCall" in caplog.text


def test_start(caplog: pytest.LogCaptureFixture) -> None:
    """An attempt that cannot be started counts as failed; its call is retried, then answered."""
    shell = Shell(StartAttempt)
    now = 0.0
    while now < 10.0:
        now += 0.05
        shell.loop.dispatch(Ticked(now=now))
    starts = {start.call for start in only(StartAttempt, shell.effects)}
    assert starts == set(CALLS[1:])
    (finish,) = only(FinishCall, shell.effects)
    assert finish.call == CALLS[0]
    assert "StartAttempt" in caplog.text
