"""The settings that inventory and rules files may hold."""

from typing import Any

from msgspec import Struct
from msgspec.structs import fields

from azureswitch.inventory._model import (
    Customer,
    Objective,
    Rules,
    Service,
    ServiceKind,
    TargetRole,
)
from azureswitch.settings import (
    NAME,
    Choice,
    Flag,
    HostPort,
    Integer,
    Items,
    Number,
    Seconds,
    Setting,
    Table,
    Text,
)

SHORTEST_KEY_RETENTION = 86_400.0
"""Seconds for which keys are remembered at least, twice what a claimed call may take."""

LONGEST_KEY_RETENTION = 604_800.0
"""Seconds for which keys are remembered at most; the room for them is limited."""

LONGEST_DEADLINE = 604_800.0
"""Seconds; no request may be given more than a week."""

LARGEST_BODY = 268_435_456
"""Bytes; no deployment may accept larger request bodies."""

LARGEST_MEMORY = 1_000_000_000
"""KV tokens; no engine is expected to hold more."""

HEAVIEST = 1_000.0
"""The greatest weight of a customer."""

_MODEL = Text(
    pattern=r"[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}",
    form="a model's name",
)
_METHOD = Text(pattern=r"[A-Z]{1,16}", form="an HTTP method in capitals")
_HASH = Text(pattern=r"[0-9a-f]{64}", form="a SHA-256 in lower-case hexadecimal")
_ADDRESS = HostPort()
_ROLE = Choice(options=TargetRole)


def _default_of(kind: type[Struct], name: str) -> Any:
    """Return the default of a field, of the field's own type."""
    return next(field.default for field in fields(kind) if field.name == name)


REGION = Setting(
    section="place", key="region", kind=NAME, help="The region that this failure domain is in."
)

SERVICE_KIND = Setting(
    section="service",
    key="kind",
    kind=Choice(options=ServiceKind),
    help="Whether model engines or plain targets stand behind it.",
)
REPEATABLE_METHODS = Setting(
    section="service",
    key="repeatable_methods",
    kind=Items(kind=_METHOD),
    default=_default_of(Service, "repeatable_methods"),
    help="Methods whose calls may be sent again; calls by all others run at most once and need an "
    "`Idempotency-Key`. Unused for model services.",
)

ENGINE_SERVICE = Setting(
    section="engine", key="service", kind=NAME, help="Its service, of kind `model`."
)
ENGINE_PLACE = Setting(
    section="engine", key="place", kind=NAME, help="The failure domain that it runs in."
)
ENGINE_ADDRESS = Setting(
    section="engine", key="address", kind=_ADDRESS, help="Where its HTTP interface listens."
)
ENGINE_MODELS = Setting(
    section="engine",
    key="models",
    kind=Items(kind=_MODEL, least=1),
    help="The models that it serves.",
)
ENGINE_MEMORY = Setting(
    section="engine",
    key="memory",
    kind=Integer(low=1, high=LARGEST_MEMORY),
    unit="tokens of KV cache",
    help="How much its memory holds.",
)
ENGINE_CHECKS_FENCE = Setting(
    section="engine",
    key="checks_fence",
    kind=Flag(),
    help="Whether it refuses an order that carries an old fencing number.",
)
ENGINE_ROLE = Setting(
    section="engine",
    key="role",
    kind=_ROLE,
    default=TargetRole.SERVING,
    help="Whether it takes new work; `azureswitch drain` sets it.",
)

TARGET_SERVICE = Setting(
    section="target", key="service", kind=NAME, help="Its service, of kind `plain`."
)
TARGET_PLACE = Setting(
    section="target", key="place", kind=NAME, help="The failure domain that it runs in."
)
TARGET_ADDRESS = Setting(
    section="target", key="address", kind=_ADDRESS, help="Where its HTTP interface listens."
)
TARGET_ROLE = Setting(
    section="target",
    key="role",
    kind=_ROLE,
    default=TargetRole.SERVING,
    help="Whether it takes new work; `azureswitch drain` sets it.",
)

