"""Evacuated failure domains as several hosts know them, each shown once."""

from collections.abc import Iterable, Sequence

from msgspec import Struct

from azureswitch.commands._tables import table
from azureswitch.commands._times import start_text
from azureswitch.status import EvacuationStatus

_HEADING = ("EVACUATED", "SINCE", "BY", "REASON", "UNTIL", "RUNNING", "EMPTY SINCE", "NOTE")


class EvacuationReport(Struct, frozen=True, kw_only=True):
    """An evacuated failure domain as the hosts that were asked know it.

    Attributes:
        place: Its name.
        since: The earliest time at which a host says that it was evacuated, in milliseconds of the
            wall clock.
        author: Who requested it; empty where no host tells.
        reason: Why; empty where no host tells.
        until: When it is expected to end, in milliseconds of the wall clock; zero if unknown.
        running: Attempts of the hosts that were asked that still run there.
        empty: Since when none of them has, in milliseconds of the wall clock; zero while some do.
        apart: Whether a host that was asked does not know of it.
    """

    place: str
    since: int
    author: str
    reason: str
    until: int
    running: int
    empty: int
    apart: bool


def merge_evacuations(
    lists: Sequence[Iterable[EvacuationStatus]],
) -> tuple[EvacuationReport, ...]:
    """Return the failure domains that are evacuated by any host's account, by name."""
    known: dict[str, list[EvacuationStatus]] = {}
    for places in lists:
        for place in places:
            known.setdefault(place.place, []).append(place)
    return tuple(_merge(known[name], hosts=len(lists)) for name in sorted(known))


def _merge(told: list[EvacuationStatus], *, hosts: int) -> EvacuationReport:
    return EvacuationReport(
        place=told[0].place,
        since=min(part.since for part in told),
        author=next((part.author for part in told if part.author), ""),
        reason=next((part.reason for part in told if part.reason), ""),
        until=max(part.until for part in told),
        running=sum(part.running for part in told),
        empty=max(part.empty for part in told) if all(part.empty for part in told) else 0,
        apart=len(told) < hosts,
    )


def evacuation_text(evacuations: Iterable[EvacuationReport]) -> str:
    """Return evacuations as a table."""
    return table(_HEADING, map(_cells, evacuations))


def _cells(report: EvacuationReport) -> tuple[object, ...]:
    return (
        report.place,
        start_text(report.since),
        report.author,
        report.reason,
        start_text(report.until) if report.until else "",
        report.running,
        start_text(report.empty) if report.empty else "",
        "not known to all" if report.apart else "",
    )
