"""Digests that one host of a failure domain collects and forwards to the others in one message.

A send must be announced to all hosts at once, as otherwise two hosts choose the same idle engine.
The end of a send may be known slightly later.  So it is announced to one host of each failure
domain, which forwards all ends of a short period to the other hosts of its domain together.
"""

from collections.abc import Iterable, Iterator

from msgspec import Struct
from msgspec.msgpack import encode

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.sharing._digest import PackedDigest
from azureswitch.core import HostName, PlaceName
from azureswitch.hashing import ranked
from azureswitch.ports import DATAGRAM_LIMIT

GATHER_SECONDS = 0.05
"""Seconds for which ended sends are collected; callers of short prompts wait about 0.3 s."""

MAX_BUNDLE_BYTES = DATAGRAM_LIMIT - 100
"""Upper bound of the bytes of a bundle's digests; the rest of a datagram is for the envelope."""


class GatheredDigest(Struct, frozen=True, kw_only=True):
    """A digest that its receiver forwards, with others, to the hosts of its failure domain."""

    digest: PackedDigest


class DigestBundle(Struct, frozen=True, kw_only=True):
    """Digests of several hosts."""

    digests: tuple[PackedDigest, ...]


class Gathering:
    """The digests that this host will forward to the other hosts of its failure domain."""

    def __init__(self) -> None:
        self._held: dict[HostName, PackedDigest] = {}

    def add(self, digest: PackedDigest) -> bool:
        """Add a digest; it replaces an earlier one of the same host.

        Returns:
            Whether it is the first one since the last call of `take`.
        """
        first = not self._held
        known = self._held.get(digest.host)
        if known is None or _age(known) < _age(digest):
            self._held[digest.host] = digest
        return first

    def take(self) -> Iterator[DigestBundle]:
        """Remove the collected digests and yield them in bundles."""
        held, self._held = self._held, {}
        bundle: list[PackedDigest] = []
        size = 0
        for digest in held.values():
            more = len(encode(digest))
            if bundle and size + more > MAX_BUNDLE_BYTES:
                yield DigestBundle(digests=tuple(bundle))
                bundle, size = [], 0
            bundle.append(digest)
            size += more
        if bundle:
            yield DigestBundle(digests=tuple(bundle))


def gatherers(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the host that collects for each failure domain; all hosts choose the same ones.

    Ends that are lost because such a host dies are announced again with the next send of each host.
    """
    by_place: dict[PlaceName, dict[HostName, Member]] = {}
    for member in members:
        by_place.setdefault(member.place, {})[member.incarnation.host] = member
    return tuple(_gatherer(place, hosts) for place, hosts in by_place.items())


def _gatherer(place: PlaceName, hosts: dict[HostName, Member]) -> Member:
    alive = [name for name, member in hosts.items() if member.status is MemberStatus.ALIVE]
    return hosts[ranked(name=f"digests {place}", hosts=alive or hosts)[0]]


def _age(digest: PackedDigest) -> tuple[int, int]:
    return digest.started, digest.sequence
