"""The failure domains that operators have evacuated, and since when nothing runs there.

Operators decide on evacuations, whatever the load; a host only follows the last known set.  What is
running in an evacuated failure domain continues, so this module tracks until when.
"""

from collections.abc import Callable, Iterable
from enum import Enum

from msgspec import Struct

from azureswitch.core import PlaceName, TargetName
from azureswitch.inventory import Evacuation, Place


class EvacuationPhase(Enum):
    """What has changed about an evacuation."""

    BEGUN = "begun"
    EMPTY = "empty"
    ENDED = "ended"


class EvacuationChange(Struct, frozen=True, kw_only=True):
    """A change of an evacuation, as this host observes it.

    Attributes:
        place: The failure domain.
        phase: What has changed.
        evacuation: The evacuation, or the last one known if it has ended.
        running: Attempts of this host that still run there.
    """

    place: PlaceName
    phase: EvacuationPhase
    evacuation: Evacuation
    running: int = 0


class EvacuatedPlace(Struct, kw_only=True):
    """An evacuated failure domain.

    Attributes:
        place: Its name.
        evacuation: Its evacuation.
        listed: Its targets in the inventory.
        targets: The same with those that have left the inventory since it was evacuated, as long as
            attempts of this host run there.
        running: Attempts of this host that ran there when last counted.
        empty_at: Since when no attempt of this host has run there, or None while some do.
    """

    place: PlaceName
    evacuation: Evacuation
    listed: frozenset[TargetName] = frozenset()
    targets: frozenset[TargetName] = frozenset()
    running: int = 0
    empty_at: float | None = None


class Evacuations:
    """The evacuated failure domains of the configuration in force."""

    def __init__(self) -> None:
        self._known: dict[PlaceName, EvacuatedPlace] = {}
        self._elsewhere: frozenset[TargetName] = frozenset()

    @property
    def any(self) -> bool:
        """Whether any failure domain is evacuated."""
        return bool(self._known)

    @property
    def places(self) -> tuple[EvacuatedPlace, ...]:
        """The evacuated failure domains, by name."""
        return tuple(self._known[name] for name in sorted(self._known))

    def holds(self, place: PlaceName) -> bool:
        """Return whether a failure domain is evacuated."""
        return place in self._known

    def adopt(
        self, places: Iterable[Place], *, within: Callable[[PlaceName], Iterable[TargetName]]
    ) -> tuple[EvacuationChange, ...]:
        """Adopt the evacuations of a configuration.

        Args:
            places: All failure domains.
            within: Returns the targets of a failure domain.

        Returns:
            The evacuations that have begun or ended; attempts are not counted yet.
        """
        before, self._known = self._known, {}
        changes: list[EvacuationChange] = []
        elsewhere: set[TargetName] = set()
        for place in places:
            if place.evacuation is None:
                elsewhere.update(within(place.name))
                continue
            known = before.pop(place.name, None)
            if known is None:
                known = EvacuatedPlace(place=place.name, evacuation=place.evacuation)
                changes.append(_change(known, EvacuationPhase.BEGUN))
            known.evacuation = place.evacuation
            known.listed = frozenset(within(place.name))
            known.targets |= known.listed
            self._known[place.name] = known
        self._elsewhere = frozenset(elsewhere)
        ended = (_change(known, EvacuationPhase.ENDED) for known in before.values())
        return (*changes, *ended)

    def count(
        self, running: Iterable[tuple[TargetName, ...]], *, now: float
    ) -> tuple[EvacuationChange, ...]:
        """Count the attempts that still run in evacuated failure domains.

        Args:
            running: The targets of each attempt of this host that has not ended.
            now: The time.

        Returns:
            The failure domains where the last attempt has ended since the last count.
        """
        if not self._known:
            return ()
        attempts = tuple(running)
        used = frozenset(target for targets in attempts for target in targets)
        changes: list[EvacuationChange] = []
        for known in self._known.values():
            # A target whose entry has moved counts where it is listed now.
            known.targets = known.listed | ((known.targets & used) - self._elsewhere)
            known.running = sum(not known.targets.isdisjoint(targets) for targets in attempts)
            if known.running:
                known.empty_at = None
            elif known.empty_at is None:
                known.empty_at = now
                changes.append(_change(known, EvacuationPhase.EMPTY))
        return tuple(changes)

    def running(self, place: PlaceName) -> int:
        """Return how many attempts ran in a failure domain when last counted."""
        known = self._known.get(place)
        return 0 if known is None else known.running


def _change(known: EvacuatedPlace, phase: EvacuationPhase) -> EvacuationChange:
    return EvacuationChange(
        place=known.place, phase=phase, evacuation=known.evacuation, running=known.running
    )
