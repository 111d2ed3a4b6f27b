"""Candidate engines, scored choices, and the estimates that both rely on."""

from msgspec import Struct

from azureswitch.core import TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving._choice import Choice
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._events import Call
from azureswitch.serving._pace import pass_seconds
from azureswitch.serving._target import TargetState


class Engine(Struct, frozen=True, kw_only=True):
    """A candidate engine.

    Attributes:
        target: Its state.
        occupancy: Its occupancy by requests of all hosts.
        limited: Whether it has announced a limit on requests, or is cold and therefore limited.
        probe: Whether it should be probed, as its limit may have ended.
        cold: Whether it is cold.
    """

    target: TargetState
    occupancy: Occupancy
    limited: bool = False
    probe: bool = False
    cold: bool = False

    @property
    def name(self) -> TargetName:
        """Name of the target."""
        return self.target.target.name

    @property
    def free_tokens(self) -> int:
        """Unoccupied memory in tokens."""
        return self.target.target.memory - self.occupancy.tokens


class ScoredChoice(Struct, frozen=True, kw_only=True):
    """The best choice among some engines, with its cost.

    Attributes:
        cost: Cost to the call and to other streams, in units of one late short stream.
        choice: The choice.
    """

    cost: float
    choice: Choice


def wait_seconds(occupancy: Occupancy, pace: EnginePace) -> float:
    """Return the predicted seconds until the prefill of a new prompt begins.

    This is one decode pass and the prefill queued before it.  If all slots are taken, the
    mean time until a slot is free is added for each waiting request, this one included.
    """
    writing = pass_seconds(pace) if occupancy.streams or occupancy.long_streams else pace.step
    waiting = max(0, occupancy.streams + occupancy.long_streams + 1 - pace.slots)
    turn = pace.answer * pace.step / pace.slots
    return writing + occupancy.short_reading + occupancy.reading + waiting * turn


def needed_tokens(call: Call) -> int:
    """Return the tokens of memory that a call needs for its prompt and the longest answer."""
    return call.prompt_tokens + call.output_tokens
