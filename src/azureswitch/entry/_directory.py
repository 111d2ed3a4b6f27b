"""The configuration in force, indexed for requests."""

from azureswitch.entry._keys import KeyTable
from azureswitch.exceptions import NotConfiguredError, UnknownModelError, UnknownServiceError
from azureswitch.inventory import Customer, Rules, Service, ServiceKind, Snapshot


class Directory:
    """Customers by key, services by name and by model.

    Args:
        snapshot: The configuration, or None before the first.
    """

    def __init__(self, *, snapshot: Snapshot | None) -> None:
        self._snapshot = snapshot
        inventory = snapshot.inventory if snapshot else None
        self._keys = KeyTable(customers=inventory.customers if inventory else ())
        services = inventory.services if inventory else ()
        self._services = {str(service.name): service for service in services}
        self._models: dict[str, Service] = {}
        for target in inventory.targets if inventory else ():
            for model in target.models:
                self._models.setdefault(model, self._services[str(target.service)])

    @property
    def snapshot(self) -> Snapshot | None:
        """The configuration, or None before the first."""
        return self._snapshot

    @property
    def revision(self) -> int:
        """The revision in force, or zero."""
        return self._snapshot.revision if self._snapshot else 0

    @property
    def rules(self) -> Rules:
        """The rules in force, or the defaults."""
        return self._snapshot.rules if self._snapshot else Rules()

    @property
    def models(self) -> tuple[str, ...]:
        """The served models, sorted by name."""
        return tuple(sorted(self._models))

    def customer(self, authorization: str | None) -> Customer:
        """Return the customer who sent a request.

        Raises:
            NotConfiguredError: There is no configuration yet.
            UnauthenticatedError: The key is missing or not known.
        """
        if self._snapshot is None:
            raise NotConfiguredError()
        return self._keys.find(authorization)

    def model_service(self, model: str) -> Service:
        """Return the service that serves a model.

        Raises:
            UnknownModelError: No engine serves it.
        """
        service = self._models.get(model)
        if service is None:
            raise UnknownModelError(model=model)
        return service

    def plain_service(self, name: str) -> Service:
        """Return a plain service.

        Raises:
            UnknownServiceError: The inventory holds no such service.
        """
        service = self._services.get(name)
        if service is None or service.kind is not ServiceKind.PLAIN:
            raise UnknownServiceError(service=name)
        return service
