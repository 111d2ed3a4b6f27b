"""Reads targets from the entries of the store, and reports the invalid entries.

Other programs may write such entries too.  Each entry is validated against the fields with which a
target registers, and an entry that fails validation is not used.
"""

import re
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import Annotated

import msgspec
from msgspec import Struct

from azureswitch.core import PlaceName, ServiceName, TargetName
from azureswitch.decoding import UNDECODED
from azureswitch.gateway import Deployment
from azureswitch.inventory import EnginePace, Place, Target, TargetRole
from azureswitch.platform._deployment import MILLISECONDS
from azureswitch.platform._foreign import Fault, Foreign, undecoded
from azureswitch.ports import StoredObject
from azureswitch.slices import GO_ON, Steps, finish

MAX_STARTED = 2**63 - 1
"""The latest start time that a message between hosts can hold."""

MAX_COLD_MILLISECONDS = 3_600_000
"""Longest time for which a target may say that it stays cold; a longer one is invalid."""

ROLES = {"in_service": TargetRole.SERVING, "draining": TargetRole.DRAINING}
"""The roles by the platform's names for them."""

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_FIRST_OCTET = r"(?:22[0-3]|2[01][0-9]|1[0-9]{2}|[1-9][0-9]?)"
_PORT = r"(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"

_ADDRESS = re.compile(rf"{_FIRST_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}")
"""``IP:PORT`` of a host: no host names, IPv6, unspecified or multicast addresses."""

_NAME = re.compile(r"[!-~]{1,256}")
"""Names that are valid in the header that names the target of a request."""


class WireModel(msgspec.Struct, frozen=True, kw_only=True):
    """A model that an engine holds."""

    name: str = msgspec.field(name="Name")


class WireTarget(msgspec.Struct, frozen=True, kw_only=True):
    """The entry with which a target registers.

    Attributes:
        service: The service that it belongs to.
        address: ``IP:PORT`` of its HTTP interface.
        place: Its failure domain.
        state: Whether it accepts new requests.
        models: The models that it has loaded.
        slots: Number of requests that it runs concurrently, which is also in the configuration.
        release: The version of its software.
        cold: Remaining milliseconds for which it is slow after its start.
        sequence: Number of times that it has written its entry.
        started: When its process started, in milliseconds of the wall clock; unlike the
            other fields, its name in the entry is in lower case.
    """

    service: ServiceName = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    place: PlaceName = msgspec.field(name="Zone")
    state: str = msgspec.field(name="State")
    models: tuple[WireModel, ...] = msgspec.field(name="Models", default=())
    slots: int = msgspec.field(name="Slots")
    release: str = msgspec.field(name="Version")
    cold: int | float = msgspec.field(name="ColdLeftMs")
    sequence: int = msgspec.field(name="Sequence")
    started: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED)] | msgspec.UnsetType = msgspec.field(
        name="born", default=msgspec.UNSET
    )


class Targets(Struct, frozen=True, kw_only=True):
    """The result of reading a listing of targets.

    Attributes:
        targets: The targets to use.
        foreign: The invalid entries.
    """

    targets: tuple[Target, ...]
    foreign: tuple[Foreign, ...]


