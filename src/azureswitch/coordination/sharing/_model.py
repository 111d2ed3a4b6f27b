"""Load reports in their encoding between hosts, and the events and effects of sharing."""

from msgspec import Struct

from azureswitch.core import Effect, Event, HostName, PlaceName, TargetName
from azureswitch.inventory import Place, Target
from azureswitch.ports import LoadReport


class SharedReport(Struct, frozen=True, kw_only=True, array_like=True):
    """One engine's report without field names, a third of the bytes of its data class.

    Attributes:
        target: The engine.
        age: Milliseconds since the report arrived at the host that polled it.
        started: As in `LoadReport`, like all following fields.
        models: None if they are those of the inventory.
    """

    target: TargetName
    age: int
    started: int
    sequence: int
    running: int
    waiting: int
    waiting_tokens: int
    urgent_tokens: int
    memory_used: int
    memory_total: int
    models: tuple[str, ...] | None
    draining: bool


class EngineReports(Struct, frozen=True, kw_only=True, array_like=True):
    """Reports of engines that the sender polls."""

    reports: tuple[SharedReport, ...]


def pack(report: LoadReport, *, age: float, usual: tuple[str, ...] = ()) -> SharedReport:
    """Encode a report.

    Args:
        report: The report.
        age: Seconds since it arrived.
        usual: The engine's models in the inventory.
    """
    return SharedReport(
        target=report.target,
        age=int(age * 1_000),
        started=report.started,
        sequence=report.sequence,
        running=report.running,
        waiting=report.waiting,
        waiting_tokens=report.waiting_tokens,
        urgent_tokens=report.urgent_tokens,
        memory_used=report.memory_used,
        memory_total=report.memory_total,
        models=None if report.models == usual else report.models,
        draining=report.draining,
    )


def unpack(shared: SharedReport, *, usual: tuple[str, ...] = ()) -> LoadReport:
    """Decode a report.

    Args:
        shared: The encoded report.
        usual: The engine's models in the inventory.
    """
    return LoadReport(
        target=shared.target,
        started=shared.started,
        sequence=shared.sequence,
        running=shared.running,
        waiting=shared.waiting,
        waiting_tokens=shared.waiting_tokens,
        urgent_tokens=shared.urgent_tokens,
        memory_used=shared.memory_used,
        memory_total=shared.memory_total,
        models=usual if shared.models is None else shared.models,
        draining=shared.draining,
    )


class SharingHost(Struct, frozen=True, kw_only=True):
    """Another host.

    Attributes:
        name: Its name.
        place: Its failure domain.
        address: ``IP:PORT`` on which peers reach it.
        polls: Whether it is alive and therefore polls engines.
    """

    name: HostName
    place: PlaceName
    address: str
    polls: bool = True


# --- Events ---------------------------------------------------------------------------------------


class SharingEvent(Event, frozen=True, kw_only=True):
    """Base of the events of sharing."""


class HostsChanged(SharingEvent, frozen=True, kw_only=True):
    """The set of other hosts that are not dead changed, or this host's failure domain ``place``."""

    place: PlaceName
    hosts: tuple[SharingHost, ...]


class EnginesChanged(SharingEvent, frozen=True, kw_only=True):
    """The engines of the configuration in force changed."""

    engines: tuple[Target, ...]
    places: tuple[Place, ...]


class EnginePolled(SharingEvent, frozen=True, kw_only=True):
    """An engine answered a poll of this host."""

    report: LoadReport


class PollFailed(SharingEvent, frozen=True, kw_only=True):
    """An engine did not answer a poll of this host."""

    target: TargetName


class ReportsReceived(SharingEvent, frozen=True, kw_only=True):
    """Reports arrived from another host."""

    reports: tuple[SharedReport, ...]


class SharingTicked(SharingEvent, frozen=True, kw_only=True):
    """Time passed."""


# --- Effects --------------------------------------------------------------------------------------


class PollEngine(Effect, frozen=True, kw_only=True):
    """Poll an engine for its load; `EnginePolled` or `PollFailed` follows."""

    target: TargetName


class SendReports(Effect, frozen=True, kw_only=True):
    """Send reports to a host; they may be lost."""

    address: str
    message: EngineReports


class DeliverReport(Effect, frozen=True, kw_only=True):
    """Deliver a report to the serving policy.

    Attributes:
        age: Seconds since it arrived at the host that polled the engine.
    """

    report: LoadReport
    age: float


class EngineUnreachable(Effect, frozen=True, kw_only=True):
    """Notify the serving policy that an engine did not answer this host."""

    target: TargetName
