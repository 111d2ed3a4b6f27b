"""Attempts whose target fell silent, until it is known whether the target is lost.

A target that loses power as it crashes breaks no connection.  A sound one may also be silent for a
second and go on, so that silence counts as a crash only once the target has left the list.
"""

from collections.abc import Callable
from typing import NamedTuple

from azureswitch.serving._digests import TargetStart
from azureswitch.serving._events import Call

CONFIRM_SECONDS = 10.0
"""Seconds within which a silent target must leave the list; entries expire within a few seconds."""

MAX_SILENCES = 256
"""Upper bound of silent attempts remembered; those that fell silent first are evicted."""


class Silence(NamedTuple):
    """An attempt whose target fell silent.

    Attributes:
        call: The call.
        start: The start of the target.
        at: When it was found silent, in seconds of the monotonic clock.
        output_seconds: Seconds since the first output of the attempt, zero without output.
    """

    call: Call
    start: TargetStart
    at: float
    output_seconds: float


class Silences:
    """The silent attempts of this host whose targets are listed."""

    def __init__(self) -> None:
        self._silences: dict[tuple[str, TargetStart], Silence] = {}

    def add(self, silence: Silence) -> None:
        """Remember an attempt, as of when its target was first found silent."""
        self._silences.setdefault((silence.call.id, silence.start), silence)
        while len(self._silences) > MAX_SILENCES:
            del self._silences[next(iter(self._silences))]

    def discard(self, start: TargetStart) -> None:
        """Forget the attempts at a target that has answered since."""
        for key in [key for key in self._silences if key[1] == start]:
            del self._silences[key]

    def pop_lost(self, listed: Callable[[TargetStart], bool], *, now: float) -> list[Silence]:
        """Remove and return the attempts whose targets are not listed any more."""
        for key, silence in list(self._silences.items()):
            if now - silence.at > CONFIRM_SECONDS:
                del self._silences[key]
        lost = [key for key in self._silences if not listed(key[1])]
        return [self._silences.pop(key) for key in lost]
