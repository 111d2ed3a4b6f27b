"""Executes effects concurrently, and the effects that follow from their events."""

from asyncio import gather
from collections.abc import Awaitable, Callable
from typing import TypeVar

from azureswitch.core import Effect, Effects

EventT = TypeVar("EventT")
"""The base of a reducer's events."""


async def run_effects(
    effects: Effects,
    *,
    run: Callable[[Effect], Awaitable[EventT | None]],
    reduce: Callable[[EventT], Effects],
) -> None:
    """Execute effects concurrently and pass their events to the reducer, until no effect is left.

    Args:
        effects: The first effects.
        run: Executes an effect and returns its event, or None if there is none.
        reduce: Applies an event and returns further effects.
    """

    async def follow(effect: Effect) -> None:
        event = await run(effect)
        if event is not None:
            await run_effects(reduce(event), run=run, reduce=reduce)

    await gather(*(follow(effect) for effect in effects))
