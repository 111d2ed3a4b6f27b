"""Keeps long prompts from standing before short ones."""

from xxhash import xxh3_64_intdigest

from azureswitch.core import TargetName
from azureswitch.inventory import Objective, Rules
from azureswitch.serving._events import Call
from azureswitch.serving._fleet import Pool

AGE_SECONDS = 2.0
"""Seconds without a first token after which a long prompt's priority rises by one step."""


def is_short(call: Call, rules: Rules) -> bool:
    """Return whether a call goes before long prompts."""
    return call.prompt_tokens < rules.long_prompt


def priority(call: Call, rules: Rules, *, waited: float) -> int:
    """Return the priority for the engine; smaller runs first.

    Args:
        call: The call.
        rules: The rules in force.
        waited: Seconds since the call arrived.

    Returns:
        Zero for short prompts; for long ones a step per doubling, less a step per ageing period.
    """
    if is_short(call, rules):
        return 0
    steps = 1 + (call.prompt_tokens // rules.long_prompt).bit_length()
    if rules.objective is Objective.FIRST_TOKEN_ALL:
        steps = 1 + steps // 2
    return max(1, steps - int(waited / AGE_SECONDS))


class LongSet:
    """The engines of a pool that take long prompts."""

    def __init__(self) -> None:
        self._shares: dict[Pool, float] = {}

    def members(self, pool: Pool, share: float) -> tuple[TargetName, ...]:
        """Return the engines for long prompts, in an order that all hosts agree on."""
        count = max(1, min(len(pool.targets), round(share * len(pool.targets) + 0.5)))
        return rendezvous(pool)[:count]


def rendezvous(pool: Pool) -> tuple[TargetName, ...]:
    """Return the targets of a pool in an order that depends on their names alone."""
    return tuple(sorted(pool.targets, key=lambda name: xxh3_64_intdigest(name.encode())))
