"""Permits to send to targets with a rate limit, issued by one host per target.

The owner of a target, which all hosts determine by rendezvous hashing, spaces the requests of all
hosts.  This keeps the limit for any number of hosts, also where the share of each is less than one
request, at the cost of two messages per permit.  A host without a permit does not send; one that
cannot reach the owner does not use the target.
"""

from collections import deque
from collections.abc import Iterable
from random import Random

from msgspec import Struct

from azureswitch.core import HostName, TargetName
from azureswitch.hashing import ranked
from azureswitch.serving._digests import Grant
from azureswitch.serving._limits import Limits

LEAD_SECONDS = 0.4
"""Seconds ahead of their time at which permits are issued; a request waits at least 0.5 s."""

MIN_VALID_SECONDS = 0.5
"""Minimum validity of a permit in seconds; a host of a busy fleet sends twice in this time."""

MAX_VALID_SECONDS = 2.0
"""Maximum validity of a permit in seconds, for targets with a low rate."""

FIRST_REQUESTS = 5.0
"""Requests assumed to have been sent just before a limit became known, and counted against it."""

MAX_FIRST_PAUSE_SECONDS = 3.0
"""Longest time in seconds without requests after a target first announces a limit."""

ASK_TIMEOUT_SECONDS = 0.25
"""Seconds after which a host repeats a request that the owner has not answered."""

ASKER_TTL_SECONDS = 4.0
"""Seconds after its last request for which a host is expected to ask again."""

MAX_PAUSE_SECONDS = 8.0
"""Longest pause in seconds before a host asks again after a refusal."""

PAUSE_JITTER = (0.25, 0.75)
"""Bounds of the jitter of a pause, as fractions of the time of one permit per asking host.

Less than one, as a host must ask by the time at which the next permit is due.
"""


class _Schedule(Struct, kw_only=True):
    """The permits that an owner has issued for a target.

    Attributes:
        begins: Before this time no permit is valid.
        last: The time from which the last permit is valid.
        askers: When each host last asked.
    """

    begins: float
    last: float
    askers: dict[HostName, float]


