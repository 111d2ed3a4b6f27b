"""The hosts that commit the claims of a shard; their choice affects cost only, not safety."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from azureswitch.coordination.membership import Member, MemberStatus


def owners(*, shard: int, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return live members in the order in which they own a shard, by rendezvous hashing."""
    live = [member for member in members if member.status is MemberStatus.ALIVE]
    return tuple(sorted(live, key=lambda member: _weight(shard, member), reverse=True))


def _weight(shard: int, member: Member) -> int:
    return xxh3_64_intdigest(f"{shard}/{member.incarnation.host}".encode())
