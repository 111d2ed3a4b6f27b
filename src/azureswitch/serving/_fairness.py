"""Accounts for each customer's use of the fleet, on this host and its peers."""

from collections.abc import Iterable
from math import exp, log

from msgspec import Struct, field

from azureswitch.core import CustomerName, HostName
from azureswitch.inventory import Customer
from azureswitch.serving._digests import CustomerUse, Digest
from azureswitch.serving._events import HostSelf

BURST_SECONDS = 10.0
"""Burst size of a customer's token bucket, in seconds of its limit."""

MAX_IMMEDIATE_SECONDS = 2.0
"""Engine seconds up to which a charge counts against the limit immediately."""

SPREAD_SECONDS = 30.0
"""Time constant over which a larger charge is applied, as long work also runs for long."""

REPORT_DIGESTS = 3
"""Number of digests that report a customer's use after a change."""

RATE_SECONDS = 20.0
"""Time constant of the moving average of a customer's use."""

COMPARE_SECONDS = 0.5
"""Interval between two comparisons of the customers' use."""

BUSY_SHARE = 0.005
"""Share of the total use above which a customer counts as busy."""

EXCESS_FACTOR = 3.0
"""Multiple of its fair share above which a customer's calls are demoted."""

PEER_SILENCE_SECONDS = 2.0
"""Seconds without any digest after which this host counts as partitioned from its peers."""

CLOCK_STEP_SECONDS = 1.0
"""Seconds without a digest of a peer after which a lower incarnation is taken for a restart.

The peer's clock was set back in that case.  A process takes 0.4 s to start, whereas messages
overtake each other by milliseconds.
"""


class Account(Struct, kw_only=True):
    """A customer's use, rate limit and fair-queueing state.

    Attributes:
        weight: Its weight in fair sharing among busy customers.
        limit: Engine seconds per second over the whole fleet; zero for no limit.
        used: Engine seconds admitted here since this host started.
        served: Engine seconds divided by the weight: the virtual counter of fair queueing.
        level: Engine seconds left in its token bucket.
        pending: Engine seconds of long work that are not deducted from ``level`` yet.
        refilled_at: When ``level`` was last refilled.
        rate: Recent use here and at the peers, in engine seconds per second.
        exceeds: Whether the rate is above `EXCESS_FACTOR` times its fair share.
        above: Whether the rate is above its fair share.
    """

    weight: float
    limit: float
    used: float = 0.0
    served: float = 0.0
    level: float = 0.0
    pending: float = 0.0
    refilled_at: float = 0.0
    rate: float = 0.0
    exceeds: bool = False
    above: bool = False


class PeerUse(Struct, kw_only=True):
    """The last use that a peer has reported.

    Attributes:
        heard_at: When the last digest was received.
        started: The peer's incarnation.
        sequence: Sequence number of its last digest.
        from_start: Whether its digests have been received since it started.
        uses: Its totals by customer.
    """

    heard_at: float
    started: int
    sequence: int
    from_start: bool
    uses: dict[CustomerName, float] = field(default_factory=dict)


def _is_newer(known: PeerUse, digest: Digest, *, now: float) -> bool:
    """Return whether a digest was sent after the last one received.

    Incarnations are taken from the wall clock, which may be set back between two processes.  A
    reordered message, in contrast, is late by milliseconds only.
    """
    if (digest.started, digest.sequence) > (known.started, known.sequence):
        return True
    return digest.started < known.started and now - known.heard_at > CLOCK_STEP_SECONDS


def _known_from_start(known: PeerUse | None, digest: Digest) -> bool:
    if known is None:
        return digest.sequence <= REPORT_DIGESTS
    return known.from_start or known.started != digest.started


