"""The listed targets: how two lists differ, and what the status page shows of a target."""

from collections.abc import Mapping

from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.gateway._log import TargetsChanged
from azureswitch.inventory import Target, TargetRole, started_again
from azureswitch.status import TargetStatus


def without_warmth(targets: Mapping[TargetName, Target]) -> dict[TargetName, Target]:
    """Return targets without what changes in the entry of a cold target with each heartbeat."""
    return {name: replace(t, cold=None, entry_version=0) for name, t in targets.items()}


def target_status(target: Target, *, limit: float | None, cold: float | None) -> TargetStatus:
    """Return what the status page shows of a target."""
    return TargetStatus(
        name=target.name,
        place=target.place,
        state=target.role.value,
        started=target.started,
        limit=limit,
        cold=None if cold is None else round(cold, 3),
    )


def difference(
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
