"""Pools of targets that can serve the same calls."""

from collections.abc import Iterable, Mapping

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from azureswitch.core import ServiceName, TargetName
from azureswitch.inventory import EnginePace, Target


class Pool(Struct, frozen=True, kw_only=True):
    """The targets that can serve the same calls.

    Attributes:
        service: The service.
        model: The model; empty for plain services.
        targets: Their names in an order that is the same on all hosts; the first take long prompts.
        longest: The largest memory of one of them in tokens; zero for plain targets.
        pace: The performance model of its engines, or None where none is published.
    """

    service: ServiceName
    model: str
    targets: tuple[TargetName, ...]
    longest: int
    pace: EnginePace | None = None


def _ordered(names: Iterable[TargetName]) -> tuple[TargetName, ...]:
    """Return targets in an order that depends only on their names.

    A target that joins or leaves does not change the relative order of the others.
    """
    return tuple(sorted(names, key=lambda name: (xxh3_64_intdigest(name.encode()), name)))


def group_pools(
    targets: Iterable[Target], paces: Mapping[ServiceName, EnginePace | None]
) -> dict[tuple[ServiceName, str], Pool]:
    """Return the pools of the targets of an inventory, by service and model.

    Args:
        targets: The targets.
        paces: The published performance models, by service.
    """
    members: dict[tuple[ServiceName, str], list[Target]] = {}
    for target in targets:
        for model in target.models or ("",):
            members.setdefault((target.service, model), []).append(target)
    return {
        (service, model): Pool(
            service=service,
            model=model,
            targets=_ordered([target.name for target in group]),
            longest=max(target.memory for target in group),
            pace=paces.get(service),
        )
        for (service, model), group in members.items()
    }
