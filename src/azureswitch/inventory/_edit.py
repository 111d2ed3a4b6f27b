"""Changes of an inventory that commands make without an edited file."""

from msgspec.structs import replace

from azureswitch.core import PlaceName, ServiceName, TargetName
from azureswitch.exceptions import (
    PlaceEvacuatedError,
    PlaceInUseError,
    ServicesLeftEmptyError,
    UnknownPlaceError,
    UnknownTargetError,
)
from azureswitch.inventory._model import Evacuation, Inventory, Place, TargetRole


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


def evacuate(
    inventory: Inventory, *, place: PlaceName, evacuation: Evacuation, force: bool = False
) -> Inventory:
    """Return the inventory with one failure domain evacuated.

    Who has evacuated it before may evacuate it again, which changes the reason and the expected end
    and keeps the time since when.

    Args:
        inventory: The inventory.
        place: The failure domain.
        evacuation: Who requests it, why, since when, and until when it is expected to last.
        force: Whether services may be left without a target that takes new work.

    Returns:
        The changed inventory.

    Raises:
        PlaceEvacuatedError: Another operator has evacuated it.
        ServicesLeftEmptyError: It would leave services without a target, and is not forced.
        UnknownPlaceError: The inventory holds no such place.
    """
    known = _place(inventory, place).evacuation
    if known is not None and known.author != evacuation.author:
        raise PlaceEvacuatedError(
            place=place, author=known.author, reason=known.reason, since=known.since
        )
    if known is not None:
        return _with_evacuation(inventory, place, replace(evacuation, since=known.since))
    changed = _with_evacuation(inventory, place, evacuation)
    emptied = _usable_services(inventory) - _usable_services(changed)
    if emptied and not force:
        raise ServicesLeftEmptyError(place=place, services=tuple(sorted(emptied)))
    return changed


def restore(inventory: Inventory, *, place: PlaceName) -> Inventory:
    """Return the inventory with one failure domain in use again.

    Args:
        inventory: The inventory.
        place: The failure domain.

    Returns:
        The changed inventory.

    Raises:
        PlaceInUseError: It is not evacuated.
        UnknownPlaceError: The inventory holds no such place.
    """
    if _place(inventory, place).evacuation is None:
        raise PlaceInUseError(place=place)
    return _with_evacuation(inventory, place, None)


def keep_evacuations(inventory: Inventory, *, of: Inventory) -> Inventory:
    """Return the inventory with its failure domains evacuated as they are in another one.

    An inventory file does not mention evacuations, and applying one must not end them.

    Args:
        inventory: The inventory, as a file holds it.
        of: The inventory whose evacuations are kept; places that it alone holds are left out.

    Returns:
        The inventory with these evacuations.
    """
    kept = {place.name: place.evacuation for place in of.places}
    places = tuple(
        replace(place, evacuation=place.evacuation or kept.get(place.name))
        for place in inventory.places
    )
    return replace(inventory, places=places)


def _place(inventory: Inventory, name: PlaceName) -> Place:
    for place in inventory.places:
        if place.name == name:
            return place
    raise UnknownPlaceError(place=name)


def _with_evacuation(
    inventory: Inventory, name: PlaceName, evacuation: Evacuation | None
) -> Inventory:
    places = tuple(
        replace(place, evacuation=evacuation) if place.name == name else place
        for place in inventory.places
    )
    return replace(inventory, places=places)


def _usable_services(inventory: Inventory) -> set[ServiceName]:
    """Return the services with a target that takes new work."""
    evacuated = {place.name for place in inventory.places if place.evacuation is not None}
    return {
        target.service
        for target in inventory.targets
        if target.role is TargetRole.SERVING and target.place not in evacuated
    }
