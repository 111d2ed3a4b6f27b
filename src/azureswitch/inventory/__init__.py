"""Places, services, targets, customers and rules, as operators list them."""

from importlib import import_module
from typing import TYPE_CHECKING

from azureswitch.inventory._model import (
    Customer,
    EnginePace,
    Evacuation,
    Inventory,
    Objective,
    Place,
    Rules,
    Service,
    ServiceKind,
    Snapshot,
    Target,
    TargetRole,
    Warmup,
)
from azureswitch.inventory._starts import latest, started_again

if TYPE_CHECKING:
    from azureswitch.inventory._codec import SNAPSHOT_LIMIT, decode, encode
    from azureswitch.inventory._diff import Difference, DifferenceKind, FieldDifference, diff
    from azureswitch.inventory._edit import evacuate, keep_evacuations, restore, set_role
    from azureswitch.inventory._load import (
        load_inventory,
        load_rules,
        parse_inventory,
        parse_rules,
    )
    from azureswitch.inventory._show import show_inventory, show_rules, shown
    from azureswitch.inventory._tables import (
        INVENTORY,
        LONGEST_KEY_RETENTION,
        RULES,
        SHORTEST_KEY_RETENTION,
    )

_FILES = {
    "INVENTORY": "_tables",
    "LONGEST_KEY_RETENTION": "_tables",
    "RULES": "_tables",
    "SHORTEST_KEY_RETENTION": "_tables",
    "SNAPSHOT_LIMIT": "_codec",
    "Difference": "_diff",
    "DifferenceKind": "_diff",
    "FieldDifference": "_diff",
    "decode": "_codec",
    "diff": "_diff",
    "encode": "_codec",
    "evacuate": "_edit",
    "keep_evacuations": "_edit",
    "load_inventory": "_load",
    "load_rules": "_load",
    "parse_inventory": "_load",
    "parse_rules": "_load",
    "restore": "_edit",
    "set_role": "_edit",
    "show_inventory": "_show",
    "show_rules": "_show",
    "shown": "_show",
}
"""Where to find what reads and writes files of operators, which is loaded for who asks for it.

The edge program takes its configuration from a store and never does; it loads 16 modules fewer.
"""

__all__ = [
    "INVENTORY",
    "LONGEST_KEY_RETENTION",
    "RULES",
    "SHORTEST_KEY_RETENTION",
    "SNAPSHOT_LIMIT",
    "Customer",
    "Difference",
    "DifferenceKind",
    "EnginePace",
    "Evacuation",
    "FieldDifference",
    "Inventory",
    "Objective",
    "Place",
    "Rules",
    "Service",
    "ServiceKind",
    "Snapshot",
    "Target",
    "TargetRole",
    "Warmup",
    "decode",
    "diff",
    "encode",
    "evacuate",
    "keep_evacuations",
    "latest",
    "load_inventory",
    "load_rules",
    "parse_inventory",
    "parse_rules",
    "restore",
    "set_role",
    "show_inventory",
    "show_rules",
    "shown",
    "started_again",
]


def __getattr__(name: str) -> object:
    module = _FILES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
