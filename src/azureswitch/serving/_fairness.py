"""What each customer has used of the fleet, here and at the other hosts."""

from collections.abc import Iterable
from math import exp, log

from msgspec import Struct, field

from azureswitch.core import CustomerName, HostName
from azureswitch.inventory import Customer
from azureswitch.serving._digests import CustomerUse, Digest
from azureswitch.serving._events import HostSelf

BURST_SECONDS = 10.0
"""Seconds of its limit that a customer may use at once."""

AT_ONCE_SECONDS = 2.0
"""Engine seconds of one charge up to which it counts against a limit at once."""

SPREAD_SECONDS = 30.0
"""Time constant over which a greater charge counts, as long work runs for long as well."""

TELL_TIMES = 3
"""Digests in which a customer's use is told after it changed."""

RATE_SECONDS = 20.0
"""Time constant over which a customer's use is smoothed."""

WEIGH_SECONDS = 0.5
"""Seconds between two comparisons of the customers' use."""

BUSY_SHARE = 0.005
"""Share of all use from which a customer counts as busy."""

EXCESS = 3.0
"""Times its share of the use at which a customer's calls go after those of the others."""

PEER_SILENCE_SECONDS = 2.0
"""Seconds without any digest after which this host counts as cut off from its peers."""

SET_BACK_SECONDS = 1.0
"""Seconds of a peer's silence after which a smaller number tells of a clock that was set back.

A process takes 0.4 s to start; messages overtake each other by milliseconds.
"""


class Account(Struct, kw_only=True):
    """One customer's use.

    Attributes:
        weight: Its share beside other busy customers.
        limit: Engine seconds per second over the whole fleet; zero for no limit.
        used: Engine seconds admitted here since this host started.
        served: Engine seconds per weight, the virtual counter of fair queueing.
        level: Engine seconds that it may use before it is refused.
        pending: Engine seconds of long work that ``level`` has not been charged yet.
        filled: When ``level`` was last refilled.
        rate: Engine seconds a second used lately, here and at the peers.
        exceeds: Whether that is more than its share.
    """

    weight: float
    limit: float
    used: float = 0.0
    served: float = 0.0
    level: float = 0.0
    pending: float = 0.0
    filled: float = 0.0
    rate: float = 0.0
    exceeds: bool = False


class PeerUse(Struct, kw_only=True):
    """What one peer said last of its customers' use.

    Attributes:
        at: When it was heard.
        started: The peer's incarnation.
        sequence: Its last digest.
        whole: Whether it has been heard from its start on.
        uses: Its totals.
    """

    at: float
    started: int
    sequence: int
    whole: bool
    uses: dict[CustomerName, float] = field(default_factory=dict)


def _is_news(known: PeerUse, digest: Digest, *, now: float) -> bool:
    """Return whether a digest was sent after the last one that was heard.

    The numbers of processes are taken from the time of day, which may be set back between two of
    them.  A message that overtook others is late by milliseconds only.
    """
    if (digest.started, digest.sequence) > (known.started, known.sequence):
        return True
    return digest.started < known.started and now - known.at > SET_BACK_SECONDS


def _heard_whole(known: PeerUse | None, digest: Digest) -> bool:
    if known is None:
        return digest.sequence <= TELL_TIMES
    return known.whole or known.started != digest.started


