"""The compact form in which a configuration is stored and sent between hosts."""

from operator import attrgetter
from zlib import compress, decompressobj
from zlib import error as ZlibError  # noqa: N812

from msgspec import DecodeError, Struct, ValidationError, json
from msgspec.structs import replace

from azureswitch.exceptions import (
    SettingsError,
    SnapshotTooLargeError,
    SnapshotUnreadableError,
)
from azureswitch.inventory._check import check
from azureswitch.inventory._model import Inventory, Rules, Snapshot

SNAPSHOT_LIMIT = 1_000_000
"""Bytes of an encoded configuration, as the store permits."""

EXPANDED_LIMIT = 16_000_000
"""Bytes that an encoded configuration may have before compression."""

_LEVEL = 6
"""zlib's level; higher ones save little and cost much."""


class _Body(Struct, frozen=True, kw_only=True):
    inventory: Inventory
    rules: Rules


def canonical(inventory: Inventory) -> Inventory:
    """Return the inventory with each kind of entry in the order of its names."""
    by_name = attrgetter("name")
    return replace(
        inventory,
        places=tuple(sorted(inventory.places, key=by_name)),
        services=tuple(sorted(inventory.services, key=by_name)),
        targets=tuple(sorted(inventory.targets, key=by_name)),
        customers=tuple(sorted(inventory.customers, key=by_name)),
    )


def encode(*, inventory: Inventory, rules: Rules) -> bytes:
    """Return the body of a configuration.

    Equal configurations have equal bodies, in whatever order their entries stand.

    Args:
        inventory: Places, services, targets and customers.
        rules: The rules on top.

    Returns:
        The body.

    Raises:
        SnapshotTooLargeError: The body is over `SNAPSHOT_LIMIT`.
    """
    expanded = json.encode(_Body(inventory=canonical(inventory), rules=rules))
    body = compress(expanded, _LEVEL)
    if len(expanded) > EXPANDED_LIMIT:
        raise SnapshotTooLargeError(size=len(expanded), limit=EXPANDED_LIMIT)
    if len(body) > SNAPSHOT_LIMIT:
        raise SnapshotTooLargeError(size=len(body), limit=SNAPSHOT_LIMIT)
    return body


def decode(body: bytes, *, revision: int) -> Snapshot:
    """Return the snapshot of a body.

    Fields that a newer version of the software has added are passed over.

    Args:
        body: What `encode` returned.
        revision: The revision under which it was accepted.

    Returns:
        The snapshot.

    Raises:
        SnapshotUnreadableError: The body is not a configuration, or its entries do not fit.
    """
    try:
        content = json.decode(_expand(body), type=_Body)
        check(content.inventory, file="")
    except (DecodeError, ValidationError, UnicodeDecodeError, ZlibError, SettingsError) as error:
        raise SnapshotUnreadableError(revision=revision) from error
    return Snapshot(revision=revision, inventory=content.inventory, rules=content.rules)


def _expand(body: bytes) -> bytes:
    stream = decompressobj()
    expanded = stream.decompress(body, EXPANDED_LIMIT)
    if not stream.eof:
        raise ZlibError
    return expanded
