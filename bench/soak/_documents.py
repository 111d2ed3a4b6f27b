"""The documents of the users' platform that a run needs: configuration and settings."""

from pathlib import Path

import msgspec

KEYS = {"ann": "key-ann", "bob": "key-bob"}
EXTRA_KEY = "key-extra"
"""A key of ann's that comes and goes."""

HOST_HEADER = "a.example"
POOL = "pool"
DESK = "desk"
SCRIBE = "scribe"
CLERK = "clerk"
"""Services of slow targets: a model engine, and two of a plain service."""

STREAMING = frozenset((POOL, SCRIBE))
ZONES = ("z1", "z2", "z3")
GRACE_SECONDS = 8.0
DRAIN_SECONDS = 2.0
APPLY_SECONDS = 2.0
RETRY_RATIO = 0.2
RETRY_SLACK = 40
RETRY_WINDOW = 10.0
MEMORY = 405_000

MEMORY_MB = 300
"""Megabytes beyond which a host is killed."""

MAX_FDS = 4_200
"""File descriptors that a host may have open."""

TIMEOUT = 6_000
"""Milliseconds of the timeout of most routes."""

IDLE_LIMIT = 9_000
"""Milliseconds for which a caller's connection may be idle."""


class HostLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What the process of a host may use.

    Attributes:
        memory_mb: Megabytes beyond which it is killed.
        descriptors: File descriptors that it may have open.
    """

    memory_mb: int = MEMORY_MB
    descriptors: int = MAX_FDS


HOST_LIMITS = HostLimits()


class Layout(msgspec.Struct, frozen=True, kw_only=True):
    """What a configuration holds beside its version and keys.

    Attributes:
        idle_routes: Routes beside those that are used.
        timeout: Milliseconds of the timeout of most routes.
        idle: Milliseconds for which a caller's connection may be idle.
        absent: The path prefix of a route that is left out, or nothing.
        label: What the names of routes end with.
    """

    idle_routes: int = 0
    timeout: int = TIMEOUT
    idle: int = IDLE_LIMIT
    absent: str = ""
    label: str = ""


def configuration(*, version: int, extra: bool, layout: Layout) -> bytes:
    """Return a configuration.

    Args:
        version: Its version.
        extra: Whether the extra key is valid.
        layout: What else it holds.
    """
    timeout = layout.timeout
    routes = [
        _route(
            *("/ask/", "streaming", POOL),
            StreamResume=True,
            GapTargetMs=250,
            Sticky=True,
            TimeoutMs=timeout,
        ),
        _route(
            *("/once/", "streaming", POOL),
            MaxAttempts=1,
            GapTargetMs=250,
            Sticky=True,
            TimeoutMs=timeout,
        ),
        _route("/book/", "non_idempotent", DESK, MaxAttempts=1, TimeoutMs=timeout),
        _route("/look/", "idempotent", DESK, TimeoutMs=timeout),
        _route(
            *("/long/", "streaming", SCRIBE),
            MaxAttempts=1,
            GapTargetMs=2_000,
            Sticky=True,
            TimeoutMs=15_000,
        ),
        _route("/slow/", "idempotent", CLERK, TimeoutMs=15_000),
        *(_route(f"/idle-{n}/", "idempotent", DESK) for n in range(layout.idle_routes)),
    ]
    routes = [
        {**route, "Name": f"{route['Name']}{layout.label}"}
        for route in routes
        if route["PathPrefix"] != layout.absent
    ]
    pace = {
        "Slots": 8,
        "KvCapacity": MEMORY,
        "Stride": 34,
        "step_ms": 1.31,
        "read_per_s": 1_540_000.0,
        "usual": {"answer": 1266},
    }
    keys = {name: [key] for name, key in KEYS.items()}
    if extra:
        keys["ann"].append(EXTRA_KEY)
    document = {
        "Version": version,
        "Routes": routes,
        "Services": [
            *({"Name": name, "Engine": pace} for name in (POOL, SCRIBE)),
            *({"Name": name} for name in (DESK, CLERK)),
        ],
        "Limits": {"IdleTimeoutMs": layout.idle},
        "Tenants": [{"Name": name, "ApiKeys": held} for name, held in keys.items()],
    }
    return msgspec.json.encode(document)


def _route(prefix: str, kind: str, service: str, **more: object) -> dict[str, object]:
    fields: dict[str, object] = {
        "Name": prefix,
        "Host": HOST_HEADER,
        "PathPrefix": prefix,
        "Kind": kind,
        "Service": service,
        "TimeoutMs": TIMEOUT,
        "TargetLatencyMs": 300,
        "MaxAttempts": 2,
    }
    return {**fields, **more}


def target_entry(*, service: str, address: str, place: str, **more: object) -> bytes:
    """Return the store's entry of a target, with all fields that the platform requires.

    Args:
        service: Its service.
        address: ``IP:PORT`` of its HTTP interface.
        place: Its failure domain.
        more: Further fields, or other values of those.
    """
    fields: dict[str, object] = {
        "Service": service,
        "Address": address,
        "Zone": place,
        "Version": "1",
        "Slots": 8,
        "State": "in_service",
        "ColdLeftMs": 0,
        "Sequence": 0,
        **more,
    }
    return msgspec.json.encode(fields)


def write_settings(
    path: Path,
    *,
    name: str,
    ip: str,
    zone: str,
    ports: int,
    store: str,
    contracts: tuple[str, ...] = (),
    limits: HostLimits = HOST_LIMITS,
) -> None:
    """Write the settings file of a host, in one step as a platform does.

    Args:
        path: The file.
        name: The host's name.
        ip: Its IP address.
        zone: Its failure domain.
        ports: The first of its ports.
        store: ``IP:PORT`` of the store.
        contracts: The parts of the users' rules that are in force.
        limits: What the process may use.
    """
    active = f"ActiveContracts = {list(contracts)}" if contracts else ""
    zones = "\n".join(f'{item} = "r"' for item in ZONES)
    text = f"""
NodeName = "{name}"
Ip = "{ip}"
Zone = "{zone}"
InternalPorts = [{ports + 3}, {ports + 9}]
{active}
[Zones]
{zones}
[ListenAddrs]
Front = "{ip}:{ports}"
Ready = "{ip}:{ports + 1}"
[Limits]
MemoryMb = {limits.memory_mb}
MaxFds = {limits.descriptors}
[Bounds]
DrainMs = {DRAIN_SECONDS * 1_000:.0f}
GraceS = {GRACE_SECONDS:.0f}
BudgetRatio = {RETRY_RATIO}
RetrySlack = {RETRY_SLACK}
[Platform]
Address = "{store}"
"""
    fresh = path.with_suffix(".new")
    fresh.write_text(text, encoding="utf-8")
    fresh.replace(path)
