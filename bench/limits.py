"""Ways to keep all hosts together to a target's limit: what of it is used, exceeded, and told.

Requests arrive at random hosts, three times as many as the one target takes.  One that may not be
sent waits for half a second, and is refused then.
"""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Protocol

from azureswitch.core import HostName, TargetName
from azureswitch.serving._limits import Limits
from azureswitch.serving._permits import Permits
from azureswitch.serving._starts import Starts
from bench.records import Direction, Record

TARGET = TargetName("t")
HOSTS = (6, 30, 91, 420)
RATES = (0.5, 1.0, 8.0)
"""Requests a second that the target takes."""

PRESSURE = 3.0
"""Times as many that callers send."""

SECONDS = 60.0
SETTLED = 6.0
"""Seconds from which on it is measured; until then a way may find its balance."""

HOLD = 0.5
"""Seconds that a request waits."""

STEP = 0.05
"""Seconds between two looks of a host at what waits."""

TRANSIT = 0.002
"""Seconds that a message between hosts takes."""

TELL = 0.8
"""Seconds between two tellings of a host's demand."""

WINDOW = 4.0
SLACK = 1.5
BURST = 5.0
"""In `WINDOW` seconds `SLACK` times what the limit allows may arrive, and `BURST` more."""

LEAST_USED = 0.6
"""Part of what the target takes that callers must get."""

SEED = 11


class Way(Protocol):
    """A way to keep hosts to a limit.

    Attributes:
        messages: How many hosts have sent to each other.
    """

    messages: int

    def wants(self, host: int, *, now: float) -> None:
        """Note that a request arrives at a host."""

    def sends(self, host: int, *, now: float) -> bool:
        """Return whether a host may send a request now, which it then does."""


class EvenShares:
    """Each host has the same part of the rate, and may save up one request at least or not.

    Args:
        rate: Requests a second.
        hosts: How many hosts there are.
        rounded_up: Whether a host begins with one request.
    """

    def __init__(self, *, rate: float, hosts: int, rounded_up: bool) -> None:
        self.messages = 0
        self._share = rate / hosts
        first = -1.0 / self._share if rounded_up else 0.0
        self._last = [first] * hosts

    def wants(self, host: int, *, now: float) -> None:
        """Nothing is told."""

    def sends(self, host: int, *, now: float) -> bool:
        """A host sends as often as its part permits."""
        if now - self._last[host] < 1.0 / self._share:
            return False
        self._last[host] = now
        return True


class ToldShares:
    """Each host has a part of the rate by the demand that all have told, as a digest would tell it.

    Args:
        rate: Requests a second.
        hosts: How many hosts there are.
    """

    def __init__(self, *, rate: float, hosts: int) -> None:
        self.messages = 0
        self._rate = rate
        self._demand = [0.0] * hosts
        self._told = [0.0] * hosts
        self._total = 0.0
        self._saved = [0.0] * hosts
        self._looked = [0.0] * hosts
        self._told_at = [-TELL] * hosts

    def wants(self, host: int, *, now: float) -> None:
        """Smooth the demand, and tell it where it is due."""
        self._demand[host] = 0.7 * self._demand[host] + 0.3
        if now - self._told_at[host] >= TELL:
            self._told_at[host] = now
            self.messages += len(self._demand) - 1
            self._total += self._demand[host] - self._told[host]
            self._told[host] = self._demand[host]

    def sends(self, host: int, *, now: float) -> bool:
        """A host saves up its part, one request at most."""
        part = self._told[host] / self._total if self._total else 0.0
        passed = now - self._looked[host]
        self._looked[host] = now
        self._saved[host] = min(1.0, self._saved[host] + passed * part * self._rate)
        if self._saved[host] < 1.0:
            return False
        self._saved[host] = 0.0
        return True


class Turns:
    """Each permitted request is one host's in turn, by a clock that all have alike.

    Args:
        rate: Requests a second.
        hosts: How many hosts there are.
    """

    def __init__(self, *, rate: float, hosts: int) -> None:
        self.messages = 0
        self._rate = rate
        self._hosts = hosts
        self._used = -1

    def wants(self, host: int, *, now: float) -> None:
        """Nothing is told."""

    def sends(self, host: int, *, now: float) -> bool:
        """Only the host whose turn it is sends, once."""
        turn = int(now * self._rate)
        if turn % self._hosts != host or turn == self._used:
            return False
        self._used = turn
        return True


