"""What routing decides for one attempt."""

from msgspec import Struct

from azureswitch.core import TargetName
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._target import Work


class Choice(Struct, frozen=True, kw_only=True):
    """Where an attempt goes.

    Attributes:
        targets: The target; several for a prompt larger than one engine's memory.
        work: What it puts on each of them.
        cached_tokens: Prompt tokens expected in the target's cache.
        wait: Engine seconds that stand before it.
        running: Requests that wait or run at the target.
        occupancies: What it puts on each target, as the peers are told.
        reserved: Tokens of memory to be set aside at each target before the attempt is sent;
            nothing where the prompt fits into the first one's memory.
        first_token: Predicted seconds to the first token where the engines' pace is published,
            else zero.
    """

    targets: tuple[TargetName, ...]
    work: Work
    cached_tokens: int
    wait: float
    running: int = 0
    occupancies: tuple[Occupancy, ...] = ()
    reserved: tuple[int, ...] = ()
    first_token: float = 0.0
