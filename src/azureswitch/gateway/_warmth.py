"""Log entries of targets that become cold or warm."""

from typing import ClassVar

from azureswitch.logs import Entry
from azureswitch.serving import AnnounceWarmth


class TargetCold(Entry, frozen=True, kw_only=True):
    """A target is cold, and gets few requests from all hosts together.

    Attributes:
        target: The target.
        place: Its failure domain.
        started: Its start, in milliseconds of its wall clock; zero if unknown.
        seconds: For how long it stays cold, by what this host knows.
        source: How this host knows: ``entry``, ``start`` or ``restored``.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Target is cold."
    target: str
    place: str
    started: int
    seconds: float
    source: str


class TargetWarm(Entry, frozen=True, kw_only=True):
    """A cold target has become warm; its requests rise for 1.5 s.

    Attributes:
        target: The target.
        place: Its failure domain.
        started: Its start, in milliseconds of its wall clock; zero if unknown.
        source: How this host learned of the cold phase.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Target is warm."
    target: str
    place: str
    started: int
    source: str


def warmth_entry(effect: AnnounceWarmth) -> Entry:
    """Return the log entry for a target that has become cold or warm."""
    change = effect.change
    source = change.source.value
    if not change.seconds:
        return TargetWarm(
            target=change.target, place=change.place, started=change.started, source=source
        )
    return TargetCold(
        target=change.target,
        place=change.place,
        started=change.started,
        seconds=round(change.seconds, 3),
        source=source,
    )
