"""Suspected and quarantined causes of crashes as hosts show them, each shown once."""

from collections.abc import Iterable

from azureswitch.commands._tables import table
from azureswitch.status import HostStatus, QuarantineStatus
from azureswitch.texts import printable

_HEADING = ("CUSTOMER", "FINGERPRINT", "KIND", "STAGE", "CRASHES", "ANSWERS", "HELD FOR")


def merge_quarantines(entries: Iterable[HostStatus]) -> tuple[QuarantineStatus, ...]:
    """Return what any host shows, as the one shows it that holds it for longest."""
    merged: dict[tuple[str, str], QuarantineStatus] = {}
    for entry in entries:
        for item in entry.quarantines or ():
            key = (item.customer, item.fingerprint)
            known = merged.get(key)
            if known is None or item.seconds > known.seconds:
                merged[key] = item
    return tuple(merged[key] for key in sorted(merged))


def quarantine_text(quarantines: Iterable[QuarantineStatus]) -> str:
    """Return quarantines as a table."""
    return table(_HEADING, map(_cells, quarantines))


def _cells(item: QuarantineStatus) -> tuple[object, ...]:
    return (
        printable(item.customer),
        printable(item.fingerprint),
        item.kind,
        item.stage,
        item.crashes,
        item.answers,
        f"{item.seconds:.0f} s" if item.seconds else "",
    )
