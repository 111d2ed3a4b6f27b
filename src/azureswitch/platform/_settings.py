"""The settings file that the platform gives each process."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from sys import maxsize
from typing import Any

import msgspec

from azureswitch.core import HostName, PlaceName
from azureswitch.exceptions import PlatformSettingsError
from azureswitch.inventory import Place
from azureswitch.machine import machine_descriptors
from azureswitch.shedding import DescriptorShares, descriptor_shares

SETTINGS_VARIABLE = "AZURESWITCH_SETTINGS"
"""The environment variable that holds the path of the settings file."""


MEGABYTE = 1_048_576
"""Bytes of the platform's megabyte."""


FILES = 200
"""Descriptors that the platform reserves for files."""


class Addresses(msgspec.Struct, frozen=True, kw_only=True):
    """The addresses on which a process listens.

    Attributes:
        callers: ``IP:PORT`` for callers.
        readiness: ``IP:PORT`` of the readiness check, by which the platform finds out whether the
            process accepts connections.
    """

    callers: str = msgspec.field(name="Front")
    readiness: str = msgspec.field(name="Ready")


EVACUATION_CONTRACT = "places"
"""The contract of deployments whose operators evacuate failure domains."""


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds set by the users' rules, from which this system derives its own limits.

    Attributes:
        drain_milliseconds: Time after which a leaving target must not receive new requests.
        grace_seconds: Time between SIGTERM and SIGKILL.
        retry_ratio: Retries permitted per request, over all hosts.
        retry_slack: Retries permitted in addition to the ratio, over all hosts.
        hold_milliseconds: Longest time for which engines reserve memory.
    """

    drain_milliseconds: float = msgspec.field(name="DrainMs", default=2_000.0)
    grace_seconds: float = msgspec.field(name="GraceS", default=8.0)
    retry_ratio: float = msgspec.field(name="BudgetRatio", default=0.2)
    retry_slack: float = msgspec.field(name="RetrySlack", default=20.0)
    hold_milliseconds: float = msgspec.field(name="HoldMaxMs", default=20_000.0)


class ProcessLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What the process may use.

    Attributes:
        memory_megabytes: Memory beyond which the platform kills it; zero where there is no limit.
        max_descriptors: Descriptors that it may have open, `FILES` of them for files; zero for as
            many as the process has.
    """

    memory_megabytes: float = msgspec.field(name="MemoryMb", default=0.0)
    max_descriptors: int = msgspec.field(name="MaxFds", default=0)

    @property
    def memory(self) -> int:
        """The same in bytes."""
        return int(self.memory_megabytes * MEGABYTE)

    @property
    def descriptors(self) -> DescriptorShares:
        """The connections that each listener may have."""
        limit = min(self.max_descriptors or maxsize, machine_descriptors())
        return descriptor_shares(limit, files=FILES)


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The address of the platform's store."""

    address: str = msgspec.field(name="Address")


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of a process; unknown fields are ignored.

    Attributes:
        host: The name of the host.
        ip: Its IP address.
        place: Its failure domain.
        regions: The region of each failure domain.
        peer_ports: The first and the last port available for messages between hosts.
        addresses: The addresses on which the process listens.
        bounds: The bounds set by the users' rules.
        limits: What the process may use.
        store: The address of the platform's store.
        contracts: The parts of the users' rules that are in force.
    """

    host: HostName = msgspec.field(name="NodeName")
    ip: str = msgspec.field(name="Ip")
    place: PlaceName = msgspec.field(name="Zone")
    regions: dict[PlaceName, str] = msgspec.field(name="Zones", default_factory=dict)
    peer_ports: tuple[int, int] = msgspec.field(name="InternalPorts", default=(0, 0))
    addresses: Addresses = msgspec.field(name="ListenAddrs")
    bounds: Bounds = msgspec.field(name="Bounds", default_factory=Bounds)
    limits: ProcessLimits = msgspec.field(name="Limits", default_factory=ProcessLimits)
    store: StoreSettings = msgspec.field(name="Platform")
    contracts: tuple[str, ...] = msgspec.field(name="ActiveContracts", default=())

    @property
    def places(self) -> tuple[Place, ...]:
        """All failure domains."""
        return tuple(Place(name=name, region=region) for name, region in self.regions.items())

    @property
    def tunnels(self) -> str:
        """``IP:PORT`` on which other hosts open tunnels; empty if there is no port for it."""
        first, last = self.peer_ports
        return f"{self.ip}:{first + 1}" if last > first else ""

    @property
    def evacuations(self) -> bool:
        """Whether operators evacuate failure domains."""
        return EVACUATION_CONTRACT in self.contracts


def read_settings(path: Path) -> PlatformSettings:
    """Read a settings file.

    Raises:
        PlatformSettingsError: The file cannot be read, or a required field is missing or invalid.
    """
    try:
        values: Mapping[str, Any] = tomllib.loads(path.read_text(encoding="utf-8"))
        return msgspec.convert(values, type=PlatformSettings, strict=False)
    except (OSError, ValueError) as error:
        raise PlatformSettingsError(path=str(path), detail=str(error)) from error
