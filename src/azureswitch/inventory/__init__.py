"""Places, services, targets, customers and rules, as operators list them."""

from azureswitch.inventory._model import (
    Customer,
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

__all__ = [
    "Customer",
    "Inventory",
    "Objective",
    "Place",
    "Rules",
    "Service",
    "ServiceKind",
    "Snapshot",
    "Target",
    "TargetRole",
]