class TargetReader:
    """Reads the targets of a listing.

    Decoded entries are cached until they change; usually one of 600 changes at a time.

    Args:
        places: The known failure domains; empty if they are unknown, so that any is accepted.
    """

    def __init__(self, *, places: Iterable[Place] = ()) -> None:
        self._places = frozenset(place.name for place in places)
        self._decoded: dict[str, tuple[StoredObject, WireTarget | Foreign]] = {}

    def read(self, items: Iterable[StoredObject], *, deployment: Deployment | None) -> Targets:
        """Return the targets of a listing, and its invalid entries.

        Args:
            items: The entries.
            deployment: The configuration in force, which defines the services; None if there is
                none yet, so that any service is accepted.
        """
        return finish(self.read_steps(items, deployment=deployment))

    def read_steps(
        self, items: Iterable[StoredObject], *, deployment: Deployment | None
    ) -> Steps[Targets]:
        """Read the targets of a listing as `read` does, in steps."""
        paces = None if deployment is None else _paces(deployment)
        warmup_services = _warmup_services(deployment)
        found: list[tuple[StoredObject, WireTarget]] = []
        foreign: list[Foreign] = []
        decoded: dict[str, tuple[StoredObject, WireTarget | Foreign]] = {}
        for item in items:
            wire = self._decode(item)
            decoded[item.name] = (item, wire)
            wire = self._check(item, wire, paces)
            if isinstance(wire, Foreign):
                foreign.append(wire)
            else:
                found.append((item, wire))
            yield GO_ON
        self._decoded = decoded
        with_start = _services_with_start(wire for _, wire in found)
        targets: list[Target] = []
        for item, wire in found:
            if wire.service in with_start and wire.started is msgspec.UNSET:
                foreign.append(_without_start(item))
            else:
                targets.append(_target(item, wire, paces or {}, warmup_services))
            yield GO_ON
        return Targets(targets=tuple(targets), foreign=tuple(foreign))

    def _decode(self, item: StoredObject) -> WireTarget | Foreign:
        known = self._decoded.get(item.name)
        if known is not None and known[0] is item:
            return known[1]
        try:
            wire = msgspec.json.decode(item.value, type=WireTarget)
        except UNDECODED as error:
            return undecoded(error, name=item.name, version=item.version)
        fault = self._fault(item.name, wire)
        if fault is None:
            return wire
        return Foreign(name=item.name, version=item.version, fault=fault[0], detail=fault[1])

    def _fault(self, name: str, wire: WireTarget) -> tuple[Fault, str] | None:
        if not _NAME.fullmatch(name):
            return Fault.NAME, "the name is not valid in a header"
        if not is_address(wire.address):
            return Fault.ADDRESS, f"{wire.address!r} is not IP:PORT"
        if not wire.place or (self._places and wire.place not in self._places):
            return Fault.PLACE, f"{wire.place!r} is not a known failure domain"
        if not wire.service:
            return Fault.SERVICE, "the service is empty"
        if wire.state not in ROLES:
            return Fault.STATE, f"{wire.state!r} is not a known state"
        return None

    def _check(
        self,
        item: StoredObject,
        wire: WireTarget | Foreign,
        paces: Mapping[ServiceName, EnginePace | None] | None,
    ) -> WireTarget | Foreign:
        """Return an entry, or its fault if the configuration does not define its service."""
        if isinstance(wire, Foreign) or paces is None or wire.service in paces:
            return wire
        return Foreign(
            name=item.name,
            version=item.version,
            fault=Fault.SERVICE,
            detail=f"{wire.service!r} is not a service of the configuration",
        )


def is_address(text: str) -> bool:
    """Return whether a text is the ``IP:PORT`` of a host reachable by IPv4."""
    return _ADDRESS.fullmatch(text) is not None


def _paces(deployment: Deployment) -> dict[ServiceName, EnginePace | None]:
    """Return the pace of each service that a configuration lists or uses in a route."""
    named = {share.service: None for route in deployment.routes for share in route.shares}
    return {**named, **{service.name: service.pace for service in deployment.services}}


def _services_with_start(wires: Iterable[WireTarget]) -> frozenset[ServiceName]:
    """Return the services at least half of whose entries say when their process started.

    In some deployments no target says so, and requiring it would leave no targets at all.
    """
    entries: Counter[ServiceName] = Counter()
    starts: Counter[ServiceName] = Counter()
    for wire in wires:
        entries[wire.service] += 1
        starts[wire.service] += wire.started is not msgspec.UNSET
    return frozenset(service for service, count in entries.items() if 2 * starts[service] >= count)


def _without_start(item: StoredObject) -> Foreign:
    detail = "it lacks born, which half of the entries or more have"
    return Foreign(name=item.name, version=item.version, fault=Fault.FIELD, detail=detail)


def _warmup_services(deployment: Deployment | None) -> frozenset[ServiceName]:
    """Return the services whose targets are limited while they are cold."""
    services = () if deployment is None else deployment.services
    return frozenset(service.name for service in services if service.warmup is not None)


def _target(
    item: StoredObject,
    wire: WireTarget,
    paces: Mapping[ServiceName, EnginePace | None],
    warmup_services: Collection[ServiceName],
) -> Target:
    pace = paces.get(wire.service)
    has_warmup = wire.service in warmup_services
    return Target(
        name=TargetName(item.name),
        service=wire.service,
        place=wire.place,
        address=wire.address,
        role=ROLES[wire.state],
        models=tuple(model.name for model in wire.models) if pace else (),
        memory=pace.memory if pace else 0,
        started=0 if wire.started is msgspec.UNSET else wire.started,
        cold=_cold_seconds(wire) if has_warmup else None,
        entry_version=item.version if has_warmup else 0,
    )


def _cold_seconds(wire: WireTarget) -> float | None:
    """Return for how long a target stays cold, or None if its entry does not say."""
    if not 0 <= wire.cold <= MAX_COLD_MILLISECONDS:
        return None
    return float(wire.cold) / MILLISECONDS
