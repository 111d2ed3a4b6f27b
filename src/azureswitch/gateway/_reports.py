"""What a gateway reports of itself and of targets in its status and log."""

from collections.abc import Iterable, Mapping

from msgspec.structs import replace

from azureswitch.coordination.membership import Member
from azureswitch.core import TargetName
from azureswitch.gateway._log import TargetsChanged
from azureswitch.gateway._settings import GatewaySettings
from azureswitch.gateway._shell import Shell
from azureswitch.inventory import Target, TargetRole, started_again
from azureswitch.status import (
    ForeignCollection,
    HostStatus,
    TargetStatus,
    evacuation_status,
    member_report,
    quarantine_status,
)


def host_status(
    settings: GatewaySettings,
    *,
    shell: Shell,
    targets: Mapping[TargetName, Target],
    lost: Mapping[str, float],
    leaving: bool,
    members: Iterable[Member],
    foreign: tuple[ForeignCollection, ...],
) -> HostStatus:
    """Return the state of the fleet as a host knows it.

    Args:
        settings: The host's settings.
        shell: Runs its requests.
        targets: The listed targets.
        lost: The addresses to which it has no direct path, with the seconds since its loss.
        leaving: Whether it is leaving.
        members: The known hosts.
        foreign: The foreign entries of the store.
    """
    return HostStatus(
        host=settings.host,
        place=settings.place,
        revision=0,
        leaving=leaving,
        open_calls=shell.open_calls,
        members=tuple(map(member_report, members)),
        targets=target_statuses(targets, limits=shell.limits, cold=shell.cold_targets, lost=lost),
        foreign=foreign,
        evacuations=tuple(evacuation_status(known, now=shell.now) for known in shell.evacuations),
        quarantines=tuple(map(quarantine_status, shell.quarantines)),
    )


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
