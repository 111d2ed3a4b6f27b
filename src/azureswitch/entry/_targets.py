"""The ports of the targets in force."""

from collections.abc import Callable
from typing import Generic, TypeVar

from azureswitch.core import TargetName
from azureswitch.inventory import Place, ServiceKind, Snapshot, Target
from azureswitch.ports import Engine, PlainTarget

T = TypeVar("T")

EngineFactory = Callable[[Target], Engine]
"""Creates the port of an engine."""

PlainTargetFactory = Callable[[Target], PlainTarget]
"""Creates the port of a plain service's target."""


class _Pool(Generic[T]):
    """Ports by target; a target with a new address gets a new port."""

    def __init__(self, factory: Callable[[Target], T]) -> None:
        self._factory = factory
        self._ports: dict[TargetName, T] = {}
        self._addresses: dict[TargetName, str] = {}

    @property
    def names(self) -> tuple[TargetName, ...]:
        """The targets in force."""
        return tuple(self._ports)

    def adopt(self, targets: list[Target]) -> None:
        """Replace the targets; ports of unchanged targets are kept."""
        ports: dict[TargetName, T] = {}
        for target in targets:
            kept = self._addresses.get(target.name) == target.address
            ports[target.name] = self._ports[target.name] if kept else self._factory(target)
        self._ports = ports
        self._addresses = {target.name: target.address for target in targets}

    def get(self, name: TargetName) -> T | None:
        """Return the port of a target, or None if it is not in force."""
        return self._ports.get(name)


class Targets:
    """All targets in force.

    Running attempts keep their port, so they can end at a target that was removed.

    Args:
        engine: Creates the port of an engine.
        plain: Creates the port of a plain service's target.
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
        """The inventory's entries of the engines in force; a new object after each change."""
        return self._engine_targets

    @property
    def places(self) -> tuple[Place, ...]:
        """The failure domains in force."""
        return self._places

    def adopt(self, snapshot: Snapshot) -> None:
        """Adopt a configuration."""
        inventory = snapshot.inventory
        model = {service.name for service in inventory.services if _is_model(service.kind)}
        engines = tuple(item for item in inventory.targets if item.service in model)
        # An invalid address raises here, before any other state has changed.
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
