"""Digests that one host of a failure domain gathers for the others of it.

A send has to be known everywhere at once, or two hosts choose the same idle engine.  That one has
ended may be heard a moment late.  So an end goes to one host of each failure domain, which tells
the others of its domain of all that ended in that moment in one message.
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
"""Seconds for which ended sends are gathered; callers of short prompts wait some 0.3 s."""

BUNDLE_BYTES = DATAGRAM_LIMIT - 100
"""Bytes of the digests of one bundle, with room for what stands around them."""


class GatheredDigest(Struct, frozen=True, kw_only=True):
    """A digest that its receiver tells the others of its failure domain of, with more of them."""

    digest: PackedDigest


class DigestBundle(Struct, frozen=True, kw_only=True):
    """Digests of several hosts."""

    digests: tuple[PackedDigest, ...]


class Gathering:
    """The digests that this host is to tell the others of its failure domain of."""

    def __init__(self) -> None:
        self._held: dict[HostName, PackedDigest] = {}

    def add(self, digest: PackedDigest) -> bool:
        """Take a digest in place of an earlier one of its host.

        Returns:
            Whether it is the first one to be told.
        """
        first = not self._held
        known = self._held.get(digest.host)
        if known is None or _age(known) < _age(digest):
            self._held[digest.host] = digest
        return first

    def take(self) -> Iterator[DigestBundle]:
        """Return the digests to tell now, as many messages as they need."""
        held, self._held = self._held, {}
        bundle: list[PackedDigest] = []
        size = 0
        for digest in held.values():
            more = len(encode(digest))
            if bundle and size + more > BUNDLE_BYTES:
                yield DigestBundle(digests=tuple(bundle))
                bundle, size = [], 0
            bundle.append(digest)
            size += more
        if bundle:
            yield DigestBundle(digests=tuple(bundle))


def gatherers(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return who gathers for each failure domain of some hosts; all choose the same ones.

    The ends that one takes with it as it dies are told again with the next send of each host.
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