class Fairness:
    """Limits in engine seconds and virtual counters, shared among hosts by digests.

    Args:
        myself: This host.
    """

    def __init__(self, *, myself: HostSelf) -> None:
        self._myself = myself
        self._accounts: dict[CustomerName, Account] = {}
        self._peers: dict[HostName, PeerUse] = {}
        self._hosts = 1
        self._heard = 0.0
        self._weighed = 0.0
        self._untold: dict[CustomerName, int] = {}

    @property
    def hosts(self) -> int:
        """How many hosts share the fleet, this one included."""
        return self._hosts

    def adopt(self, customers: Iterable[Customer]) -> None:
        """Take over the customers of a configuration and keep what they used."""
        accounts = {}
        for customer in customers:
            account = self._accounts.get(customer.name)
            if account is None:
                account = Account(weight=customer.weight, limit=customer.limit)
                account.level = customer.limit * BURST_SECONDS
            account.weight = max(customer.weight, 1e-6)
            account.limit = customer.limit
            accounts[customer.name] = account
        self._accounts = accounts

    def set_hosts(self, hosts: Iterable[HostName]) -> None:
        """Take over the set of live hosts; a limit is shared among as many when cut off."""
        names = set(hosts) | {self._myself.name}
        self._hosts = len(names)
        for name in self._peers.keys() - names:
            del self._peers[name]

    def apply_digest(self, digest: Digest, *, now: float) -> bool:
        """Count what a peer's customers used since its last digest.

        Returns:
            Whether the digest was new.
        """
        known = self._peers.get(digest.host)
        if known is not None and not _is_news(known, digest, now=now):
            return False
        same = known is not None and known.started == digest.started
        before = known.uses if known is not None and same else {}
        whole = _heard_whole(known, digest)
        uses = before
        if digest.uses:
            uses = {**before, **{use.customer: use.seconds for use in digest.uses}}
        for use in digest.uses:
            # Of a peer that ran before it was heard, most use has been refilled long since.
            more = use.seconds - before.get(use.customer, 0.0 if whole else use.seconds)
            self._charge_peer(use.customer, more, now=now)
        self._peers[digest.host] = PeerUse(
            at=now,
            started=digest.started,
            sequence=digest.sequence,
            whole=whole,
            uses=uses,
        )
        self._heard = now
        return True

    def _charge_peer(self, name: CustomerName, seconds: float, *, now: float) -> None:
        account = self._accounts.get(name)
        if account is None:
            return
        self._charge(account, seconds, now=now)
        account.served += seconds / account.weight

    def _share(self, now: float) -> float:
        """Return which part of a limit this host may grant by itself."""
        cut_off = self._hosts > 1 and now - self._heard > PEER_SILENCE_SECONDS
        return 1.0 / self._hosts if cut_off else 1.0

    def _charge(self, account: Account, seconds: float, *, now: float) -> None:
        self._refill(account, now=now)
        # One review is no flood: a charge counts for no more than what counts at once.
        account.rate += min(seconds, AT_ONCE_SECONDS) / RATE_SECONDS
        if seconds > AT_ONCE_SECONDS:
            account.pending += seconds
        else:
            account.level -= seconds

    def _refill(self, account: Account, *, now: float) -> None:
        rate = account.limit * self._share(now)
        passed = max(0.0, now - account.filled)
        due = account.pending * (1.0 - exp(-passed / SPREAD_SECONDS))
        account.pending -= due
        account.level += rate * passed - due
        account.level = min(account.level, account.limit * BURST_SECONDS * self._share(now))
        account.filled = now

    def wait(self, customer: CustomerName, *, long: bool, now: float) -> float:
        """Return after how many seconds the customer's limit permits a call; zero for now.

        Args:
            customer: The customer.
            long: Whether its prompt is long, so that what is still to be charged counts too.
            now: The time.
        """
        account = self._accounts.get(customer)
        if account is None or account.limit <= 0.0:
            return 0.0
        self._refill(account, now=now)
        rate = account.limit * self._share(now)
        if account.level <= 0.0:
            return (1.0 - account.level) / rate
        # Pending work stays under this where it comes in at the rate of the limit.
        most = rate * SPREAD_SECONDS
        if long and account.pending > most:
            return SPREAD_SECONDS * log(account.pending / most) + 1.0
        return 0.0

    def charge(self, customer: CustomerName, seconds: float, *, now: float) -> None:
        """Count engine seconds that were admitted here; negative ones are given back."""
        account = self._accounts.get(customer)
        if account is None:
            return
        self._charge(account, seconds, now=now)
        account.used = max(0.0, account.used + seconds)
        self._untold[customer] = TELL_TIMES

    def record_served(self, customer: CustomerName, seconds: float) -> None:
        """Count engine seconds that were sent to a target, in the virtual counter."""
        account = self._accounts.get(customer)
        if account is not None:
            account.served += seconds / account.weight

    def exceeds(self, customer: CustomerName, *, now: float) -> bool:
        """Return whether a customer lately used much more than its share beside the others."""
        if now - self._weighed >= WEIGH_SECONDS:
            self._weigh(now)
        account = self._accounts.get(customer)
        return account is not None and account.exceeds

    def _weigh(self, now: float) -> None:
        decay = exp(-(now - self._weighed) / RATE_SECONDS)
        self._weighed = now
        for account in self._accounts.values():
            account.rate = max(0.0, account.rate * decay)
        total = sum(account.rate for account in self._accounts.values())
        busy = [a for a in self._accounts.values() if a.rate > BUSY_SHARE * total]
        weights = sum(account.weight for account in busy)
        for account in self._accounts.values():
            share = account.weight / weights if weights else 1.0
            account.exceeds = len(busy) > 1 and account.rate > EXCESS * share * total

    def served(self, customer: CustomerName) -> float:
        """Return the virtual counter of a customer: engine seconds by weight."""
        account = self._accounts.get(customer)
        return account.served if account else 0.0

    def raise_counter(self, customer: CustomerName, floor: float) -> None:
        """Raise the counter of a customer that was idle, so that it saves up no credit."""
        account = self._accounts.get(customer)
        if account is not None:
            account.served = max(account.served, floor)

    def weight(self, customer: CustomerName) -> float:
        """Return a customer's share beside other busy customers."""
        account = self._accounts.get(customer)
        return account.weight if account else 1.0

    def uses(self) -> tuple[CustomerUse, ...]:
        """Return the totals for the next digest: of customers whose use changed lately.

        A total is told several times, since digests may be lost; the next change repairs the rest.
        """
        told = tuple(
            CustomerUse(customer=name, seconds=round(self._accounts[name].used, 3))
            for name in sorted(self._untold)
            if name in self._accounts
        )
        self._untold = {name: times - 1 for name, times in self._untold.items() if times > 1}
        return told
