"""Holds memory on engines for a prompt that is larger than one of them.

Memory is set aside for a few seconds and renewed while it is in use.  So what a process held that
died, or what an engine sets aside late, after its caller has given up, is free again within
`HOLD_SECONDS` without anybody's doing.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager

from absl import logging
from msgspec import Struct

from azureswitch.core import CallId, TargetName
from azureswitch.exceptions import TargetError
from azureswitch.gateway._ports import Reservations
from azureswitch.tasks import Tasks

HOLD_SECONDS = 3.5
"""Seconds for which memory is set aside; it must be free 4 s after its last use."""

RENEW_SECONDS = 1.4
"""Seconds between two renewals, so that one may be lost."""


RELEASE_SECONDS = 0.2
"""Seconds for which an attempt waits for what earlier ones of its call held to be free, at most."""


class Ticket(Struct, frozen=True, kw_only=True):
    """Memory set aside on one engine.

    Attributes:
        id: Its id, unique over all hosts.
        target: The engine.
        started: Its start, in milliseconds of its wall clock, or zero where it does not say.
        address: ``IP:PORT`` of the engine.
        tokens: How much.
    """

    id: str
    target: TargetName
    started: int
    address: str
    tokens: int


class Tickets:
    """Sets memory aside, all or nothing.

    Args:
        reservations: The engines' own way of doing so.
        started: Returns the start known of an engine, or zero.
    """

    def __init__(self, *, reservations: Reservations, started: Callable[[TargetName], int]) -> None:
        self._reservations = reservations
        self._started = started
        self._tasks = Tasks(prefix="tickets")
        self._releases: dict[CallId, set[asyncio.Task[None]]] = {}
        self._held = 0

    @property
    def held(self) -> int:
        """How many tickets are held now."""
        return self._held

    async def stop(self, *, timeout: float) -> None:
        """Release what is held no more, for some seconds at most, and call off the rest."""
        await self._tasks.settle(timeout=timeout)
        await self._tasks.stop(timeout=timeout)

    @asynccontextmanager
    async def hold(self, tickets: Iterable[Ticket], *, call: CallId) -> AsyncIterator[None]:
        """Hold memory for as long as the block runs.

        Nothing waits for memory that others hold: two hosts that each have a part of what the
        other one needs would wait for ever.  What earlier attempts of the same request held is
        about to be free, and is waited for.

        Args:
            tickets: The memory.
            call: The request that needs it.

        Raises:
            TargetError: An engine has no room or does not answer; nothing is held then.
        """
        wanted = tuple(tickets)
        if not wanted:
            yield
            return
        renewals: asyncio.Task[None] | None = None
        self._held += len(wanted)
        try:
            await self._until_released(call)
            await self._reserve(wanted)
            renewals = asyncio.create_task(self._renew(wanted))
            yield
        finally:
            self._held -= len(wanted)
            if renewals is not None:
                renewals.cancel()
            # In the background, since the block may be left because its task is called off.
            self._give_back(wanted, call=call)

    async def _until_released(self, call: CallId) -> None:
        """Wait a moment until memory that earlier attempts of a request held is free."""
        if call in self._releases:
            await asyncio.wait(self._releases[call], timeout=RELEASE_SECONDS)

    def _give_back(self, tickets: tuple[Ticket, ...], *, call: CallId) -> None:
        task = self._tasks.spawn(self._release(tickets), name="release")
        self._releases.setdefault(call, set()).add(task)
        task.add_done_callback(lambda done: self._forget(call, done))

    def _forget(self, call: CallId, task: asyncio.Task[None]) -> None:
        under_way = self._releases[call]
        under_way.discard(task)
        if not under_way:
            del self._releases[call]

    async def _reserve(self, tickets: tuple[Ticket, ...]) -> None:
        results = await asyncio.gather(
            *(self._reserve_one(ticket) for ticket in tickets), return_exceptions=True
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result

    async def _reserve_one(self, ticket: Ticket) -> None:
        await self._reservations.reserve(
            address=ticket.address, ticket=ticket.id, tokens=ticket.tokens, seconds=HOLD_SECONDS
        )

    async def _renew(self, tickets: tuple[Ticket, ...]) -> None:
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            try:
                await self._reserve(tuple(filter(self._is_held, tickets)))
            except TargetError as error:
                # The next renewal comes in time; without it the engine ends the request itself.
                logging.warning("tickets: Memory was not renewed: %s", error)

    def _is_held(self, ticket: Ticket) -> bool:
        """Return whether an engine may still hold a ticket.

        One that has started again holds nothing, and would take a renewal for a new reservation:
        memory that nobody uses, until the attempt ends.  A release is harmless there.
        """
        return not 0 < ticket.started < self._started(ticket.target)

    async def _release(self, tickets: tuple[Ticket, ...]) -> None:
        """Free memory on all engines at once; one that does not answer holds up no other."""
        await asyncio.gather(*map(self._release_one, tickets))

    async def _release_one(self, ticket: Ticket) -> None:
        try:
            await self._reservations.release(address=ticket.address, ticket=ticket.id)
        except TargetError as error:
            # It is free after `HOLD_SECONDS` all the same.
            logging.info("tickets: Ticket %s was not released: %s", ticket.id, error)
