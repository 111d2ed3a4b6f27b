"""Keeps a target's entry in the platform's store."""

import asyncio
from collections.abc import Callable

import msgspec
from absl import logging

from azureswitch.exceptions import StoreConflictError, StoreError, StoreNotFoundError
from azureswitch.platform import TARGETS_KIND, HttpStore
from azureswitch_standins.target._model import TargetPlan

BEATS_KIND = "beats"
"""Kind of the signs of life; the platform itself keeps them out of sight."""

BEAT_SECONDS = 1.2
"""Seconds between two signs of life, as the platform's settings say."""

PAUSE = 0.2
"""Seconds before another try while the store fails."""

STORE_TIMEOUT = 1.0


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says of itself."""

    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    place: str = msgspec.field(name="Zone")
    release: str = msgspec.field(name="Version", default="1")
    slots: int = msgspec.field(name="Slots")
    state: str = msgspec.field(name="State")
    sequence: int = msgspec.field(name="Sequence")
    born: int
    models: tuple[dict[str, str], ...] = msgspec.field(name="Models", default=())
    cold: int = msgspec.field(name="ColdLeftMs", default=0)


class Registration:
    """The entry of one target.

    Args:
        plan: What the target is.
        address: Where it is reached.
        born: When its process started, in milliseconds of the wall clock.
        sequence: Returns how many orders it has taken since then.
        entered: Called once the store has accepted a state, with whether it is that of leaving.
        cold: Returns for how many seconds it stays cold, or None for one that never is.
    """

    def __init__(
        self,
        *,
        plan: TargetPlan,
        address: str,
        born: int,
        sequence: Callable[[], int],
        entered: Callable[[bool], None],
        cold: Callable[[], float] | None = None,
    ) -> None:
        self._plan = plan
        self._address = address
        self._born = born
        self._sequence = sequence
        self._entered = entered
        self._store = HttpStore(address=plan.store, timeout=STORE_TIMEOUT)
        self._told: bool | None = None
        self._leaving = False
        self._cold = cold
        self._written: tuple[tuple[bool, int | None], bytes] | None = None

    async def run(self) -> None:
        """Keep the entry and beat until cancelled."""
        while True:
            try:
                await self._put(BEATS_KIND, b"0")
                await self._put(TARGETS_KIND, self._entry())
            except StoreError as error:
                logging.info("target: The store was not reached: %s", error)
                await asyncio.sleep(PAUSE)
                continue
            if self._told is not self._leaving:
                self._told = self._leaving
                self._entered(self._leaving)
                continue
            await asyncio.sleep(BEAT_SECONDS)

    async def leave(self) -> None:
        """Say that the target leaves, and return once the store has accepted it."""
        self._leaving = True
        while self._told is not True:
            try:
                await self._put(TARGETS_KIND, self._entry())
                self._told = True
                self._entered(True)
            except StoreError:
                await asyncio.sleep(PAUSE)

    async def remove(self) -> None:
        """Take the entry out, if the store lets it."""
        for kind in (TARGETS_KIND, BEATS_KIND):
            try:
                known = await self._store.get(kind=kind, name=self._plan.name)
                await self._store.delete(kind=kind, name=known.name, version=known.version)
            except StoreError as error:
                # It lapses like that of a target that died.
                logging.info("target: The entry stays for now: %s", error)

    def _entry(self) -> bytes:
        """Return the entry in this state, which a sequence that grows alone does not change."""
        cold = None if self._cold is None else round(1_000.0 * self._cold())
        state = (self._leaving, cold)
        if self._written is None or self._written[0] != state:
            self._written = (state, self._encoded(cold))
        return self._written[1]

    def _encoded(self, cold: int | None) -> bytes:
        plan = self._plan
        return msgspec.json.encode(
            Entry(
                service=plan.service,
                address=self._address,
                place=plan.place,
                slots=plan.slots,
                state="draining" if self._leaving else "in_service",
                sequence=self._sequence(),
                born=self._born,
                models=({"Name": "m"},) if plan.streams else (),
                cold=cold or 0,
            )
        )

    async def _put(self, kind: str, value: bytes) -> None:
        """Create an object, or replace it where it differs; signs of life always differ."""
        name = self._plan.name
        try:
            known = await self._store.get(kind=kind, name=name)
        except StoreNotFoundError:
            try:
                await self._store.create(kind=kind, name=name, value=value)
            except StoreConflictError:
                logging.info("target: A write whose answer was lost has taken effect.")
            return
        if kind == BEATS_KIND:
            value = str(known.version).encode()
        if known.value != value:
            await self._store.update(kind=kind, name=name, value=value, version=known.version)
