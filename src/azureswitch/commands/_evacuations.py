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
        running: Attempts that the answering hosts report there, or None if no host reports it.
        empty: Since when no attempt has run there, in milliseconds of the hosts' wall clocks; zero
            while some do, or where it is not known.
        reporting_hosts: How many hosts report it.
        inconsistent: Whether a host that reports evacuations does not report this one.
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
    reporting_hosts: int
    inconsistent: bool
    idle: bool


def merge_evacuations(
    entries: Iterable[HostStatus], *, inventory: Inventory | None, live: set[str]
) -> tuple[EvacuationReport, ...]:
    """Return the places that the newest revision or any host shows as evacuated.

    Args:
        entries: The status of each host that answered.
        inventory: The inventory of the newest revision, or None where it is not known.
        live: The hosts that may have requests at targets.

    Returns:
        The evacuated places, in the order of their names.
    """
    reported: dict[str, dict[str, EvacuationStatus]] = {}
    # Hosts of an older version do not report evacuations at all.
    supporting = [entry for entry in entries if entry.evacuations is not None]
    for entry in supporting:
        for item in entry.evacuations or ():
            reported.setdefault(item.place, {})[entry.host] = item
    accepted = {
        str(place.name): place
        for place in (inventory.places if inventory else ())
        if place.evacuation is not None
    }
    return tuple(
        _report(
            name,
            reported.get(name, {}),
            accepted=accepted.get(name),
            known=inventory is not None,
            supporting_hosts=len(supporting),
            live=live,
        )
        for name in sorted({*reported, *accepted})
    )


def _report(
    name: str,
    reported: dict[str, EvacuationStatus],
    *,
    accepted: Place | None,
    known: bool,
    supporting_hosts: int,
    live: set[str],
) -> EvacuationReport:
    # A host on the platform's path does not know who asked, and when it was first seen differs.
    by_age = sorted(reported.values(), key=lambda item: (not item.author, item.since))
    source = accepted.evacuation if accepted and accepted.evacuation else by_age[0]
    running = sum(item.running for item in reported.values()) if reported else None
    empty = all(item.empty for item in reported.values())
    return EvacuationReport(
        place=name,
        since=source.since,
        author=source.author,
        reason=source.reason,
        until=source.until,
        accepted=accepted is not None if known else None,
        running=running,
        empty=max((item.empty for item in reported.values()), default=0) if empty else 0,
        reporting_hosts=len(reported),
        inconsistent=len(reported) < supporting_hosts,
        idle=running == 0 and live <= reported.keys(),
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
    return (
        "not told"
        if report.running is None
        else f"{report.running}, by {report.reporting_hosts} hosts"
    )


def _notes(report: EvacuationReport) -> Iterator[str]:
    if report.accepted is False:
        yield f"restored, not yet in force on {report.reporting_hosts} hosts"
    if report.inconsistent:
        yield "not known to all"
