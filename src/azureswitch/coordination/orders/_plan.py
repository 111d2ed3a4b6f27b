"""Division of engines into groups with a limit of concurrent loads each."""

from collections.abc import Iterable

from azureswitch.coordination.orders._model import GroupPlan, Wanted
from azureswitch.inventory import Snapshot


def wanted_from(snapshot: Snapshot) -> tuple[Wanted, ...]:
    """Return the wanted states of the engines of a configuration."""
    return tuple(
        Wanted(target=target.name, models=target.models, role=target.role)
        for target in snapshot.inventory.targets
        if target.models
    )


def plan_groups(*, wanted: Iterable[Wanted], loads: int) -> tuple[GroupPlan, ...]:
    """Divide engines into groups of nearly equal size, and the limit of loads among them.

    There are at most as many groups as permitted loads, so each group can always load something,
    and all groups together stay within the limit without knowledge of each other's loads.

    Args:
        wanted: The engines.
        loads: Upper bound of concurrent loads by the whole fleet.

    Returns:
        The groups, which are the same on every host with the same configuration.
    """
    engines = sorted(wanted, key=lambda item: item.target)
    count = min(loads, len(engines))
    return tuple(
        GroupPlan(
            name=f"orders-{index}-of-{count}",
            loads=loads // count + (index < loads % count),
            # Groups are contiguous by name, so a new engine moves few others to another group.
            wanted=tuple(
                engines[index * len(engines) // count : (index + 1) * len(engines) // count]
            ),
        )
        for index in range(count)
    )
