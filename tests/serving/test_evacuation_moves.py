"""Evacuations while entries of targets move, disappear or restart."""

import pytest
from msgspec.structs import replace

from azureswitch.core import PlaceName
from azureswitch.serving import AttemptEnd, FinishCall
from azureswitch.serving._failover import withdraw
from tests.serving.fixtures import Driver, engine, model_call, only
from tests.serving.test_evacuations import TARGETS, adopt, end, fleet, place_at

ENGINES = TARGETS[:3]


class TestCount:
    """What still runs in an evacuated failure domain, by the entries of targets."""

    def test_moved_in(self) -> None:
        """An empty failure domain is no longer empty once a busy target moves into it."""
        driver = Driver(config=fleet("a2", targets=ENGINES))
        (start,) = driver.start_all([model_call("c1")])
        driver.tick(0.2)
        moved = [
            replace(t, place=PlaceName("a2")) if t.name == start.targets[0] else t for t in ENGINES
        ]
        adopt(driver, fleet("a2", revision=2, targets=moved))
        driver.tick(0.4)
        (known,) = driver.state.evacuations.places
        assert (known.running, known.empty_at) == (1, None)

    def test_moved_out(self) -> None:
        """Attempts at a target that has moved elsewhere do not keep the failure domain busy."""
        driver = Driver(config=fleet(targets=ENGINES))
        starts = driver.start_all([model_call(f"c{n}") for n in range(6)])
        first = next(start for start in starts if place_at(start.targets[0]) == "a1")
        adopt(driver, fleet("a1", revision=2, targets=ENGINES))
        moved = [
            replace(t, place=PlaceName("a2")) if t.name == first.targets[0] else t for t in ENGINES
        ]
        adopt(driver, fleet("a1", revision=3, targets=moved))
        later = driver.start_all([model_call(f"d{n}") for n in range(30)])
        assert first.targets[0] in {start.targets[0] for start in later}
        for start in starts:
            end(driver, start, AttemptEnd.COMPLETE)
        driver.tick(1.0)
        (known,) = driver.state.evacuations.places
        assert not known.running

    def test_replaced(self) -> None:
        """Targets that were replaced during an evacuation are forgotten once nothing runs there."""
        driver = Driver(config=fleet("a1"))
        for n in range(50):
            targets = [*TARGETS[2:4], engine(f"x{n}", place="a1")]
            adopt(driver, fleet("a1", revision=3 + n, targets=targets))
        (known,) = driver.state.evacuations.places
        assert len(known.targets) == 1


class TestNotEnded:
    """A running attempt is not cancelled if no other target may take the call."""

    @pytest.mark.parametrize("evacuated", [(), ("a1",)])
    def test_withdrawn(self, evacuated: tuple[str, ...]) -> None:
        """An attempt that waits for memory is not ended because of an evacuation."""
        driver = Driver(config=fleet(targets=TARGETS[:1]))
        (start,) = driver.start_all([model_call("c1")])
        adopt(driver, fleet(*evacuated, revision=2, targets=TARGETS[:1]))
        effects = withdraw(driver.state, start.targets[0], now=driver.now)
        assert not only(FinishCall, effects)

    @pytest.mark.parametrize("evacuated", [(), ("a1",)])
    def test_restarted(self, evacuated: tuple[str, ...]) -> None:
        """An attempt at a target that is reported to have restarted is awaited."""
        before = [replace(TARGETS[0], started=1_000)]
        driver = Driver(config=fleet(targets=before))
        driver.start_all([model_call("c1")])
        adopt(driver, fleet(*evacuated, revision=2, targets=before))
        after = [replace(TARGETS[0], started=9_000)]
        effects = adopt(driver, fleet(*evacuated, revision=3, targets=after))
        assert not only(FinishCall, effects)
