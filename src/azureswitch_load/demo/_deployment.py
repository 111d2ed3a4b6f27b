"""The deployments that the demo knows."""

from enum import Enum
from pathlib import Path

from msgspec import Struct

from azureswitch.inventory import (
    Inventory,
    Rules,
    ServiceKind,
    load_inventory,
    load_rules,
)
from azureswitch_load import Caller

EXAMPLES = Path(__file__).parents[3] / "examples"
"""Where the deployments' files lie."""

KEY_PREFIX = "demo-key-"
"""The API key of a customer of the examples is this and its name."""


class DeploymentName(Enum):
    """The deployments."""

    CASCADE = "cascade"
    RUAMJAI = "ruamjai"


class Deployment(Struct, frozen=True, kw_only=True):
    """One deployment.

    Attributes:
        name: Its name.
        inventory: Its inventory.
        rules: Its rules.
    """

    name: DeploymentName
    inventory: Inventory
    rules: Rules

    @property
    def callers(self) -> tuple[Caller, ...]:
        """Its customers as callers."""
        return tuple(
            Caller(name=item.name, key=f"{KEY_PREFIX}{item.name}", weight=item.weight)
            for item in self.inventory.customers
        )

    @property
    def model(self) -> str:
        """The model that its engines serve."""
        return next(target.models[0] for target in self.inventory.targets if target.models)

    @property
    def service(self) -> str:
        """Its plain service."""
        services = self.inventory.services
        return next(item.name for item in services if item.kind is ServiceKind.PLAIN)


def load_deployment(*, name: DeploymentName) -> Deployment:
    """Read a deployment's files.

    Raises:
        SettingsError: A file was refused.
    """
    folder = EXAMPLES / name.value
    return Deployment(
        name=name,
        inventory=load_inventory(folder / "inventory.ini"),
        rules=load_rules(folder / "rules.ini"),
    )
