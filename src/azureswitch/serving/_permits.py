"""Permits to send to targets that name a limit, which one host hands out for each of them.

The host that all others find for a target by hashing, its owner, spaces the requests of all hosts.
So the sum is kept whatever the number of hosts, also where each has less than one request's share,
and costs two messages for each permit.  A host without a permit does not send; one that cannot
reach the owner leaves the target alone.
"""

from collections import deque
from collections.abc import Iterable
from random import Random

from msgspec import Struct

from azureswitch.core import HostName, TargetName
from azureswitch.hashing import ranked
from azureswitch.serving._digests import Grant
from azureswitch.serving._limits import Limits

AHEAD_SECONDS = 0.4
"""Seconds ahead for which permits are given; a request waits for 0.5 s at least."""

VALID_LEAST = 0.5
"""Seconds for which a permit may be used, at least; a host of a busy fleet sends twice in it."""

VALID_MOST = 2.0
"""Seconds for which it may be used at most, where a target takes few requests."""

FIRST_REQUESTS = 5.0
"""Requests that are taken to have been sent just before a limit is heard of, and count."""

FIRST_SECONDS = 3.0
"""Seconds for which a target that names a limit for the first time gets nothing, at most."""

ASK_TIMEOUT = 0.25
"""Seconds after which a host asks again where the owner has not answered."""

ASKERS_SECONDS = 4.0
"""Seconds for which a host that asked is taken to ask again."""

PAUSE_MOST = 8.0
"""Seconds for which a host does not ask again at most, after a refusal."""

PAUSE_SPREAD = (0.25, 0.75)
"""Parts of the time in which all that ask have had a turn, after which a host asks again.

Less than one, as the next one to ask must be there when the next permit is due.
"""


class _Schedule(Struct, kw_only=True):
    """What an owner has given out for a target.

    Attributes:
        begins: Before which nothing is given.
        last: When the last permit may be used from.
        askers: When each host asked last.
    """

    begins: float
    last: float
    askers: dict[HostName, float]


class Allocator:
    """Spaces the requests of all hosts at the targets whose permits this host hands out.

    Args:
        random: The source of the jitter.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._schedules: dict[TargetName, _Schedule] = {}

    def grant(
        self, target: TargetName, *, rate: float, since: float, host: HostName, now: float
    ) -> Grant:
        """Give a host a permit, or tell it when to ask again.

        Args:
            target: The target.
            rate: Requests a second that it takes.
            since: Since when it has named a limit.
            host: Who asks.
            now: The time.
        """
        gap = 1.0 / rate
        schedule = self._schedules.get(target)
        if schedule is None:
            first = since + min(FIRST_SECONDS, FIRST_REQUESTS * gap)
            # What another owner gave out before may still be used.
            begins = max(first, now + min(gap, VALID_LEAST))
            schedule = _Schedule(begins=begins, last=begins - gap, askers={})
            self._schedules[target] = schedule
        schedule.askers[host] = now
        due = max(schedule.begins, schedule.last + gap, now)
        if due - now > AHEAD_SECONDS:
            return Grant(pause=self._pause(schedule, due, gap=gap, now=now))
        schedule.last = due
        return Grant(after=due - now, valid=min(VALID_MOST, max(VALID_LEAST, gap)))

    def keep(self, targets: Iterable[TargetName]) -> None:
        """Forget what was given out for all targets but these."""
        for target in self._schedules.keys() - set(targets):
            del self._schedules[target]

    def _pause(self, schedule: _Schedule, due: float, *, gap: float, now: float) -> float:
        """Return when a host is to ask again: those that ask share what is given out."""
        askers = schedule.askers
        for host in [host for host, at in askers.items() if now - at > ASKERS_SECONDS]:
            del askers[host]
        turn = len(askers) * gap * self._random.uniform(*PAUSE_SPREAD)
        return min(PAUSE_MOST, max(due - now - AHEAD_SECONDS, turn))


class _Permit(Struct, frozen=True, kw_only=True):
    """Leave to send one request, from one time to another."""

    begin: float
    end: float


class Permits:
    """The permits that this host has, and whom it asks for more.

    Args:
        host: This host.
        fleet_hosts: Hosts that there may be while none can be known of.
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
        """Note who lives, and how many hosts there may be, those taken for dead included."""
        self._hosts = hosts or (self._host,)
        self._fleet_hosts = max(len(self._hosts), fleet_hosts)
        self._owners.clear()

    def owner_of(self, target: TargetName) -> HostName:
        """Return who hands out permits for a target."""
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
        """Note that a request is sent to a target."""
        held = self._current(target, now=now)
        if held and held[0].begin <= now:
            held.popleft()

    def request(self, target: TargetName, *, now: float) -> None:
        """Get a permit: at once where this host is the owner, and else by asking who is."""
        if self._current(target, now=now) or now < self._paused.get(target, 0.0):
            return
        if self.owner_of(target) == self._host:
            self.answer(target, self.grant(target, host=self._host, now=now), now=now)
        elif now - self._asked.get(target, -ASK_TIMEOUT) >= ASK_TIMEOUT:
            self._asked[target] = now
            self._asks.append(target)

    def pop_asks(self) -> list[TargetName]:
        """Return the targets of which permits are to be asked for now."""
        asks, self._asks = self._asks, []
        return asks

    def grant(self, target: TargetName, *, host: HostName, now: float) -> Grant:
        """Decide, as an owner, whether a host may send to a target."""
        rate = self._limits.rate(target, now=now)
        if rate is None:
            # The asker hears with it that the limit has ended.
            return Grant(valid=VALID_LEAST)
        if self.owner_of(target) != self._host:
            # Whoever asks here will soon know the same hosts as others do, and ask the owner.
            return Grant(pause=ASK_TIMEOUT)
        since = self._limits.since(target)
        return self._allocator.grant(
            target, rate=rate * self._share, since=since, host=host, now=now
        )

    def answer(self, target: TargetName, grant: Grant, *, now: float) -> None:
        """Take the owner's answer."""
        self._asked.pop(target, None)
        if not grant.valid:
            self._paused[target] = now + grant.pause
            return
        self._paused.pop(target, None)
        begin = now + grant.after
        permit = _Permit(begin=begin, end=begin + grant.valid)
        self._held.setdefault(target, deque()).append(permit)

    def wait(self, target: TargetName, *, now: float) -> float:
        """Return after how many seconds a request may perhaps be sent to a target."""
        held = self._current(target, now=now)
        if held:
            return max(0.0, held[0].begin - now)
        return max(0.0, self._paused.get(target, 0.0) - now)

    def expire(self, targets: Iterable[TargetName]) -> None:
        """Forget what concerns all targets but these, whose limits are known."""
        kept = set(targets)
        self._allocator.keep(kept)
        for known in (self._held, self._asked, self._paused, self._owners):
            for target in known.keys() - kept:
                del known[target]

    @property
    def _share(self) -> float:
        """The part of a rate that the hosts known here may use.

        Those on both sides of a cut each have an owner.  The side with more than half of all hosts
        has the whole rate, and a smaller one its own part.
        """
        live = len(self._hosts)
        return 1.0 if 2 * live > self._fleet_hosts else live / self._fleet_hosts

    def _current(self, target: TargetName, *, now: float) -> deque[_Permit]:
        """Return the permits that are not over."""
        held = self._held.get(target)
        if held is None:
            return deque()
        while held and held[0].end <= now:
            held.popleft()
        return held
