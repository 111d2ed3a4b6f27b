"""Checks of an inventory as a whole: references and values that must be unique."""

from collections.abc import Iterable

from azureswitch.exceptions import (
    DanglingReferenceError,
    DuplicateSettingError,
    InvalidSettingError,
)
from azureswitch.inventory._model import Inventory, Service, ServiceKind, Target


def section_of(target: Target) -> str:
    """Return the kind of section that a target stands in; engines serve models."""
    return "engine" if target.models else "target"


def check(inventory: Inventory, *, file: str) -> None:
    """Check references and uniqueness.

    Args:
        inventory: The inventory.
        file: The file that it comes from, for errors.

    Raises:
        SettingsError: Something is wrong; the error names section and key.
    """
    places = {place.name for place in inventory.places}
    services = {service.name: service for service in inventory.services}
    for target in inventory.targets:
        section = f"{section_of(target)} {target.name}"
        if target.place not in places:
            raise DanglingReferenceError(
                file=file, section=section, key="place", value=target.place
            )
        _check_service(target, services.get(target.service), section, file)
    _check_models(inventory, file=file)
    _check_unique(
        ((f"{section_of(target)} {target.name}", target.name) for target in inventory.targets),
        key="",
        file=file,
    )
    _check_unique(
        ((f"{section_of(target)} {target.name}", target.address) for target in inventory.targets),
        key="address",
        file=file,
    )
    _check_unique(
        ((f"customer {customer.name}", customer.key_hash) for customer in inventory.customers),
        key="key_hash",
        file=file,
    )


def _check_service(target: Target, service: Service | None, section: str, file: str) -> None:
    if service is None:
        raise DanglingReferenceError(
            file=file, section=section, key="service", value=target.service
        )
    wanted = ServiceKind.MODEL if target.models else ServiceKind.PLAIN
    if service.kind is not wanted:
        raise InvalidSettingError(
            file=file,
            section=section,
            key="service",
            value=service.name,
            expected=f"a service of kind `{wanted.value}`",
        )


def _check_models(inventory: Inventory, *, file: str) -> None:
    """Check that a request that names a model alone has one service to go to."""
    services: dict[str, str] = {}
    for target in inventory.targets:
        for model in target.models:
            if services.setdefault(model, target.service) != target.service:
                raise InvalidSettingError(
                    file=file,
                    section=f"{section_of(target)} {target.name}",
                    key="models",
                    value=model,
                    expected=f"models that service `{services[model]}` does not serve",
                )


def _check_unique(entries: Iterable[tuple[str, str]], *, key: str, file: str) -> None:
    seen: set[str] = set()
    for section, value in entries:
        if value in seen:
            raise DuplicateSettingError(file=file, section=section, key=key)
        seen.add(value)
