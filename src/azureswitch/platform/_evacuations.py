"""Reads which failure domains operators have evacuated, from the entries of the store.

The existence of an entry is the operator's request, whatever it contains; its name is that of the
failure domain.  An entry with another name has no effect.
"""

from collections.abc import Callable, Iterable, Mapping
from time import time

from msgspec import Struct

from azureswitch.core import PlaceName
from azureswitch.inventory import Evacuation, Place
from azureswitch.platform._deployment import MILLISECONDS
from azureswitch.platform._foreign import Fault, Foreign
from azureswitch.ports import StoredObject

EVACUATIONS_KIND = "evacuations"
"""The kind of object that requests the evacuation of a failure domain."""


class FoundEvacuations(Struct, frozen=True, kw_only=True):
    """The result of reading a listing of evacuations.

    Attributes:
        evacuations: The evacuations, by failure domain.
        foreign: The entries that name no known failure domain.
    """

    evacuations: Mapping[PlaceName, Evacuation]
    foreign: tuple[Foreign, ...]


class EvacuationReader:
    """Reads the evacuations of a listing.

    An entry does not say when it was written, so an evacuation begins when this host first sees it.

    Args:
        places: The known failure domains.
        clock: Returns seconds of the wall clock.
    """

    def __init__(self, *, places: Iterable[Place], clock: Callable[[], float] = time) -> None:
        self._places = frozenset(place.name for place in places)
        self._clock = clock
        self._known: dict[PlaceName, Evacuation] = {}

    def read(self, items: Iterable[StoredObject]) -> FoundEvacuations:
        """Return the evacuations of a listing, and its entries with unknown names."""
        known: dict[PlaceName, Evacuation] = {}
        foreign: list[Foreign] = []
        for item in items:
            place = PlaceName(item.name)
            if place in self._places:
                known[place] = self._known.get(place) or self._begun()
            else:
                foreign.append(_foreign(item))
        self._known = known
        return FoundEvacuations(evacuations=dict(known), foreign=tuple(foreign))

    def _begun(self) -> Evacuation:
        return Evacuation(since=int(self._clock() * MILLISECONDS))


def _foreign(item: StoredObject) -> Foreign:
    return Foreign(
        name=item.name,
        version=item.version,
        fault=Fault.UNKNOWN_PLACE,
        detail="no failure domain of the settings has this name",
    )
