"""Evacuated failure domains as hosts and the newest revision show them, each shown once."""

from collections.abc import Iterable, Iterator

from msgspec import Struct

from azureswitch.commands._tables import table
from azureswitch.inventory import Inventory, Place
from azureswitch.status import EvacuationStatus, HostStatus
from azureswitch.texts import time_text

_HEADING = ("EVACUATED", "SINCE", "BY", "WHY", "UNTIL", "STILL RUNNING THERE", "NOTE")


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
        empty: Since when none of them has, in milliseconds of the hosts' wall clocks; zero while
            some do, or where it is not known.
        telling: How many hosts know of it.
        apart: Whether a host that tells of evacuations does not know of it.
        idle: Whether nothing runs there: every live host knows of it, and none runs anything.
    """

    place: str
    since: int
    author: str
    reason: str
    until: int
    accepted: bool | None
    running: int | None
    empty: int
    telling: int
    apart: bool
    idle: bool


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
    able = [entry for entry in entries if entry.evacuations is not None]
    for entry in able:
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
            able=len(able),
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
    able: int,
    live: set[str],
) -> EvacuationReport:
    # A host on the platform's path does not know who asked, and when it was first seen differs.
    by_age = sorted(told.values(), key=lambda item: (not item.author, item.since))
    source = accepted.evacuation if accepted and accepted.evacuation else by_age[0]
    running = sum(item.running for item in told.values()) if told else None
    empty = all(item.empty for item in told.values())
    return EvacuationReport(
        place=name,
        since=source.since,
        author=source.author,
        reason=source.reason,
        until=source.until,
        accepted=accepted is not None if known else None,
        running=running,
        empty=max((item.empty for item in told.values()), default=0) if empty else 0,
        telling=len(told),
        apart=len(told) < able,
        idle=running == 0 and live <= told.keys(),
    )


def evacuation_text(evacuations: Iterable[EvacuationReport]) -> str:
    """Return evacuations as a table."""
    return table(_HEADING, map(_cells, evacuations))


def _cells(report: EvacuationReport) -> tuple[object, ...]:
    return (
        report.place,
        time_text(report.since),
        report.author,
        report.reason,
        time_text(report.until) if report.until else "",
        _running(report),
        ", ".join(_notes(report)),
    )


def _running(report: EvacuationReport) -> str:
    if report.idle:
        return f"empty since {time_text(report.empty)}" if report.empty else "empty"
    return "not told" if report.running is None else f"{report.running}, by {report.telling} hosts"


def _notes(report: EvacuationReport) -> Iterator[str]:
    if report.accepted is False:
        yield f"restored, not yet in force on {report.telling} hosts"
    if report.apart:
        yield "not known to all"