class Allocator:
    """Issues permits for the targets that this host owns, spaced by their limits.

    Args:
        random: The source of the jitter.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._schedules: dict[TargetName, _Schedule] = {}

    def grant(
        self, target: TargetName, *, rate: float, since: float, host: HostName, now: float
    ) -> Grant:
        """Issue a permit to a host, or return when it is to ask again.

        Args:
            target: The target.
            rate: Requests per second that it accepts.
            since: Since when it has had a limit.
            host: The host that asks.
            now: The time.
        """
        gap = 1.0 / rate
        schedule = self._schedules.get(target)
        if schedule is None:
            first = since + min(MAX_FIRST_PAUSE_SECONDS, FIRST_REQUESTS * gap)
            # Permits of a previous owner may still be valid.
            begins = max(first, now + min(gap, MIN_VALID_SECONDS))
            schedule = _Schedule(begins=begins, last=begins - gap, askers={})
            self._schedules[target] = schedule
        schedule.askers[host] = now
        due = max(schedule.begins, schedule.last + gap, now)
        if due - now > LEAD_SECONDS:
            return Grant(pause=self._pause(schedule, due, gap=gap, now=now))
        schedule.last = due
        return Grant(after=due - now, valid=min(MAX_VALID_SECONDS, max(MIN_VALID_SECONDS, gap)))

    def keep(self, targets: Iterable[TargetName]) -> None:
        """Forget the permits issued for all targets but these."""
        for target in self._schedules.keys() - set(targets):
            del self._schedules[target]

    def _pause(self, schedule: _Schedule, due: float, *, gap: float, now: float) -> float:
        """Return after how many seconds a host is to ask again, longer with more asking hosts."""
        askers = schedule.askers
        for host in [host for host, at in askers.items() if now - at > ASKER_TTL_SECONDS]:
            del askers[host]
        turn = len(askers) * gap * self._random.uniform(*PAUSE_JITTER)
        return min(MAX_PAUSE_SECONDS, max(due - now - LEAD_SECONDS, turn))


class _Permit(Struct, frozen=True, kw_only=True):
    """Permission to send one request within a period of time."""

    begin: float
    end: float


class Permits:
    """The permits that this host holds, and its requests for more.

    Args:
        host: This host.
        fleet_hosts: Assumed number of hosts until the others are known.
        limits: The limits that are known.
        random: The source of the jitter.
    """

    def __init__(self, *, host: HostName, fleet_hosts: int, limits: Limits, random: Random) -> None:
        self._host = host
        self._limits = limits
        self._allocator = Allocator(random=random)
        self._hosts: tuple[HostName, ...] = (host,)
        self._fleet_hosts = fleet_hosts
        self._owners: dict[TargetName, HostName] = {}
        self._held: dict[TargetName, deque[_Permit]] = {}
        self._asked: dict[TargetName, float] = {}
        self._paused: dict[TargetName, float] = {}
        self._asks: list[TargetName] = []

    def set_hosts(self, hosts: tuple[HostName, ...], *, fleet_hosts: int) -> None:
        """Replace the live hosts and the fleet size, which includes hosts considered dead."""
        self._hosts = hosts or (self._host,)
        self._fleet_hosts = max(len(self._hosts), fleet_hosts)
        self._owners.clear()

    def owner_of(self, target: TargetName) -> HostName:
        """Return the host that issues permits for a target."""
        owner = self._owners.get(target)
        if owner is None:
            owner = ranked(name=f"limit {target}", hosts=self._hosts)[0]
            self._owners[target] = owner
        return owner

    def may_send(self, target: TargetName, *, now: float) -> bool:
        """Return whether a request may be sent to a target at once."""
        if self._limits.rate(target, now=now) is None:
            return True
        held = self._current(target, now=now)
        return bool(held) and held[0].begin <= now

    def take(self, target: TargetName, *, now: float) -> None:
        """Use up a permit, if one is needed, for a request that is sent to a target."""
        held = self._current(target, now=now)
        if held and held[0].begin <= now:
            held.popleft()

    def request(self, target: TargetName, *, now: float) -> None:
        """Request a permit from the owner, or issue it at once if this host is the owner.

        Nothing is requested while this host holds a permit, pauses after a refusal, or has asked
        within the last `ASK_TIMEOUT_SECONDS`.
        """
        if self._current(target, now=now) or now < self._paused.get(target, 0.0):
            return
        if self.owner_of(target) == self._host:
            self.answer(target, self.grant(target, host=self._host, now=now), now=now)
        elif now - self._asked.get(target, -ASK_TIMEOUT_SECONDS) >= ASK_TIMEOUT_SECONDS:
            self._asked[target] = now
            self._asks.append(target)

    def pop_asks(self) -> list[TargetName]:
        """Remove and return the targets for which to ask their owners for permits."""
        asks, self._asks = self._asks, []
        return asks

    def grant(self, target: TargetName, *, host: HostName, now: float) -> Grant:
        """Decide as the owner whether a host may send to a target."""
        rate = self._limits.rate(target, now=now)
        if rate is None:
            # The answer also carries the report that the limit has ended.
            return Grant(valid=MIN_VALID_SECONDS)
        if self.owner_of(target) != self._host:
            # The hosts disagree about who is live; the asking host will soon ask the owner.
            return Grant(pause=ASK_TIMEOUT_SECONDS)
        since = self._limits.since(target)
        return self._allocator.grant(
            target, rate=rate * self._share, since=since, host=host, now=now
        )

    def answer(self, target: TargetName, grant: Grant, *, now: float) -> None:
        """Apply the owner's answer."""
        self._asked.pop(target, None)
        if not grant.valid:
            self._paused[target] = now + grant.pause
            return
        self._paused.pop(target, None)
        begin = now + grant.after
        permit = _Permit(begin=begin, end=begin + grant.valid)
        self._held.setdefault(target, deque()).append(permit)

    def wait(self, target: TargetName, *, now: float) -> float:
        """Return the earliest time, in seconds from now, of a request to a target.

        Without a permit it is the end of a pause after a refusal, when this host may ask again.
        """
        held = self._current(target, now=now)
        if held:
            return max(0.0, held[0].begin - now)
        return max(0.0, self._paused.get(target, 0.0) - now)

    def expire(self, targets: Iterable[TargetName]) -> None:
        """Forget all targets but these, the ones with known limits."""
        kept = set(targets)
        self._allocator.keep(kept)
        for known in (self._held, self._asked, self._paused, self._owners):
            for target in known.keys() - kept:
                del known[target]

    @property
    def _share(self) -> float:
        """The fraction of a rate that the live hosts may use.

        In a network partition each side has its own owner.  The side with more than half of all
        hosts uses the whole rate, and a smaller one its proportional share.
        """
        live = len(self._hosts)
        return 1.0 if 2 * live > self._fleet_hosts else live / self._fleet_hosts

    def _current(self, target: TargetName, *, now: float) -> deque[_Permit]:
        """Return the permits that have not expired."""
        held = self._held.get(target)
        if held is None:
            return deque()
        while held and held[0].end <= now:
            held.popleft()
        return held
