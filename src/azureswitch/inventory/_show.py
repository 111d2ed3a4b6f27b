"""Inventory and rules as INI text, which the loader reads back the same."""

from collections.abc import Iterator
from decimal import Decimal
from enum import Enum
from functools import singledispatch

from msgspec.structs import fields

from azureswitch.inventory._check import section_of
from azureswitch.inventory._model import (
    Customer,
    Evacuation,
    Inventory,
    Place,
    Rules,
    Service,
    Target,
)
from azureswitch.inventory._tables import INVENTORY
from azureswitch.texts import printable, time_text


@singledispatch
def shown(value: object) -> str:
    """Return the text of a value as a file holds it."""
    return str(value)


@shown.register
def _(value: bool) -> str:
    return "yes" if value else "no"


@shown.register
def _(value: float) -> str:
    return f"{Decimal(repr(value)):f}".removesuffix(".0")


@shown.register
def _(value: Enum) -> str:
    return str(value.value)


@shown.register
def _(value: tuple) -> str:  # type: ignore[type-arg]
    return ", ".join(shown(item) for item in value)


@shown.register
def _(value: None) -> str:
    return "none"


@shown.register
def _(value: Evacuation) -> str:
    until = f", until {time_text(value.until)}" if value.until else ""
    reason = f": {value.reason}" if value.reason else ""
    author = value.author or "somebody"
    return printable(f"since {time_text(value.since)} by {author}{until}{reason}")


def show_inventory(inventory: Inventory) -> str:
    """Return an inventory as INI text.

    Evacuations stand in comments: they are changed by commands of their own, so that a file which
    was made while a place was evacuated does not evacuate it once more.
    """
    blocks = [_block(f"place {place.name}", place) for place in inventory.places]
    blocks += [_block(f"service {service.name}", service) for service in inventory.services]
    blocks += [
        _block(f"{section_of(target)} {target.name}", target) for target in inventory.targets
    ]
    blocks += [_block(f"customer {customer.name}", customer) for customer in inventory.customers]
    return "\n".join(blocks)


def show_rules(rules: Rules) -> str:
    """Return rules as INI text."""
    return _block("rules", rules)


def _block(title: str, entry: Place | Service | Target | Customer | Rules) -> str:
    lines = [f"[{title}]", *_lines(title.partition(" ")[0], entry)]
    return "\n".join(lines) + "\n"


def _lines(section: str, entry: Place | Service | Target | Customer | Rules) -> Iterator[str]:
    if isinstance(entry, Place) and entry.evacuation is not None:
        yield f"# evacuated {shown(entry.evacuation)}"
    keys = {setting.key for setting in INVENTORY.of(section)}
    for field in fields(entry):
        if field.name in keys or isinstance(entry, Rules):
            yield f"{field.name} = {shown(getattr(entry, field.name))}".rstrip()
