"""The objects that reach targets, one for each target in force."""

from collections.abc import Callable
from typing import Generic, TypeVar

from azureswitch.core import TargetName
from azureswitch.inventory import Place, ServiceKind, Snapshot, Target
from azureswitch.ports import Engine, PlainTarget

T = TypeVar("T")

EngineFactory = Callable[[Target], Engine]
"""Makes the port of an engine."""

PlainTargetFactory = Callable[[Target], PlainTarget]
"""Makes the port of a plain service's target."""


class _Pool(Generic[T]):
    """Ports by target; a changed address makes a new one, and a target that is gone none."""

    def __init__(self, factory: Callable[[Target], T]) -> None:
        self._factory = factory
        self._ports: dict[TargetName, T] = {}
        self._addresses: dict[TargetName, str] = {}

    @property
    def names(self) -> tuple[TargetName, ...]:
        """The targets in force."""
        return tuple(self._ports)

    def adopt(self, targets: list[Target]) -> None:
        """Keep the ports whose targets stay and make those that are new."""
        ports: dict[TargetName, T] = {}
        for target in targets:
            kept = self._addresses.get(target.name) == target.address
            ports[target.name] = self._ports[target.name] if kept else self._factory(target)
        self._ports = ports
        self._addresses = {target.name: target.address for target in targets}

    def get(self, name: TargetName) -> T | None:
        """Return the port of a target, or None where it is not in force any more."""
        return self._ports.get(name)


class Targets:
    """All targets in force.

    Attempts that run keep their port, so a target that left the inventory ends its work.

    Args:
        engine: Makes the port of an engine.
        plain: Makes the port of a plain service's target.
    """

    def __init__(self, *, engine: EngineFactory, plain: PlainTargetFactory) -> None:
        self._engines = _Pool(engine)
        self._plain = _Pool(plain)
        self._engine_targets: tuple[Target, ...] = ()
        self._places: tuple[Place, ...] = ()

    @property
    def engines(self) -> tuple[TargetName, ...]:
        """The engines in force."""
        return self._engines.names

    @property
    def engine_targets(self) -> tuple[Target, ...]:
        """The engines in force as the inventory has them; another object after each change."""
        return self._engine_targets

    @property
    def places(self) -> tuple[Place, ...]:
        """The failure domains in force."""
        return self._places

    def adopt(self, snapshot: Snapshot) -> None:
        """Follow a configuration."""
        inventory = snapshot.inventory
        model = {service.name for service in inventory.services if _is_model(service.kind)}
        engines = tuple(item for item in inventory.targets if item.service in model)
        # An address that cannot be used fails here, before anything of the rest has changed.
        self._plain.adopt([item for item in inventory.targets if item.service not in model])
        self._engines.adopt(list(engines))
        self._engine_targets = engines
        self._places = inventory.places

    def engine(self, name: TargetName) -> Engine | None:
        """Return the port of an engine, or None."""
        return self._engines.get(name)

    def plain(self, name: TargetName) -> PlainTarget | None:
        """Return the port of a plain target, or None."""
        return self._plain.get(name)


def _is_model(kind: ServiceKind) -> bool:
    return kind is ServiceKind.MODEL
