"""Evacuated failure domains as hosts and the newest revision show them, each shown once."""

from collections.abc import Iterable

from msgspec import Struct

from azureswitch.inventory import Inventory, Place
from azureswitch.status import EvacuationStatus, HostStatus


class EvacuationReport(Struct, frozen=True, kw_only=True):
    """An evacuated failure domain.

    Attributes:
        place: Its name.
        since: When its evacuation was requested, or first seen, in milliseconds of the wall clock.
        author: Who requested it; empty if unknown.
        reason: Why; empty if no reason was given.
        until: When it is expected to end, in milliseconds of the wall clock; zero if unknown.
        accepted: Whether the newest revision holds it; None where that is not known.
        running: Attempts that run there by the account of the hosts asked, or None if none tells.
        telling: How many hosts tell.
        empty: Whether nothing runs there: every live host tells, and none runs anything.
        empty_since: Since when that is so, in milliseconds of the hosts' wall clocks; zero if
            something runs there or it is not known.
    """

    place: str
    since: int
    author: str
    reason: str
    until: int
    accepted: bool | None
    running: int | None
    telling: int
    empty: bool
    empty_since: int = 0


def merge_evacuations(
    entries: Iterable[HostStatus], *, inventory: Inventory | None, live: set[str]
) -> tuple[EvacuationReport, ...]:
    """Return the places that the newest revision or any host shows as evacuated.

    Args:
        entries: What hosts tell.
        inventory: The inventory of the newest revision, or None where it is not known.
        live: The hosts that may have requests at targets.

    Returns:
        The evacuated places, in the order of their names.
    """
    told: dict[str, dict[str, EvacuationStatus]] = {}
    for entry in entries:
        for item in entry.evacuations or ():
            told.setdefault(item.place, {})[entry.host] = item
    accepted = {
        str(place.name): place
        for place in (inventory.places if inventory else ())
        if place.evacuation is not None
    }
    return tuple(
        _report(
            name,
            told.get(name, {}),
            accepted=accepted.get(name),
            known=inventory is not None,
            live=live,
        )
        for name in sorted({*told, *accepted})
    )


def _report(
    name: str,
    told: dict[str, EvacuationStatus],
    *,
    accepted: Place | None,
    known: bool,
    live: set[str],
) -> EvacuationReport:
    # A host on the platform's path does not know who asked, and when it was first seen differs.
    by_age = sorted(told.values(), key=lambda item: (not item.author, item.since))
    source = accepted.evacuation if accepted and accepted.evacuation else by_age[0]
    running = sum(item.running for item in told.values()) if told else None
    empty = running == 0 and live <= told.keys()
    return EvacuationReport(
        place=name,
        since=source.since,
        author=source.author,
        reason=source.reason,
        until=source.until,
        accepted=accepted is not None if known else None,
        running=running,
        telling=len(told),
        empty=empty,
        empty_since=max(item.empty for item in told.values()) if empty else 0,
    )
