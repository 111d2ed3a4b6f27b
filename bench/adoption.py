"""For how long a host that adopts a configuration does nothing else, by the number of routes."""

from asyncio import run, sleep
from gc import freeze, unfreeze
from time import monotonic, process_time

from absl import logging
from msgspec import json

from azureswitch.core import HostName, PlaceName
from azureswitch.gateway import Gateway, GatewaySettings
from azureswitch.inventory import Place
from azureswitch.logs import Log
from azureswitch.metrics import Metrics
from azureswitch.platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    TARGETS_KIND,
    PlatformDialect,
    TargetReader,
)
from azureswitch.platform._adoption import Adoption
from azureswitch.platform._foreign import ForeignTracker
from azureswitch.platform._orders import HttpReservations
from azureswitch.ports import StoredObject
from bench.records import Record, at_most

SIZES = (17, 400, 4_000)
"""Routes: of a site of today, of a large one, and of one ten times as large."""

ROUTES_PER_SERVICE = 4
KEYS_PER_CUSTOMER = 2
TARGETS_PER_SERVICE = 3
TARGETS_MOST = 600
CUSTOMERS_MOST = 380
"""Targets and customers of the size to design for, however many routes there are."""

CORE_SHARE = 0.5
"""Share of a core that a host has."""

TURN_BOUND = 20.0
"""Milliseconds for which adopting a configuration may hold the event loop."""

RUNS = 8
"""Adoptions at each host after its first, in which there are full collections too."""

HOSTS = 3
"""Hosts of each size, of which the quickest counts: the machine is shared."""

PLACES = tuple(Place(name=PlaceName(f"zone-{letter}"), region="region") for letter in "abc")


def _configuration(routes: int, *, version: int) -> StoredObject:
    services = max(1, routes // ROUTES_PER_SERVICE)
    body = {
        "Version": version,
        "Routes": [
            {
                "Name": f"route-{number}",
                "Host": f"host-{number % services}.example",
                "PathPrefix": f"/v1/part-{number}/",
                "Kind": "idempotent",
                "Service": f"service-{number % services}",
                "MaxAttempts": 3,
                "TargetLatencyMs": 500.0,
            }
            for number in range(routes)
        ],
        "Services": [{"Name": f"service-{number}"} for number in range(services)],
        "Tenants": [
            {
                "Name": f"customer-{number}",
                "ApiKeys": [f"key-{number}-{key}" for key in range(KEYS_PER_CUSTOMER)],
            }
            for number in range(min(routes, CUSTOMERS_MOST))
        ],
    }
    return StoredObject(
        kind=CONFIGURATION_KIND, name=CONFIGURATION_NAME, version=version, value=json.encode(body)
    )


def _targets(routes: int) -> tuple[StoredObject, ...]:
    services = max(1, routes // ROUTES_PER_SERVICE)
    return tuple(
        StoredObject(
            kind=TARGETS_KIND,
            name=f"target-{number}",
            version=1,
            value=json.encode(
                {
                    "Service": f"service-{number % services}",
                    "Address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80",
                    "Zone": PLACES[number % len(PLACES)].name,
                    "State": "in_service",
                    "Slots": 4,
                    "Version": "1",
                    "ColdLeftMs": 0.0,
                    "Sequence": 1,
                    "born": 1,
                }
            ),
        )
        for number in range(min(services * TARGETS_PER_SERVICE, TARGETS_MOST))
    )


class _Host:
    """What of the edge program adopts a configuration, with nothing listening."""

    def __init__(self, *, routes: int) -> None:
        self._gateway = Gateway(
            settings=GatewaySettings(
                host=HostName("h"),
                place=PLACES[0].name,
                places=PLACES,
                callers="127.0.0.1:0",
                readiness="127.0.0.1:0",
                metrics="127.0.0.1:0",
                grace=1.0,
                retry_share=0.1,
                retry_burst=10.0,
                hosts=3,
            ),
            dialect=PlatformDialect(),
            reservations=HttpReservations(on_answer=lambda address, ticket, head: None),
            publish=lambda effect: None,
            metrics=Metrics(),
            log=Log(),
            seed=1,
        )
        self._adoption = Adoption(
            gateway=self._gateway,
            reader=TargetReader(places=PLACES),
            foreign=ForeignTracker(
                metrics=Metrics(), kinds=(CONFIGURATION_KIND, TARGETS_KIND), clock=monotonic
            ),
            on_configured=lambda: None,
        )
        self._routes = routes
        self._version = 0
        self._adoption.list_targets(_targets(routes))

    async def adopt(self) -> list[float]:
        """Adopt the next version as the edge program does.

        Returns:
            The processor seconds of each turn of the event loop that it took.
        """
        self._version += 1
        item = _configuration(self._routes, version=self._version)
        begun = process_time()
        self._adoption.configure((item,))
        turns = [process_time() - begun]
        while (in_force := self._gateway.deployment) is None or in_force.version != item.version:
            begun = process_time()
            await sleep(0)
            turns.append(process_time() - begun)
        return turns


async def _measure(routes: int) -> tuple[float, float, float]:
    """Return the longest turns of a first adoption and of later ones, and the least whole."""
    host = _Host(routes=routes)
    first = max(await host.adopt())
    later = [await host.adopt() for _ in range(RUNS)]
    return first, max(max(turns) for turns in later), min(sum(turns) for turns in later)


def records() -> list[Record]:
    """Return for how long adopting holds the event loop on a host's share of a core."""
    logging.set_verbosity(logging.ERROR)
    results: list[Record] = []
    # The program keeps what it has loaded out of collections, which fall into turns too.
    freeze()
    for routes in SIZES:
        hosts = [run(_measure(routes)) for _ in range(HOSTS)]
        first, longest, whole = (
            min(found) / CORE_SHARE * 1e3 for found in zip(*hosts, strict=True)
        )
        name = f"adoption.{routes}"
        results += [
            at_most(f"{name}.longest_turn", longest, "ms", TURN_BOUND),
            Record(name=f"{name}.first_turn", value=first, unit="ms"),
            Record(name=f"{name}.whole", value=whole, unit="ms"),
        ]
    unfreeze()
    return results
