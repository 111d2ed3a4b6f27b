"""What the load consists of."""

from enum import Enum

from msgspec import Struct


class CallKind(Enum):
    """The kinds of call."""

    COMPLETION = "completion"
    CHAT = "chat"
    BOOKING = "booking"
    LOOKUP = "lookup"


class Length(Enum):
    """Buckets of prompt length, each with its bounds in tokens."""

    SHORT = ("1k", 500, 4_000)
    MEDIUM = ("10k", 4_000, 32_000)
    LONG = ("100k", 32_000, 320_000)
    HUGE = ("1m", 320_000, 1_000_000)

    @property
    def label(self) -> str:
        """The bucket's name in reports."""
        return self.value[0]

    @property
    def low(self) -> int:
        """The fewest tokens."""
        return self.value[1]

    @property
    def high(self) -> int:
        """The most tokens."""
        return self.value[2]


class Phase(Enum):
    """Whether long prompts share the fleet."""

    ALONE = "alone"
    MIXED = "mixed"


class Caller(Struct, frozen=True, kw_only=True):
    """A customer that sends calls.

    Attributes:
        name: Its name in reports.
        key: Its API key.
        weight: Its share of the calls beside other customers.
    """

    name: str
    key: str
    weight: float = 1.0


class PlannedCall(Struct, frozen=True, kw_only=True):
    """One call.

    Attributes:
        number: Counts the calls of a plan from 1.
        at: When it is sent, in seconds from the start.
        kind: Its kind.
        phase: The phase that it belongs to.
        caller: Who sends it.
        length: The bucket of its prompt; None for plain services.
        document: Which shared document its prompt begins with; None for one of its own, of which
            no engine has anything cached.
        prompt_tokens: Tokens of its prompt; zero for plain services.
        output_tokens: Output tokens asked for; zero for plain services.
        streamed: Whether its answer is streamed.
        timeout: Seconds that it may take.
    """

    number: int
    at: float
    kind: CallKind
    phase: Phase
    caller: Caller
    length: Length | None = None
    document: int | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    streamed: bool = True
    timeout: float
