"""The two parts of a configuration that operators change apart from each other."""

from abc import ABC, abstractmethod
from pathlib import Path
from typing import ClassVar

from msgspec.structs import replace

from azureswitch.inventory import (
    Difference,
    Inventory,
    Rules,
    Snapshot,
    keep_evacuations,
    load_inventory,
    load_rules,
    show_inventory,
    show_rules,
)

RULES_SECTION = "rules"


class Part(ABC):
    """Inventory or rules."""

    name: ClassVar[str]

    @abstractmethod
    def load(self, path: Path, *, into: Snapshot) -> Snapshot:
        """Return a snapshot with this part taken from a file.

        Raises:
            SettingsError: The file was refused.
        """

    @abstractmethod
    def contents(self, snapshot: Snapshot) -> str:
        """Return what this part holds, as a phrase."""

    @abstractmethod
    def value(self, snapshot: Snapshot) -> Inventory | Rules:
        """Return this part of a snapshot."""

    @abstractmethod
    def ini(self, snapshot: Snapshot) -> str:
        """Return this part of a snapshot as INI text."""

    @abstractmethod
    def owns(self, difference: Difference) -> bool:
        """Return whether a difference is in this part."""


class InventoryPart(Part):
    """Places, services, targets and customers."""

    name = "inventory"

    def load(self, path: Path, *, into: Snapshot) -> Snapshot:
        """Return a snapshot with the inventory of a file, and the evacuations in force."""
        inventory = keep_evacuations(load_inventory(path), of=into.inventory)
        return replace(into, inventory=inventory)

    def contents(self, snapshot: Snapshot) -> str:
        """Return how many entries of each kind there are."""
        inventory = snapshot.inventory
        engines = sum(bool(target.models) for target in inventory.targets)
        return (
            f"{len(inventory.places)} places, {len(inventory.services)} services, "
            f"{engines} engines, {len(inventory.targets) - engines} other targets, "
            f"{len(inventory.customers)} customers"
        )

    def value(self, snapshot: Snapshot) -> Inventory:
        """Return the inventory."""
        return snapshot.inventory

    def ini(self, snapshot: Snapshot) -> str:
        """Return the inventory as INI text."""
        return show_inventory(snapshot.inventory)

    def owns(self, difference: Difference) -> bool:
        """Return whether a difference is in the inventory."""
        return difference.section != RULES_SECTION


class RulesPart(Part):
    """The rules on top."""

    name = "rules"

    def load(self, path: Path, *, into: Snapshot) -> Snapshot:
        """Return a snapshot with the rules of a file."""
        return replace(into, rules=load_rules(path))

    def contents(self, snapshot: Snapshot) -> str:
        """Return the objective."""
        return f"the objective is {snapshot.rules.objective.value}"

    def value(self, snapshot: Snapshot) -> Rules:
        """Return the rules."""
        return snapshot.rules

    def ini(self, snapshot: Snapshot) -> str:
        """Return the rules as INI text."""
        return show_rules(snapshot.rules)

    def owns(self, difference: Difference) -> bool:
        """Return whether a difference is in the rules."""
        return difference.section == RULES_SECTION


PARTS = (InventoryPart(), RulesPart())
