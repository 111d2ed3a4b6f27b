"""Reserves memory on engines for prompts that are larger than one engine.

A reservation is a lease of a few seconds that is renewed while in use.  The reservations of a
process that died, or one that an engine made after its caller gave up, thus expire within
`HOLD_SECONDS`.
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
"""Lease duration in seconds; memory must be free 4 s after its last use."""

RENEW_SECONDS = 1.4
"""Seconds between renewals."""

RENEW_AGAIN_SECONDS = 0.2
"""Seconds after a failed renewal until the next one.

An engine may be silent for two seconds and go on; its memory must be renewed before the lease ends.
"""

RELEASE_SECONDS = 0.2
"""Maximum wait in seconds for memory of earlier attempts of the same call to be released."""


class Ticket(Struct, frozen=True, kw_only=True):
    """A memory reservation on one engine.

    Attributes:
        id: The id, unique across all hosts.
        target: The engine.
        started: The engine's start, in milliseconds of its wall clock, or zero if unknown.
        address: ``IP:PORT`` of the engine.
        tokens: The reserved memory, in tokens.
    """

    id: str
    target: TargetName
    started: int
    address: str
    tokens: int


class Tickets:
    """Reserves memory on several engines, all or nothing.

    Args:
        reservations: The reservation calls of the engines.
        started: Returns the known start of an engine, or zero.
    """

    def __init__(self, *, reservations: Reservations, started: Callable[[TargetName], int]) -> None:
        self._reservations = reservations
        self._started = started
        self._tasks = Tasks(prefix="tickets")
        self._releases: dict[CallId, set[asyncio.Task[None]]] = {}
        self._held = 0

    @property
    def held(self) -> int:
        """The number of tickets held."""
        return self._held

    async def stop(self, *, timeout: float) -> None:
        """Wait for pending releases, then cancel the rest; each step takes up to ``timeout`` s."""
        await self._tasks.settle(timeout=timeout)
        await self._tasks.stop(timeout=timeout)

    @asynccontextmanager
    async def hold(
        self,
        tickets: Iterable[Ticket],
        *,
        call: CallId,
        check: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[None]:
        """Hold memory while the block runs.

        Memory held by other requests is not waited for, since two hosts that each hold part of
        what the other needs would deadlock.  Memory held by earlier attempts of the same request
        is about to be released, and is waited for.

        Args:
            tickets: The reservations to make.
            call: The request that needs them.
            check: Called before memory is reserved; raises if that is no longer permitted.

        Raises:
            TargetError: An engine has no room or does not answer; nothing stays reserved.
        """
        wanted = tuple(tickets)
        if not wanted:
            yield
            return
        renewals: list[asyncio.Task[None]] = []
        self._held += len(wanted)
        try:
            await self._wait_for_releases(call)
            check()
            await self._reserve(wanted)
            renewals += [asyncio.create_task(self._renew(ticket)) for ticket in wanted]
            yield
        finally:
            self._held -= len(wanted)
            for renewal in renewals:
                renewal.cancel()
            # In the background, since the block may be left by cancellation of its task.
            self._release_in_background(wanted, call=call)

    async def _wait_for_releases(self, call: CallId) -> None:
        """Wait briefly for the releases of earlier attempts of the same request."""
        if call in self._releases:
            await asyncio.wait(self._releases[call], timeout=RELEASE_SECONDS)

    def _release_in_background(self, tickets: tuple[Ticket, ...], *, call: CallId) -> None:
        task = self._tasks.spawn(self._release(tickets), name="release")
        self._releases.setdefault(call, set()).add(task)
        task.add_done_callback(lambda done: self._forget(call, done))

    def _forget(self, call: CallId, task: asyncio.Task[None]) -> None:
        pending = self._releases[call]
        pending.discard(task)
        if not pending:
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

    async def _renew(self, ticket: Ticket) -> None:
        """Renew a reservation until cancelled; one that fails is repeated soon."""
        pause = RENEW_SECONDS
        while True:
            await asyncio.sleep(pause)
            renewed = not self._is_held(ticket) or await self._renew_once(ticket)
            pause = RENEW_SECONDS if renewed else RENEW_AGAIN_SECONDS

    async def _renew_once(self, ticket: Ticket) -> bool:
        """Renew a reservation once and return whether the engine confirmed it."""
        try:
            await self._reserve_one(ticket)
        except TargetError as error:
            logging.warning("tickets: Memory was not renewed: %s", error)
        except Exception:
            logging.exception("tickets: Renewing ticket %s failed.", ticket.id)
        else:
            return True
        return False

    def _is_held(self, ticket: Ticket) -> bool:
        """Return whether an engine may still hold a ticket.

        A restarted engine holds nothing and would treat a renewal as a new reservation, which
        would block unused memory until the attempt ends.  A release is harmless there.
        """
        return not 0 < ticket.started < self._started(ticket.target)

    async def _release(self, tickets: tuple[Ticket, ...]) -> None:
        """Release memory on all engines concurrently; an unresponsive one delays no other."""
        await asyncio.gather(*map(self._release_one, tickets))

    async def _release_one(self, ticket: Ticket) -> None:
        try:
            await self._reservations.release(address=ticket.address, ticket=ticket.id)
        except TargetError as error:
            # The lease expires after `HOLD_SECONDS` anyway.
            logging.info("tickets: Ticket %s was not released: %s", ticket.id, error)
