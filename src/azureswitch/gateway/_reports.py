"""What a gateway reports of targets in its status and log."""

from collections.abc import Mapping

from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.gateway._log import TargetsChanged
from azureswitch.inventory import Target, TargetRole, started_again
from azureswitch.status import TargetStatus


def target_statuses(
    targets: Mapping[TargetName, Target],
    *,
    limits: Mapping[TargetName, float],
    cold: Mapping[TargetName, float],
    lost: Mapping[str, float],
) -> tuple[TargetStatus, ...]:
    """Return the status of targets, by name.

    Args:
        targets: The targets.
        limits: The rate limits that they announce, in requests per second.
        cold: The seconds for which those that are cold stay so.
        lost: The addresses to which this host has no direct path, with the seconds since its loss.
    """
    return tuple(
        TargetStatus(
            name=target.name,
            place=target.place,
            state=target.role.value,
            started=target.started,
            limit=limits.get(name),
            cold=round(cold[name], 3) if name in cold else None,
            path_lost=round(lost[target.address], 3) if target.address in lost else None,
        )
        for name, target in sorted(targets.items())
    )


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
