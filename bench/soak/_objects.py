"""Objects of the store that an operator or another program writes."""

import asyncio

from azureswitch.exceptions import StoreConflictError, StoreError, StoreNotFoundError
from bench.soak._fleet import Fleet

PAUSE = 0.1
"""Seconds before another try while the store fails."""


async def put(fleet: Fleet, kind: str, name: str, value: bytes | None) -> None:
    """Write an object, or remove it, and go on until the store has accepted it.

    Args:
        fleet: The processes.
        kind: The object's kind.
        name: Its name.
        value: Its content, or None to remove it.
    """
    while not await _tried(fleet, kind, name, value):
        await asyncio.sleep(PAUSE)


async def _tried(fleet: Fleet, kind: str, name: str, value: bytes | None) -> bool:
    store = fleet.store
    try:
        known = await store.get(kind=kind, name=name)
        if value is None:
            await store.delete(kind=kind, name=name, version=known.version)
        elif known.value != value:
            await store.update(kind=kind, name=name, value=value, version=known.version)
    except StoreNotFoundError:
        return value is None or await _created(fleet, kind, name, value)
    except StoreError:
        # Whether it took effect shows the next reading.
        return False
    finally:
        store.close()
    return True


async def _created(fleet: Fleet, kind: str, name: str, value: bytes) -> bool:
    store = fleet.store
    try:
        await store.create(kind=kind, name=name, value=value)
    except StoreConflictError:
        return True
    except StoreError:
        return False
    finally:
        store.close()
    return True
