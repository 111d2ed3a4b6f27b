"""Runs effects that go side by side, and the effects of what comes of them."""

from asyncio import gather
from collections.abc import Awaitable, Callable
from typing import TypeVar

from azureswitch.core import Effect, Effects

Happening = TypeVar("Happening")
"""The events of one part."""


async def run_effects(
    effects: Effects,
    *,
    run: Callable[[Effect], Awaitable[Happening | None]],
    reduce: Callable[[Happening], Effects],
) -> None:
    """Run effects at once, hand the event of each to the reducer, and go on until none is left.

    Args:
        effects: The first effects.
        run: Runs one and returns what happened, or None where nothing is to be told.
        reduce: Takes an event in and returns further effects.
    """

    async def follow(effect: Effect) -> None:
        event = await run(effect)
        if event is not None:
            await run_effects(reduce(event), run=run, reduce=reduce)

    await gather(*(follow(effect) for effect in effects))
