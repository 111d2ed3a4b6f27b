"""An engine to choose from as its account tells it, and what the best choice among some costs."""

from msgspec import Struct

from azureswitch.core import TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving._choice import Choice
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._events import Call
from azureswitch.serving._pace import pass_seconds
from azureswitch.serving._target import TargetState


class Engine(Struct, frozen=True, kw_only=True):
    """An engine to choose from.

    Attributes:
        target: Its state.
        there: What all hosts have there.
        limited: Whether it names a limit of the requests that it takes.
        unheard: Whether it is to be tried, as that limit may have ended.
    """

    target: TargetState
    there: Occupancy
    limited: bool = False
    unheard: bool = False

    @property
    def name(self) -> TargetName:
        """Its name."""
        return self.target.target.name

    @property
    def free_tokens(self) -> int:
        """Tokens of its memory that nobody has taken."""
        return self.target.target.memory - self.there.tokens


class Offer(Struct, frozen=True, kw_only=True):
    """The best choice among some engines.

    Attributes:
        cost: What it costs all who use them.
        choice: The choice.
    """

    cost: float
    choice: Choice


def wait_seconds(there: Occupancy, pace: EnginePace) -> float:
    """Return the seconds until a new prompt is read.

    A pass of the streams and what is read before it; and where all places are taken, the time until
    as many answers have ended as requests wait for one.
    """
    writing = pass_seconds(pace) if there.streams or there.long_streams else pace.step
    waiting = max(0, there.streams + there.long_streams + 1 - pace.slots)
    turn = pace.answer * pace.step / pace.slots
    return writing + there.short_reading + there.reading + waiting * turn


def needed_tokens(call: Call) -> int:
    """Return the tokens of memory that a call may take, its prompt and the longest answer."""
    return call.prompt_tokens + call.output_tokens
