"""Changes of an inventory that commands make without an edited file."""

from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.exceptions import UnknownTargetError
from azureswitch.inventory._model import Inventory, TargetRole


def set_role(inventory: Inventory, *, target: TargetName, role: TargetRole) -> Inventory:
    """Return the inventory with the role of one target set.

    Args:
        inventory: The inventory.
        target: The engine or plain target.
        role: Its new role.

    Returns:
        The changed inventory.

    Raises:
        UnknownTargetError: The inventory holds no such target.
    """
    if all(item.name != target for item in inventory.targets):
        raise UnknownTargetError(target=target)
    targets = tuple(
        replace(item, role=role) if item.name == target else item for item in inventory.targets
    )
    return replace(inventory, targets=targets)
