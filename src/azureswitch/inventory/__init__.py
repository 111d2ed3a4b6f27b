"""Places, services, targets, customers and rules, as operators list them."""

from azureswitch.inventory._codec import SNAPSHOT_LIMIT, decode, encode
from azureswitch.inventory._diff import Difference, DifferenceKind, FieldDifference, diff
from azureswitch.inventory._edit import set_role
from azureswitch.inventory._load import (
    load_inventory,
    load_rules,
    parse_inventory,
    parse_rules,
)
from azureswitch.inventory._model import (
    Customer,
    EnginePace,
    Inventory,
    Objective,
    Place,
    Rules,
    Service,
    ServiceKind,
    Snapshot,
    Target,
    TargetRole,
)
from azureswitch.inventory._show import show_inventory, show_rules
from azureswitch.inventory._starts import latest, started_again
from azureswitch.inventory._tables import (
    INVENTORY,
    LONGEST_KEY_RETENTION,
    RULES,
    SHORTEST_KEY_RETENTION,
)

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
    "decode",
    "diff",
    "encode",
    "latest",
    "load_inventory",
    "load_rules",
    "parse_inventory",
    "parse_rules",
    "set_role",
    "show_inventory",
    "show_rules",
    "started_again",
]
