"""Long work on the event loop, done in slices between which everything else has its turn.

Such work is a generator that yields wherever it may be interrupted: whether it must be there, as a
long step follows.
"""

from asyncio import sleep
from collections.abc import Generator
from typing import TypeAlias, TypeVar

from azureswitch.clock import elapsed

T = TypeVar("T")

GO_ON = False
"""What work yields where it need not be interrupted."""

Steps: TypeAlias = Generator[bool, None, T]

SLICE_SECONDS = 0.004
"""Seconds after which work lets others have their turn.

An adoption may hold the loop for 20 ms; of its steps the longest take 8 ms of a core.
"""


def run_slice(work: Steps[object]) -> bool:
    """Go on with work for a slice, and return whether it is done."""
    end = elapsed() + SLICE_SECONDS
    return all(not pause and elapsed() < end for pause in work)


async def run_in_slices(work: Steps[T]) -> T:
    """Do work in slices between which all others have their turn, and return its result."""
    end = elapsed() + SLICE_SECONDS
    while True:
        try:
            pause = next(work)
        except StopIteration as done:
            result: T = done.value
            return result
        if pause or elapsed() >= end:
            await sleep(0)
            end = elapsed() + SLICE_SECONDS


def finish(work: Steps[T]) -> T:
    """Do all of the work at once and return its result."""
    while True:
        try:
            next(work)
        except StopIteration as end:
            result: T = end.value
            return result
