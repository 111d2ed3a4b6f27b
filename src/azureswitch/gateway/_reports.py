"""What a gateway reports of targets and failure domains in its status and log."""

from collections.abc import Iterable, Mapping
from time import time

from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.gateway._log import TargetsChanged
from azureswitch.inventory import Target, TargetRole, started_again
from azureswitch.serving import EvacuatedPlace
from azureswitch.status import EvacuationStatus, TargetStatus

MILLISECONDS = 1_000.0
"""Milliseconds in a second."""


def target_statuses(
    targets: Mapping[TargetName, Target],
    *,
    limits: Mapping[TargetName, float],
    cold: Mapping[TargetName, float],
) -> tuple[TargetStatus, ...]:
    """Return the status of targets, by name.

    Args:
        targets: The targets.
        limits: The rate limits that they announce, in requests per second.
        cold: The seconds for which those that are cold stay so.
    """
    return tuple(
        TargetStatus(
            name=target.name,
            place=target.place,
            state=target.role.value,
            started=target.started,
            limit=limits.get(name),
            cold=round(cold[name], 3) if name in cold else None,
        )
        for name, target in sorted(targets.items())
    )


def evacuation_statuses(
    places: Iterable[EvacuatedPlace], *, now: float
) -> tuple[EvacuationStatus, ...]:
    """Return the status of evacuated failure domains.

    Args:
        places: The failure domains.
        now: Seconds of the monotonic clock.
    """
    return tuple(
        EvacuationStatus(
            place=known.place,
            since=known.evacuation.since,
            author=known.evacuation.author,
            reason=known.evacuation.reason,
            until=known.evacuation.until,
            running=known.running,
            empty=0 if known.empty_at is None else _wall_clock(known.empty_at, now=now),
        )
        for known in places
    )


def _wall_clock(at: float, *, now: float) -> int:
    """Return a time of the monotonic clock in milliseconds of the wall clock."""
    return int((time() - (now - at)) * MILLISECONDS)


def without_warmth(targets: Mapping[TargetName, Target]) -> dict[TargetName, Target]:
    """Return targets without what changes in the entry of a cold target with each heartbeat."""
    return {name: replace(t, cold=None, entry_version=0) for name, t in targets.items()}


def targets_changed(
    before: Mapping[TargetName, Target], after: Mapping[TargetName, Target]
) -> TargetsChanged:
    """Return the log entry for a changed list of targets."""
    draining = [target.name for target in after.values() if target.role is TargetRole.DRAINING]
    restarted = [name for name, target in after.items() if started_again(before.get(name), target)]
    return TargetsChanged(
        added=",".join(sorted(after.keys() - before.keys())),
        gone=",".join(sorted(before.keys() - after.keys())),
        restarted=",".join(sorted(restarted)),
        draining=",".join(sorted(draining)),
        serving=len(after) - len(draining),
    )
