"""The routing decision for one attempt."""

from msgspec import Struct

from azureswitch.core import TargetName
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._target import Work


class Choice(Struct, frozen=True, kw_only=True):
    """The targets of an attempt and the load that it adds to them.

    Attributes:
        targets: The targets; several if a prompt exceeds one engine's memory or its prefill is
            spread.
        work: Load that it adds to each target.
        cached_tokens: Prompt tokens expected in the target's cache.
        wait: Predicted seconds of other work ahead of it.
        running: Requests that wait or run at the target.
        occupancies: Occupancy that it adds to each target, as reported to peers.
        reserved: Tokens of memory to reserve at each target before the attempt is sent; empty if
            the prompt fits into the first target's memory.
        first_token: Predicted seconds to the first token if the engines' pace is published, else
            zero.
    """

    targets: tuple[TargetName, ...]
    work: Work
    cached_tokens: int
    wait: float
    running: int = 0
    occupancies: tuple[Occupancy, ...] = ()
    reserved: tuple[int, ...] = ()
    first_token: float = 0.0