class Fairness:
    """Rate limits in engine seconds and fair-queueing counters, shared among hosts by digests.

    Args:
        myself: This host.
    """

    def __init__(self, *, myself: HostSelf) -> None:
        self._myself = myself
        self._accounts: dict[CustomerName, Account] = {}
        self._peers: dict[HostName, PeerUse] = {}
        self._hosts = 1
        self._last_digest_at = 0.0
        self._compared_at = 0.0
        self._reports_due: dict[CustomerName, int] = {}

    @property
    def hosts(self) -> int:
        """How many hosts share the fleet, this one included."""
        return self._hosts

    def adopt(self, customers: Iterable[Customer]) -> None:
        """Adopt the customers of a configuration and keep the use of those already known."""
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
        """Set the live hosts; a partitioned host grants an equal share of each limit."""
        names = set(hosts) | {self._myself.name}
        self._hosts = len(names)
        for name in self._peers.keys() - names:
            del self._peers[name]

    def apply_digest(self, digest: Digest, *, now: float) -> bool:
        """Charge customers for their use at a peer since its last digest.

        Returns:
            Whether the digest was new.
        """
        known = self._peers.get(digest.host)
        if known is not None and not _is_newer(known, digest, now=now):
            return False
        same = known is not None and known.started == digest.started
        before = known.uses if known is not None and same else {}
        from_start = _known_from_start(known, digest)
        uses = before
        if digest.uses:
            uses = {**before, **{use.customer: use.seconds for use in digest.uses}}
        for use in digest.uses:
            # If a peer ran before its first digest here, most of its use has been refilled since.
            more = use.seconds - before.get(use.customer, 0.0 if from_start else use.seconds)
            self._charge_peer(use.customer, more, now=now)
        self._peers[digest.host] = PeerUse(
            heard_at=now,
            started=digest.started,
            sequence=digest.sequence,
            from_start=from_start,
            uses=uses,
        )
        self._last_digest_at = now
        return True

    def _charge_peer(self, name: CustomerName, seconds: float, *, now: float) -> None:
        account = self._accounts.get(name)
        if account is None:
            return
        self._charge(account, seconds, now=now)
        account.served += seconds / account.weight

    def _share(self, now: float) -> float:
        """Return the share of a limit that this host may grant."""
        cut_off = self._hosts > 1 and now - self._last_digest_at > PEER_SILENCE_SECONDS
        return 1.0 / self._hosts if cut_off else 1.0

    def _charge(self, account: Account, seconds: float, *, now: float) -> None:
        self._refill(account, now=now)
        # A single long call must not mark its customer as excessive, so its charge is capped.
        account.rate += min(seconds, MAX_IMMEDIATE_SECONDS) / RATE_SECONDS
        if seconds > MAX_IMMEDIATE_SECONDS:
            account.pending += seconds
        else:
            account.level -= seconds

    def _refill(self, account: Account, *, now: float) -> None:
        rate = account.limit * self._share(now)
        passed = max(0.0, now - account.refilled_at)
        due = account.pending * (1.0 - exp(-passed / SPREAD_SECONDS))
        account.pending -= due
        account.level += rate * passed - due
        account.level = min(account.level, account.limit * BURST_SECONDS * self._share(now))
        account.refilled_at = now

    def wait(self, customer: CustomerName, *, long: bool, now: float) -> float:
        """Return the seconds until the customer's limit permits a call; zero if it already does.

        Args:
            customer: The customer.
            long: Whether the prompt is long; pending charges delay long prompts only.
            now: The time.
        """
        account = self._accounts.get(customer)
        if account is None or account.limit <= 0.0:
            return 0.0
        self._refill(account, now=now)
        rate = account.limit * self._share(now)
        if account.level <= 0.0:
            return (1.0 - account.level) / rate
        # Pending work stays below this if it arrives at the rate of the limit.
        max_pending = rate * SPREAD_SECONDS
        if long and account.pending > max_pending:
            return SPREAD_SECONDS * log(account.pending / max_pending) + 1.0
        return 0.0

    def charge(self, customer: CustomerName, seconds: float, *, now: float) -> None:
        """Charge engine seconds admitted here; a negative value is a refund."""
        account = self._accounts.get(customer)
        if account is None:
            return
        self._charge(account, seconds, now=now)
        account.used = max(0.0, account.used + seconds)
        self._reports_due[customer] = REPORT_DIGESTS

    def record_served(self, customer: CustomerName, seconds: float) -> None:
        """Add engine seconds that were sent to a target to the virtual counter."""
        account = self._accounts.get(customer)
        if account is not None:
            account.served += seconds / account.weight

    def exceeds(self, customer: CustomerName, *, now: float) -> bool:
        """Return whether a customer's recent use is far above its fair share."""
        if now - self._compared_at >= COMPARE_SECONDS:
            self._compare(now)
        account = self._accounts.get(customer)
        return account is not None and account.exceeds

    def above_share(self, customer: CustomerName, *, now: float) -> bool:
        """Return whether a customer's recent use is above its fair share of the total use."""
        if now - self._compared_at >= COMPARE_SECONDS:
            self._compare(now)
        account = self._accounts.get(customer)
        return account is not None and account.above

    def _compare(self, now: float) -> None:
        decay = exp(-(now - self._compared_at) / RATE_SECONDS)
        self._compared_at = now
        for account in self._accounts.values():
            account.rate = max(0.0, account.rate * decay)
        total = sum(account.rate for account in self._accounts.values())
        busy = [a for a in self._accounts.values() if a.rate > BUSY_SHARE * total]
        weights = sum(account.weight for account in busy)
        for account in self._accounts.values():
            share = account.weight / weights if weights else 1.0
            account.above = len(busy) > 1 and account.rate > share * total
            account.exceeds = len(busy) > 1 and account.rate > EXCESS_FACTOR * share * total

    def served(self, customer: CustomerName) -> float:
        """Return the virtual counter of a customer: engine seconds divided by its weight."""
        account = self._accounts.get(customer)
        return account.served if account else 0.0

    def raise_counter(self, customer: CustomerName, floor: float) -> None:
        """Raise the counter of a customer that was idle, so that it accumulates no credit."""
        account = self._accounts.get(customer)
        if account is not None:
            account.served = max(account.served, floor)

    def weight(self, customer: CustomerName) -> float:
        """Return a customer's weight in fair sharing."""
        account = self._accounts.get(customer)
        return account.weight if account else 1.0

    def uses(self) -> tuple[CustomerUse, ...]:
        """Return the totals for the next digest, of customers whose use has changed recently.

        Each total is reported several times, since digests may be lost; if all of them are lost,
        the report after the next change corrects the total.
        """
        reported = tuple(
            CustomerUse(customer=name, seconds=round(self._accounts[name].used, 3))
            for name in sorted(self._reports_due)
            if name in self._accounts
        )
        self._reports_due = {
            name: times - 1 for name, times in self._reports_due.items() if times > 1
        }
        return reported
