"""Which engines form a group, and how many loads each group may have under way."""

from collections import defaultdict
from collections.abc import Iterable

from azureswitch.coordination.orders._model import GroupPlan, Wanted
from azureswitch.inventory import Snapshot


def wanted_from(snapshot: Snapshot) -> tuple[Wanted, ...]:
    """Return what a configuration wants of its engines."""
    return tuple(
        Wanted(
            target=target.name,
            pool=f"{target.service}/{target.place}",
            models=target.models,
            role=target.role,
        )
        for target in snapshot.inventory.targets
        if target.models
    )


def plan_groups(*, wanted: Iterable[Wanted], loads: int) -> tuple[GroupPlan, ...]:
    """Divide engines into groups and the loads at a time among them.

    There are never more groups than loads, so that each group may always load something and all
    groups together never load more than the weight store is to be asked for.  No host has to know
    what another group loads.

    Args:
        wanted: The engines.
        loads: Loads at a time at most, over the whole fleet.

    Returns:
        The groups, the same on every host with the same configuration.
    """
    pools: dict[str, list[Wanted]] = defaultdict(list)
    for item in wanted:
        pools[item.pool].append(item)
    count = min(loads, len(pools))
    members: list[list[Wanted]] = [[] for _ in range(count)]
    for index, pool in enumerate(sorted(pools)):
        members[index % count] += pools[pool]
    return tuple(
        GroupPlan(
            name=f"orders-{index}-of-{count}",
            loads=loads // count + (index < loads % count),
            wanted=tuple(sorted(group, key=lambda item: item.target)),
        )
        for index, group in enumerate(members)
    )
