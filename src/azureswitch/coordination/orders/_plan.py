"""Which engines form a group, and how many loads each group may have under way."""

from collections.abc import Iterable

from azureswitch.coordination.orders._model import GroupPlan, Wanted
from azureswitch.inventory import Snapshot


def wanted_from(snapshot: Snapshot) -> tuple[Wanted, ...]:
    """Return what a configuration wants of its engines."""
    return tuple(
        Wanted(target=target.name, models=target.models, role=target.role)
        for target in snapshot.inventory.targets
        if target.models
    )


def plan_groups(*, wanted: Iterable[Wanted], loads: int) -> tuple[GroupPlan, ...]:
    """Divide engines into groups of one size, and the loads at a time among them.

    There are never more groups than loads, so that each group may always load something and all
    groups together never load more than the weight store is to be asked for.  No host has to know
    what another group loads.

    Args:
        wanted: The engines.
        loads: Loads at a time at most, over the whole fleet.

    Returns:
        The groups, the same on every host with the same configuration.
    """
    engines = sorted(wanted, key=lambda item: item.target)
    count = min(loads, len(engines))
    return tuple(
        GroupPlan(
            name=f"orders-{index}-of-{count}",
            loads=loads // count + (index < loads % count),
            # Runs of neighbours: an engine that is added moves few others to another group.
            wanted=tuple(
                engines[index * len(engines) // count : (index + 1) * len(engines) // count]
            ),
        )
        for index in range(count)
    )
