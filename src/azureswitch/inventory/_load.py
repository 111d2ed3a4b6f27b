"""Inventory and rules from INI files."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from azureswitch.core import CustomerName, PlaceName, ServiceName, TargetName
from azureswitch.exceptions import InvalidSettingError
from azureswitch.inventory import _tables as tables
from azureswitch.inventory._check import check
from azureswitch.inventory._model import (
    Customer,
    Inventory,
    Place,
    Rules,
    Service,
    Target,
)
from azureswitch.settings import Values, parse, read

T = TypeVar("T")


def load_inventory(path: Path) -> Inventory:
    """Read an inventory file.

    Args:
        path: The file.

    Returns:
        The inventory, each kind of entry in the order of its names.

    Raises:
        SettingsError: The file was refused; the error names file, section and key.
    """
    return _inventory(read(path, tables.INVENTORY))


def parse_inventory(content: bytes, *, file: str) -> Inventory:
    """Check the content of an inventory file, as `load_inventory` does."""
    return _inventory(parse(content, tables.INVENTORY, file=file))


def load_rules(path: Path) -> Rules:
    """Read a rules file.

    Args:
        path: The file.

    Returns:
        The rules.

    Raises:
        SettingsError: The file was refused; the error names file, section and key.
    """
    return _rules(read(path, tables.RULES))


def parse_rules(content: bytes, *, file: str) -> Rules:
    """Check the content of a rules file, as `load_rules` does."""
    return _rules(parse(content, tables.RULES, file=file))


def _inventory(values: Values) -> Inventory:
    engines = _each(values, "engine", _engine)
    targets = _each(values, "target", _target)
    inventory = Inventory(
        places=_each(values, "place", _place),
        services=_each(values, "service", _service),
        targets=tuple(sorted((*engines, *targets), key=lambda target: target.name)),
        customers=_each(values, "customer", _customer),
    )
    check(inventory, file=values.file)
    return inventory


def _each(values: Values, section: str, make: Callable[[Values, str], T]) -> tuple[T, ...]:
    return tuple(make(values, name) for name in sorted(values.names(section)))


def _place(values: Values, name: str) -> Place:
    return Place(name=PlaceName(name), region=values.get(tables.REGION, name))


def _service(values: Values, name: str) -> Service:
    return Service(
        name=ServiceName(name),
        kind=values.get(tables.SERVICE_KIND, name),
        repeatable_methods=values.get(tables.REPEATABLE_METHODS, name),
    )


def _engine(values: Values, name: str) -> Target:
    return Target(
        name=TargetName(name),
        service=ServiceName(values.get(tables.ENGINE_SERVICE, name)),
        place=PlaceName(values.get(tables.ENGINE_PLACE, name)),
        address=str(values.get(tables.ENGINE_ADDRESS, name)),
        role=values.get(tables.ENGINE_ROLE, name),
        models=values.get(tables.ENGINE_MODELS, name),
        memory=values.get(tables.ENGINE_MEMORY, name),
        checks_fence=values.get(tables.ENGINE_CHECKS_FENCE, name),
    )


def _target(values: Values, name: str) -> Target:
    return Target(
        name=TargetName(name),
        service=ServiceName(values.get(tables.TARGET_SERVICE, name)),
        place=PlaceName(values.get(tables.TARGET_PLACE, name)),
        address=str(values.get(tables.TARGET_ADDRESS, name)),
        role=values.get(tables.TARGET_ROLE, name),
    )


def _customer(values: Values, name: str) -> Customer:
    return Customer(
        name=CustomerName(name),
        key_hash=values.get(tables.KEY_HASH, name),
        weight=values.get(tables.WEIGHT, name),
        limit=values.get(tables.LIMIT, name),
    )


def _rules(values: Values) -> Rules:
    rules = Rules(
        objective=values.get(tables.OBJECTIVE),
        short_deadline=values.get(tables.SHORT_DEADLINE),
        long_deadline=values.get(tables.LONG_DEADLINE),
        plain_deadline=values.get(tables.PLAIN_DEADLINE),
        long_prompt=values.get(tables.LONG_PROMPT),
        longest_prompt=values.get(tables.LONGEST_PROMPT),
        body_limit=values.get(tables.BODY_LIMIT),
        key_retention=values.get(tables.KEY_RETENTION),
    )
    if rules.longest_prompt < rules.long_prompt:
        raise InvalidSettingError(
            file=values.file,
            section=tables.LONGEST_PROMPT.section,
            key=tables.LONGEST_PROMPT.key,
            value=str(rules.longest_prompt),
            expected=f"at least `long_prompt`, which is {rules.long_prompt}",
        )
    return rules