KEY_HASH = Setting(
    section="customer",
    key="key_hash",
    kind=_HASH,
    help="SHA-256 of its API key, as `azureswitch hash-key` prints it.",
)
WEIGHT = Setting(
    section="customer",
    key="weight",
    kind=Number(low=0.01, high=HEAVIEST),
    default=_default_of(Customer, "weight"),
    help="Its share of a busy fleet beside other busy customers.",
)
LIMIT = Setting(
    section="customer",
    key="limit",
    kind=Number(low=0, high=1_000_000),
    default=_default_of(Customer, "limit"),
    unit="engine seconds per second",
    help="What it may use over the whole fleet; 0 for no limit.",
)

INVENTORY = Table(
    title="Inventory",
    settings=(
        REGION,
        SERVICE_KIND,
        REPEATABLE_METHODS,
        ENGINE_SERVICE,
        ENGINE_PLACE,
        ENGINE_ADDRESS,
        ENGINE_MODELS,
        ENGINE_MEMORY,
        ENGINE_CHECKS_FENCE,
        ENGINE_ROLE,
        TARGET_SERVICE,
        TARGET_PLACE,
        TARGET_ADDRESS,
        TARGET_ROLE,
        KEY_HASH,
        WEIGHT,
        LIMIT,
    ),
    named=frozenset({"place", "service", "engine", "target", "customer"}),
)
"""What an inventory file may hold."""

_DEFAULTS = Rules()
_DEADLINE = Seconds(low=0.1, high=LONGEST_DEADLINE)

OBJECTIVE = Setting(
    section="rules",
    key="objective",
    kind=Choice(options=Objective),
    default=_DEFAULTS.objective,
    help="The measure that weighs more: the slowdown of short requests beside long ones, or the "
    "time to first token across all lengths.",
)
SHORT_DEADLINE = Setting(
    section="rules",
    key="short_deadline",
    kind=_DEADLINE,
    default=_DEFAULTS.short_deadline,
    help="How long a request with a short prompt may take, unless it says so itself.",
)
LONG_DEADLINE = Setting(
    section="rules",
    key="long_deadline",
    kind=_DEADLINE,
    default=_DEFAULTS.long_deadline,
    help="How long a request with a long prompt may take, unless it says so itself.",
)
PLAIN_DEADLINE = Setting(
    section="rules",
    key="plain_deadline",
    kind=_DEADLINE,
    default=_DEFAULTS.plain_deadline,
    help="How long a call to a plain service may take, unless it says so itself.",
)
LONG_PROMPT = Setting(
    section="rules",
    key="long_prompt",
    kind=Integer(low=1, high=LARGEST_MEMORY),
    default=_DEFAULTS.long_prompt,
    unit="tokens",
    help="From which length a prompt counts as long.",
)
LONGEST_PROMPT = Setting(
    section="rules",
    key="longest_prompt",
    kind=Integer(low=1, high=LARGEST_MEMORY),
    default=_DEFAULTS.longest_prompt,
    unit="tokens",
    help="Over which length a prompt is refused; not below `long_prompt`.",
)
BODY_LIMIT = Setting(
    section="rules",
    key="body_limit",
    kind=Integer(low=1_024, high=LARGEST_BODY),
    default=_DEFAULTS.body_limit,
    unit="bytes",
    help="Over which size a request body is refused.",
)
KEY_RETENTION = Setting(
    section="rules",
    key="key_retention",
    kind=Seconds(low=SHORTEST_KEY_RETENTION, high=LONGEST_KEY_RETENTION),
    default=_DEFAULTS.key_retention,
    help="How long an `Idempotency-Key` is remembered, counted from the last change of its state.",
)

RULES = Table(
    title="Rules",
    settings=(
        OBJECTIVE,
        SHORT_DEADLINE,
        LONG_DEADLINE,
        PLAIN_DEADLINE,
        LONG_PROMPT,
        LONGEST_PROMPT,
        BODY_LIMIT,
        KEY_RETENTION,
    ),
)
"""What a rules file may hold."""
