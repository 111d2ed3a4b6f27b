"""Calls that every store that holds ``a/x`` at its first version must refuse."""

from collections.abc import Awaitable, Callable

from azureswitch.exceptions import (
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
    StoreValueTooLargeError,
)
from azureswitch.ports import Store

Call = Callable[[Store], Awaitable[object]]

TOO_LARGE = 1_000_001
"""Size of the smallest value over the limit, in bytes."""

REFUSALS: list[tuple[Call, type[StoreError]]] = [
    (lambda s: s.get(kind="a", name="y"), StoreNotFoundError),
    (lambda s: s.create(kind="a", name="x", value=b""), StoreConflictError),
    (lambda s: s.create(kind="a", name="y", value=bytes(TOO_LARGE)), StoreValueTooLargeError),
    (lambda s: s.update(kind="a", name="x", value=b"", version=9), StoreConflictError),
    (lambda s: s.update(kind="a", name="y", value=b"", version=1), StoreNotFoundError),
    (lambda s: s.delete(kind="a", name="x", version=9), StoreConflictError),
    (lambda s: s.delete(kind="a", name="y", version=1), StoreNotFoundError),
]
"""Each call with the error that it must raise."""