class KeptPermits:
    """One host hands out permits, as the program does.

    Args:
        rate: Requests a second.
        hosts: How many hosts there are.
    """

    def __init__(self, *, rate: float, hosts: int) -> None:
        self.messages = 0
        limits = Limits(starts=Starts())
        limits.name(TARGET, started=0, rate=rate, now=0.0)
        names = tuple(HostName(f"h{index}") for index in range(hosts))
        self._permits = [
            Permits(host=name, fleet_hosts=hosts, limits=limits, random=Random(index))
            for index, name in enumerate(names)
        ]
        for permits in self._permits:
            permits.set_hosts(names, fleet_hosts=hosts)
        self._names = names
        self._owner = self._permits[names.index(self._permits[0].owner_of(TARGET))]
        self._answers: list[tuple[float, int, int]] = []
        self._order = count()

    def wants(self, host: int, *, now: float) -> None:
        """Ask the owner where no permit is held."""
        self._ask(host, now=now)

    def sends(self, host: int, *, now: float) -> bool:
        """A host sends by a permit, and asks for the next one."""
        self._arrive(now)
        permits = self._permits[host]
        if permits.may_send(TARGET, now=now):
            permits.take(TARGET, now=now)
            return True
        self._ask(host, now=now)
        return permits.may_send(TARGET, now=now) and self.sends(host, now=now)

    def _ask(self, host: int, *, now: float) -> None:
        self._permits[host].request(TARGET, now=now)
        for _ in self._permits[host].pop_asks():
            self.messages += 2
            heappush(self._answers, (now + TRANSIT, next(self._order), host))

    def _arrive(self, now: float) -> None:
        while self._answers and self._answers[0][0] <= now:
            at, _, host = heappop(self._answers)
            grant = self._owner.grant(TARGET, host=self._names[host], now=at)
            self._permits[host].answer(TARGET, grant, now=at)


def _ways(rate: float, hosts: int) -> dict[str, Way]:
    return {
        "rounded_up": EvenShares(rate=rate, hosts=hosts, rounded_up=True),
        "rounded_down": EvenShares(rate=rate, hosts=hosts, rounded_up=False),
        "told": ToldShares(rate=rate, hosts=hosts),
        "turns": Turns(rate=rate, hosts=hosts),
        "permits": KeptPermits(rate=rate, hosts=hosts),
    }


def _play(way: Way, *, rate: float, hosts: int) -> list[float]:
    """Return when requests reach the target."""
    random = Random(SEED)
    waiting: list[list[float]] = [[] for _ in range(hosts)]
    events: list[tuple[float, int, int | None]] = []
    order = count()
    at = random.expovariate(PRESSURE * rate)
    while at < SECONDS:
        heappush(events, (at, next(order), random.randrange(hosts)))
        at += random.expovariate(PRESSURE * rate)
    for step in range(int(SECONDS / STEP)):
        heappush(events, (step * STEP, next(order), None))
    arrived = []
    while events:
        now, _, host = heappop(events)
        if host is not None:
            waiting[host].append(now)
            way.wants(host, now=now)
        for index in range(hosts) if host is None else (host,):
            calls = waiting[index]
            while calls and now - calls[0] > HOLD:
                calls.pop(0)
            while calls and way.sends(index, now=now):
                calls.pop(0)
                arrived.append(now)
    return arrived


def _most(arrived: list[float]) -> int:
    return max((sum(at - WINDOW < other <= at for other in arrived) for at in arrived), default=0)


def records() -> Iterator[Record]:
    """Yield what each way uses, exceeds and tells, by hosts and rate."""
    for hosts in HOSTS:
        for rate in RATES:
            for name, way in _ways(rate, hosts).items():
                yield from _records(name, way, rate=rate, hosts=hosts)


def _records(name: str, way: Way, *, rate: float, hosts: int) -> Iterator[Record]:
    arrived = _play(way, rate=rate, hosts=hosts)
    settled = sum(at >= SETTLED for at in arrived) / (SECONDS - SETTLED)
    over = _most(arrived) - (SLACK * rate * WINDOW + BURST)
    kept = name == "permits"
    where = f"{name}.{hosts}.{rate:g}"
    yield Record(
        name=f"limits.used.{where}",
        value=settled / rate,
        unit="share",
        bound=LEAST_USED if kept else None,
        direction=Direction.AT_LEAST,
    )
    yield Record(
        name=f"limits.over.{where}",
        value=max(0.0, over),
        unit="requests",
        bound=0.0 if kept else None,
        direction=Direction.AT_MOST,
    )
    yield Record(name=f"limits.told.{where}", value=way.messages / SECONDS, unit="messages/s")


if __name__ == "__main__":
    for record in records():
        print(record.name, round(record.value, 3), record.unit, record.holds)
