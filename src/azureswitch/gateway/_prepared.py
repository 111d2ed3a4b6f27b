"""Prepares a configuration for activation while another one is in force."""

from msgspec import Struct

from azureswitch.gateway._model import Deployment
from azureswitch.gateway._routes import Routes
from azureswitch.inventory import Customer
from azureswitch.slices import GO_ON, Steps


class Prepared(Struct, frozen=True, kw_only=True):
    """A configuration that is ready to be activated.

    Attributes:
        deployment: The configuration.
        routes: Its routes, indexed for lookup.
        customers: Its customers, in the order of their names.
    """

    deployment: Deployment
    routes: Routes
    customers: tuple[Customer, ...]


def prepare(deployment: Deployment) -> Steps[Prepared]:
    """Prepare a configuration, yielding to the event loop between steps."""
    routes = Routes(routes=deployment.routes)
    yield GO_ON
    names = sorted(set(deployment.customers.values()))
    yield GO_ON
    customers: list[Customer] = []
    for name in names:
        customers.append(Customer(name=name, key_hash=""))
        yield GO_ON
    return Prepared(deployment=deployment, routes=routes, customers=tuple(customers))
