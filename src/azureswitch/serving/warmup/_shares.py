"""The hosts that may send to a limited target, and this host's token bucket for each.

At a rate of r requests per second a subset of the hosts may send to a target, so that each of them
has more than one request per second.  Hosts agree on the subset by rendezvous hashing, without any
message.
"""

from math import floor

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from azureswitch.core import HostName, TargetName
from azureswitch.hashing import ranked

HOST_RATE = 2.0
"""Requests per second of each host of the subset: one in its bucket, and one to refill it.

With less than one request per second to refill it, a host could not send again within a second.
"""

MAX_UNTRUSTED_RATE = 1.0
"""Most tokens per second of a host that cannot trust its ranking.

How many such hosts draw the same target varies by chance and can be twice the number wanted, so
each of them gets less than a host of a ranked subset.
"""

BUCKET_CAPACITY = 1.0
"""Requests that a bucket holds, so that a host that was frozen sends at most one at once."""

HASH_RANGE = 2.0**64
"""Number of values of the hash by which a host that cannot trust its ranking decides."""


class _Bucket(Struct, kw_only=True):
    """A token bucket.

    Attributes:
        tokens: Requests that may be sent, as of ``at``.
        at: When it was last refilled.
    """

    tokens: float
    at: float


class Shares:
    """This host's share of the rates of limited targets.

    Args:
        host: This host.
        fleet_hosts: Assumed number of hosts until the others are known.
    """

    def __init__(self, *, host: HostName, fleet_hosts: int) -> None:
        self._host = host
        self._hosts: tuple[HostName, ...] = (host,)
        self._fleet_hosts = fleet_hosts
        self._positions: dict[TargetName, int] = {}
        self._buckets: dict[TargetName, _Bucket] = {}

    def set_hosts(self, hosts: tuple[HostName, ...], *, fleet_hosts: int) -> None:
        """Replace the live hosts and the fleet size, which includes hosts considered dead."""
        self._hosts = hosts or (self._host,)
        self._fleet_hosts = max(len(self._hosts), fleet_hosts)
        self._positions.clear()

    def is_sender(self, target: TargetName, *, rate: float) -> bool:
        """Return whether this host belongs to the subset that may send at a rate."""
        return rate >= self.least_rate(target)

    def least_rate(self, target: TargetName) -> float:
        """Return the lowest rate of a target at which this host belongs to the subset.

        A host that sees at most two thirds of the fleet cannot trust its ranking: hosts that are
        cut off from each other would all rank themselves first.  It decides by a hash of the two
        names.
        """
        if self._trusted:
            position = self._position(target)
            return HOST_RATE * (position + 1) if position else 0.0
        # The inverse of `subset_size`: the lowest rate whose subset has this many hosts.
        size = floor(_fraction(self._host, target) * self._fleet_hosts) + 1
        return HOST_RATE * size if size > 1 else 0.0

    def refill_rate(self, rate: float) -> float:
        """Return the tokens per second of this host, if it belongs to the subset."""
        own = refill_rate(rate)
        return own if self._trusted else min(own, MAX_UNTRUSTED_RATE)

    def refill(self, target: TargetName, *, rate: float, now: float) -> None:
        """Add the tokens that have accrued; a bucket starts empty when the host may first send."""
        if not self.is_sender(target, rate=rate):
            self._buckets.pop(target, None)
            return
        bucket = self._buckets.get(target)
        if bucket is None:
            self._buckets[target] = _Bucket(tokens=0.0, at=now)
            return
        added = max(0.0, now - bucket.at) * self.refill_rate(rate)
        bucket.tokens = min(BUCKET_CAPACITY, bucket.tokens + added)
        bucket.at = max(bucket.at, now)

    def may_send(self, target: TargetName, *, rate: float, now: float) -> bool:
        """Return whether this host may send a request to a target now."""
        self.refill(target, rate=rate, now=now)
        bucket = self._buckets.get(target)
        return bucket is not None and bucket.tokens >= 1.0

    def take(self, target: TargetName) -> None:
        """Take the token of a request that is sent to a target."""
        bucket = self._buckets.get(target)
        if bucket is not None:
            bucket.tokens -= 1.0

    def wait(self, target: TargetName, *, rate: float, now: float) -> float:
        """Return the seconds until a host of the subset may send, at a rate that stays the same."""
        gained = self.refill_rate(rate)
        bucket = self._buckets.get(target)
        if bucket is None:
            return 1.0 / gained
        return max(0.0, (1.0 - bucket.tokens) / gained - (now - bucket.at))

    def keep(self, targets: frozenset[TargetName]) -> None:
        """Forget the buckets of all targets but these, and this host's positions for the others."""
        for target in self._buckets.keys() - targets:
            del self._buckets[target]
        for target in self._positions.keys() - targets:
            del self._positions[target]

    @property
    def _trusted(self) -> bool:
        """Whether this host sees most of the fleet, so that others rank the hosts as it does.

        Two hosts that each see two thirds have at least half of what they see in common.  With
        less, hosts with different views would take too many of them for the first.
        """
        return 3 * len(self._hosts) > 2 * self._fleet_hosts

    def _position(self, target: TargetName) -> int:
        """Return this host's position among the live hosts for a target; zero is the first."""
        position = self._positions.get(target)
        if position is None:
            order = ranked(name=f"cold {target}", hosts=self._hosts)
            position = order.index(self._host) if self._host in order else len(order)
            self._positions[target] = position
        return position


def subset_size(rate: float) -> int:
    """Return how many hosts may send to a target at a rate."""
    return max(1, floor(rate / HOST_RATE))


def refill_rate(rate: float) -> float:
    """Return the tokens per second of each host of the subset.

    In any one second a host sends at most the token in its bucket and those of that second, so that
    the subset sends at most ``rate`` requests (1 + rate / 2 if the rate is below `HOST_RATE`).
    """
    if rate < HOST_RATE:
        return rate / 2.0
    return rate / subset_size(rate) - BUCKET_CAPACITY


def _fraction(host: HostName, target: TargetName) -> float:
    """Return a number from 0 to 1 that depends on the names of a host and a target."""
    return xxh3_64_intdigest(f"cold {target}\0{host}".encode()) / HASH_RANGE
