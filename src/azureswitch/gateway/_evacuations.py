"""The evacuations that a gateway knows of, and the wait for the first reading of them.

A host that starts must not send to an evacuated failure domain only because it has not yet read
which ones are.  It waits for a first reading before it serves, but not for long: a host that gets
no answer from the store or a peer would otherwise never serve.
"""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable, Iterable, Mapping

from msgspec.structs import replace

from azureswitch.core import PlaceName
from azureswitch.gateway._announced import EvacuationsUnknown
from azureswitch.inventory import Evacuation, Place
from azureswitch.logs import Log

FIRST_READING_SECONDS = 1.0
"""Maximum seconds for which a host with a configuration waits for the first reading.

Meanwhile it refuses requests as not configured; callers retry once, on another host, and the most
impatient ones have a deadline of 1.6 s.
"""


class KnownEvacuations:
    """The evacuations in force, by failure domain.

    Args:
        places: All failure domains.
        read: Whether evacuations are read at all.
        log: Receives the log entries.
        expired: Called if the first reading did not come in time.
    """

    def __init__(
        self, *, places: Iterable[Place], read: bool, log: Log, expired: Callable[[], None]
    ) -> None:
        self._places = tuple(places)
        self._log = log
        self._expired = expired
        self._known: Mapping[PlaceName, Evacuation] | None = None if read else {}
        self._timer: TimerHandle | None = None

    @property
    def known(self) -> bool:
        """Whether evacuations have been read, are not read at all, or are no longer waited for."""
        return self._known is not None

    @property
    def places(self) -> tuple[Place, ...]:
        """All failure domains, with their evacuations."""
        known = self._known or {}
        return tuple(
            replace(place, evacuation=known[place.name]) if place.name in known else place
            for place in self._places
        )

    def replace(self, evacuations: Mapping[PlaceName, Evacuation]) -> bool:
        """Replace the evacuations, and return whether they differ or are the first."""
        self.stop()
        before, self._known = self._known, dict(evacuations)
        return before != self._known

    def available(self) -> bool:
        """Return whether evacuations are known; if not, begin to wait for the first reading.

        Must be called when there is a configuration, from which on the wait is limited.
        """
        if self._known is None and self._timer is None:
            loop = get_running_loop()
            self._timer = loop.call_later(FIRST_READING_SECONDS, self._give_up)
        return self._known is not None

    def stop(self) -> None:
        """Wait no longer."""
        if self._timer is not None:
            self._timer.cancel()

    def _give_up(self) -> None:
        if self._known is None:
            self._known = {}
            self._log.write(EvacuationsUnknown(seconds=FIRST_READING_SECONDS))
            self._expired()
