"""Targets and foreign entries as several hosts know them, each shown once."""

from collections.abc import Iterable

from msgspec import Struct

from azureswitch.status import ForeignCollection, ForeignEntry, TargetStatus


class TargetReport(Struct, frozen=True, kw_only=True):
    """A target as the hosts that were asked know it.

    Attributes:
        name: Its name.
        place: Its failure domain.
        state: ``serving`` or ``draining``.
        started: The latest start that any host knows, in milliseconds of the target's wall clock;
            zero for none.
        apart: Whether hosts know different starts, as for a moment after a new one.
        limit: The least requests a second that it takes by any host's account, or None where it
            names no limit.
        cold: The most seconds for which it stays cold by any host's account, or None where no host
            knows it as cold.
    """

    name: str
    place: str
    state: str
    started: int
    apart: bool
    limit: float | None = None
    cold: float | None = None


def merge_targets(lists: Iterable[Iterable[TargetStatus]]) -> tuple[TargetReport, ...]:
    """Return the targets that any host knows, those that started last first."""
    known: dict[str, list[TargetStatus]] = {}
    for targets in lists:
        for target in targets:
            known.setdefault(target.name, []).append(target)
    reports = map(_merge_target, known.values())
    return tuple(sorted(reports, key=lambda report: (-report.started, report.name)))


def merge_foreign(
    lists: Iterable[Iterable[ForeignCollection]],
) -> tuple[ForeignCollection, ...]:
    """Return the collections in which any host knows foreign entries."""
    known: dict[str, list[ForeignCollection]] = {}
    for collections in lists:
        for collection in collections:
            known.setdefault(collection.collection, []).append(collection)
    return tuple(_merge_collection(name, known[name]) for name in sorted(known))


def _merge_target(told: list[TargetStatus]) -> TargetReport:
    last = max(told, key=lambda target: target.started)
    return TargetReport(
        name=last.name,
        place=last.place,
        state=last.state,
        started=last.started,
        apart=any(target.started != last.started for target in told),
        limit=min((t.limit for t in told if t.limit is not None), default=None),
        cold=max((t.cold for t in told if t.cold is not None), default=None),
    )


def _merge_collection(name: str, told: list[ForeignCollection]) -> ForeignCollection:
    """Return a collection; the list of each host is bounded, so that its total may be greater."""
    entries: dict[str, ForeignEntry] = {}
    for part in told:
        for entry in part.entries:
            known = entries.setdefault(entry.name, entry)
            if entry.version > known.version:
                entries[entry.name] = entry
    named = max(len(entries), *(part.total - part.unnamed for part in told))
    unnamed = max(part.unnamed for part in told)
    return ForeignCollection(
        collection=name,
        total=named + unnamed,
        unnamed=unnamed,
        entries=tuple(entries[name] for name in sorted(entries)),
    )
