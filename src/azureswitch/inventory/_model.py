"""The typed configuration that every host serves by."""

from enum import Enum

from msgspec import Struct

from azureswitch.core import CustomerName, PlaceName, ServiceName, TargetName


class ServiceKind(Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class Objective(Enum):
    """Which of the two measures a deployment weighs more."""

    SHORT_SLOWDOWN = "short_slowdown"
    FIRST_TOKEN_ALL = "first_token_all"


class TargetRole(Enum):
    """Whether a target takes new work."""

    SERVING = "serving"
    DRAINING = "draining"


class Evacuation(Struct, frozen=True, kw_only=True):
    """An operator's request that nothing new be sent to the targets of a failure domain.

    Attributes:
        since: When it was requested, or first seen, in milliseconds of the wall clock.
        author: Who requested it; empty if unknown.
        reason: Why; empty if no reason was given.
        until: When it is expected to end, in milliseconds of the wall clock; zero if unknown.  It
            is shown to operators and does not end the evacuation.
    """

    since: int
    author: str = ""
    reason: str = ""
    until: int = 0


class Place(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A failure domain.

    Attributes:
        name: Its name, unique in the inventory.
        region: The region that it belongs to.
        evacuation: Why its targets get nothing new, or None if they are in use.
    """

    name: PlaceName
    region: str
    evacuation: Evacuation | None = None


class EnginePace(Struct, frozen=True, kw_only=True):
    """How fast the engines of a service work, as published by whoever runs them.

    Attributes:
        step: Seconds that a step of the batch takes, in which each stream gets a token.
        stream_step: Seconds that each stream adds to a step.
        context_step: Seconds that each token of the streams' contexts adds to a step.
        read_rate: Prompt tokens read a second.
        pair: Seconds that each pair of a prompt token and an earlier one adds to reading.
        stride: Steps of a pass in which streams are written; new work waits for its end.
        slots: Requests that run at once; further ones wait.
        memory: Tokens of KV memory of one engine.
        answer: Tokens of a usual answer.
        report_lag: Seconds by which an engine's report of its load is late.
    """

    step: float
    stream_step: float = 0.0
    context_step: float = 0.0
    read_rate: float
    pair: float = 0.0
    stride: int = 1
    slots: int
    memory: int
    answer: int = 0
    report_lag: float = 0.0


class Warmup(Struct, frozen=True, kw_only=True):
    """How the targets of a service behave while they are cold.

    Attributes:
        seconds: How long a target is cold after it starts.
        rate: Requests per second that a cold target bears from all hosts together.
    """

    seconds: float
    rate: float


class Service(Struct, frozen=True, kw_only=True):
    """A group of targets that serve the same calls.

    Attributes:
        name: Its name, unique in the inventory.
        kind: Whether model engines or plain targets stand behind it.
        repeatable_methods: HTTP methods whose calls may be sent again, such as ``GET``.  All others
            are non-idempotent and are claimed before they are sent.  Unused for model services,
            whose calls may always be sent again.
        pace: How fast its engines work, or None where that is learnt from what they do.
        warmup: How its targets behave while they are cold, or None if they bear full load at once.
    """

    name: ServiceName
    kind: ServiceKind
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    pace: EnginePace | None = None
    warmup: Warmup | None = None


class Target(Struct, frozen=True, kw_only=True):
    """An engine of a model service or an instance of a plain service.

    Attributes:
        name: Its name, unique in the inventory.
        service: The service that it belongs to.
        place: The failure domain that it runs in.
        address: ``IP:PORT`` of its HTTP interface.
        role: Whether it takes new work.
        models: The models that it serves; empty for plain targets.
        memory: KV memory in tokens; zero for plain targets.
        checks_fence: Whether it refuses orders with an old fencing number.
        started: When its process started, in milliseconds of the wall clock; zero where it does not
            say.  A target that starts again under its name holds nothing of what it held before.
        cold: Seconds for which it stays cold, as listed; None where it does not say.
        entry_version: Version of the entry that says so; later entries have greater ones.
    """

    name: TargetName
    service: ServiceName
    place: PlaceName
    address: str
    role: TargetRole = TargetRole.SERVING
    models: tuple[str, ...] = ()
    memory: int = 0
    checks_fence: bool = True
    started: int = 0
    cold: float | None = None
    entry_version: int = 0


class Customer(Struct, frozen=True, kw_only=True):
    """Who sends requests and is limited and weighed as one.

    Attributes:
        name: Its name, unique in the inventory.
        key_hash: SHA-256 of its API key, in lower-case hexadecimal.
        weight: Its share of the fleet beside other busy customers.
        limit: Engine seconds per second over the whole fleet that it may use; zero for no limit.
    """

    name: CustomerName
    key_hash: str
    weight: float = 1.0
    limit: float = 0.0


class Rules(Struct, frozen=True, kw_only=True):
    """The few rules on top of the inventory.

    Attributes:
        objective: The measure that this deployment weighs more.
        short_deadline: Seconds that a request with a short prompt may take by default.
        long_deadline: Seconds that a request with a long prompt may take by default.
        plain_deadline: Seconds that a call to a plain service may take by default.
        long_prompt: Prompt tokens from which a request counts as long.
        longest_prompt: Prompt tokens over which a request is refused.
        body_limit: Bytes of a request body over which it is refused.
        key_retention: Seconds for which an Idempotency-Key is remembered.
    """

    objective: Objective = Objective.SHORT_SLOWDOWN
    short_deadline: float = 60.0
    long_deadline: float = 1800.0
    plain_deadline: float = 10.0
    long_prompt: int = 32_000
    longest_prompt: int = 1_100_000
    body_limit: int = 16_777_216
    key_retention: float = 86_400.0


class Inventory(Struct, frozen=True, kw_only=True):
    """What the operators keep in their asset register."""

    places: tuple[Place, ...] = ()
    services: tuple[Service, ...] = ()
    targets: tuple[Target, ...] = ()
    customers: tuple[Customer, ...] = ()


class Snapshot(Struct, frozen=True, kw_only=True):
    """One accepted revision of the whole configuration.

    Attributes:
        revision: Its number; later revisions have greater numbers.
        inventory: Places, services, targets and customers.
        rules: The rules on top.
    """

    revision: int
    inventory: Inventory
    rules: Rules
