"""What a gateway reports of targets in its status and log."""

from collections.abc import Mapping

from azureswitch.core import TargetName
from azureswitch.gateway._log import TargetsChanged
from azureswitch.inventory import Target, TargetRole, started_again
from azureswitch.status import TargetStatus


def target_statuses(
    targets: Mapping[TargetName, Target], *, limits: Mapping[TargetName, float]
) -> tuple[TargetStatus, ...]:
    """Return the status of targets, by name, with the rate limits that they announce."""
    return tuple(
        TargetStatus(
            name=target.name,
            place=target.place,
            state=target.role.value,
            started=target.started,
            limit=limits.get(name),
        )
        for name, target in sorted(targets.items())
    )


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
