"""Which requests crash the targets that run them, so that no more targets are given to them.

A request whose text crashes each engine that runs it is tried again by its host, by its caller, and
at other hosts.  So hosts tell each other at which targets each request broke off, whichever try it
was, and hold a request back under which several targets have crashed.

What ran beside such a request breaks off as well.  A crash therefore counts against the request
that has broken off at most targets alone, and a request that is answered is cleared of all of its
crashes.  One that many callers send may have run at each of many targets that were lost together.
So crashes that come together are one occasion, however many they are: what tells a request that
crashes targets is that they go on, one after the other, where it goes.  It is held back for some
seconds after the first occasion and longer after each further one.  As that ends, hosts send a try
by turns.

All of this follows from what is known, whoever told it in which order, so that hosts that know the
same decide the same.
"""

from collections import defaultdict
from collections.abc import Iterable
from heapq import nlargest
from math import inf
from typing import NamedTuple

from msgspec import Struct, field

from azureswitch.core import CustomerName, HostName
from azureswitch.hashing import ranked
from azureswitch.serving._digests import CrashReport, TargetStart
from azureswitch.serving._events import Call

NO_HOST = HostName("")
"""A host that is none of the others, and so tries without waiting for a turn."""

CRASHES_MOST = 3
"""Targets that may crash under a request before it is held back.

One or two may end for another reason while it runs there and again where it is retried.
"""

TOGETHER_SECONDS = 2.0
"""Seconds within which crashes are one occasion.

Where a failure domain is lost, its targets fall silent within one second of each other.
"""

QUARANTINE_SECONDS = 86_400.0
"""Seconds for which a request is held back at most; in a day it or the targets can be mended."""

HOLD_SECONDS = (4.0, 10.0, 600.0, QUARANTINE_SECONDS)
"""Seconds after its last crash for which a request is held back, by how many occasions there were.

Where many targets are lost together, or once more before any try is answered, what ran there is
refused for some seconds.
"""

TURN_SECONDS = 0.5
"""Seconds between the tries of two hosts; a target that it crashes falls silent sooner."""

TURNS_MOST = 6
"""Hosts that have a turn each; callers of the others would wait too long."""

LATER_TURN_SECONDS = 0.02
"""Seconds between the tries of all hosts that follow these."""

TRIAL_SECONDS = 5.0
"""Seconds for which a host waits for the outcome of the one try that follows a quarantine."""

SUSPECT_SECONDS = 3_600.0
"""Seconds for which a crash is remembered under a request that is not held back."""

SUSPECTS_MOST = 2_048
"""Requests that are remembered at most; those that broke off longest ago are forgotten first.

An engine that crashes breaks off as many as it has places.
"""

TELL_TIMES = 3
"""Digests that tell of a crash; each may be lost."""

TOLD_CRASHES = CRASHES_MOST + len(HOLD_SECONDS) - 1
"""Crashes of a request that one digest names, as many as its quarantine depends on."""

RETOLD_MOST = 16
"""Requests held back of which each regular digest tells, for hosts that have started since."""

CLEARED_MOST = 64
"""Crashes of which a request was cleared that are remembered, and told, at most."""


class RequestKey(NamedTuple):
    """What tries at the same request have in common."""

    customer: CustomerName
    fingerprint: str


class _Suspect(Struct, kw_only=True):
    """A request that has broken off.

    Attributes:
        newest: When it last did so, in seconds of the monotonic clock.
        crashes: When it did so at which starts of targets, but those of which it was cleared.
        cleared: Those of which it was cleared, the last ones last.
        seen_here: Whether this host saw one of them.
        occasions: For how many occasions it was held back when this was last looked at, or zero.
        trial_until: Until when the outcome of a try of this host is waited for.
        answered_here: Whether a try of this host has cleared it.
    """

    newest: float
    crashes: dict[TargetStart, float] = field(default_factory=dict)
    cleared: dict[TargetStart, None] = field(default_factory=dict)
    seen_here: bool = False
    occasions: int = 0
    trial_until: float = 0.0
    answered_here: bool = False


class QuarantineChange(Struct, frozen=True, kw_only=True):
    """A request that is held back from now on, or for longer, or not any more.

    Attributes:
        report: What is known of it.
        ended: Whether it is held back no more, as a target has answered it.
        keep: Whether the store is to say so as well, for hosts that start when all that know of it
            have died.
    """

    report: CrashReport
    ended: bool
    keep: bool


class Crashes:
    """The requests that have broken off at targets.

    Args:
        host: This host.
    """

    def __init__(self, *, host: HostName = NO_HOST) -> None:
        self._host = host
        self._hosts: tuple[HostName, ...] = ()
        self._suspects: dict[RequestKey, _Suspect] = {}
        self._by_crash: defaultdict[TargetStart, set[RequestKey]] = defaultdict(set)
        self._touched: set[RequestKey] = set()
        self._untold: dict[RequestKey, int] = {}
        self._changed = False

    @property
    def changed(self) -> bool:
        """Whether there is something that other hosts have not been told yet."""
        return self._changed

    @property
    def news(self) -> bool:
        """Whether the next digest tells of something of which not all hosts may have heard."""
        return bool(self._untold)

    @property
    def touched(self) -> bool:
        """Whether `pop_changes` may have something to tell."""
        return bool(self._touched)

    def set_hosts(self, hosts: Iterable[HostName]) -> None:
        """Take over which hosts live, which try by turns as a request is held back no more."""
        self._hosts = tuple(hosts)

    def record_crash(self, call: Call, start: TargetStart, *, now: float) -> None:
        """Note that a target broke off as it ran a call."""
        if not call.fingerprint:
            return
        key = _key(call)
        suspect = self._suspect(key, now=now)
        if not self._add(key, suspect, start, at=now):
            return
        suspect.newest = now
        suspect.seen_here = True
        self._tell(key)

    def answered(self, call: Call) -> None:
        """Clear a request that a target has answered of the crashes so far."""
        if not self._suspects:
            return
        key = _key(call)
        suspect = self._suspects.get(key)
        if suspect is not None and suspect.crashes:
            self._clear(key, suspect, tuple(suspect.crashes))
            suspect.answered_here = True
            self._tell(key)

    def sent(self, call: Call, *, now: float) -> None:
        """Note that a call is sent; after a quarantine it is the one try whose outcome tells."""
        suspect = self._suspects.get(_key(call)) if self._suspects else None
        if suspect is not None and self._is_quarantined(suspect):
            suspect.trial_until = now + TRIAL_SECONDS

    def hear(self, reports: Iterable[CrashReport], *, now: float) -> None:
        """Take over what another host, or the store, says of requests that broke off."""
        for report in reports:
            if report.age >= QUARANTINE_SECONDS:
                continue
            at = now - report.age
            key = RequestKey(customer=report.customer, fingerprint=report.fingerprint)
            suspect = self._suspect(key, now=at)
            self._clear(key, suspect, report.cleared)
            ages = report.ages or (report.age,) * len(report.crashes)
            fresh = [
                start
                for start, age in zip(report.crashes, ages, strict=False)
                if self._add(key, suspect, start, at=now - age)
            ]
            if fresh:
                suspect.newest = max(suspect.newest, at)

    def quarantine_seconds(self, call: Call, *, now: float) -> float:
        """Return for how long a call is held back, or zero where it may be sent."""
        if not self._suspects:
            return 0.0
        suspect = self._suspects.get(_key(call))
        if suspect is None or not self._is_quarantined(suspect):
            return 0.0
        held = suspect.newest + _hold_seconds(suspect) + self._turn_seconds(call)
        return max(0.0, max(held, suspect.trial_until) - now)

    def quarantined(self) -> int:
        """Return how many requests are held back."""
        return len(self._quarantined())

    def pop_changes(self, *, now: float) -> list[QuarantineChange]:
        """Return which requests are held back, or for longer, since the last look, or no more."""
        found = []
        for key in self._touched:
            suspect = self._suspects.get(key)
            if suspect is None:
                continue
            before, suspect.occasions = suspect.occasions, self._occasions(suspect)
            ended = before > 0 and not suspect.occasions
            if suspect.occasions <= before and not ended:
                continue
            found.append(
                QuarantineChange(
                    report=self._report(key, suspect, now=now),
                    ended=ended,
                    keep=suspect.answered_here if ended else suspect.seen_here,
                )
            )
        self._touched.clear()
        return found

    def tell(self, *, now: float, regular: bool) -> tuple[CrashReport, ...]:
        """Return what a digest tells: what is new, and in a regular one what is held back."""
        self._changed = False
        if not self._suspects:
            return ()
        told = {key: self._suspects[key] for key in self._untold}
        self._untold = {key: left - 1 for key, left in self._untold.items() if left > 1}
        if regular:
            held = self._quarantined().items()
            told.update(nlargest(RETOLD_MOST, held, key=lambda item: item[1].newest))
        return tuple(self._report(key, suspect, now=now) for key, suspect in told.items())

    def expire(self, now: float) -> None:
        """Forget the requests that broke off long ago."""
        old = [
            key
            for key, suspect in self._suspects.items()
            if now >= suspect.newest + _remembered(suspect)
        ]
        for key in old:
            self._forget(key)

    def _suspect(self, key: RequestKey, *, now: float) -> _Suspect:
        suspect = self._suspects.get(key)
        if suspect is None:
            if len(self._suspects) >= SUSPECTS_MOST:
                self._forget(min(self._suspects, key=lambda key: self._suspects[key].newest))
            suspect = self._suspects[key] = _Suspect(newest=now)
        return suspect

    def _forget(self, key: RequestKey) -> None:
        self._untold.pop(key, None)
        for start in self._suspects.pop(key).crashes:
            self._unlink(key, start)

    def _turn_seconds(self, call: Call) -> float:
        """Return how long after other hosts this one sends the first try at a request."""
        if self._host not in self._hosts:
            return 0.0
        name = f"{call.customer} {call.fingerprint}"
        rank = ranked(name=name, hosts=self._hosts).index(self._host)
        return min(rank, TURNS_MOST) * TURN_SECONDS + rank * LATER_TURN_SECONDS

    def _add(self, key: RequestKey, suspect: _Suspect, start: TargetStart, *, at: float) -> bool:
        """Count a crash against a request and return whether it was news."""
        if start in suspect.cleared:
            return False
        known = suspect.crashes.get(start)
        suspect.crashes[start] = at if known is None else min(known, at)
        if known is not None:
            return False
        self._by_crash[start].add(key)
        self._touched.add(key)
        return True

    def _clear(self, key: RequestKey, suspect: _Suspect, starts: Iterable[TargetStart]) -> None:
        for start in starts:
            suspect.cleared[start] = None
            if start in suspect.crashes:
                del suspect.crashes[start]
                self._unlink(key, start)
                self._touched.add(key)
        while len(suspect.cleared) > CLEARED_MOST:
            del suspect.cleared[next(iter(suspect.cleared))]

    def _unlink(self, key: RequestKey, start: TargetStart) -> None:
        keys = self._by_crash[start]
        keys.discard(key)
        if not keys:
            del self._by_crash[start]

    def _tell(self, key: RequestKey) -> None:
        self._untold[key] = TELL_TIMES
        self._changed = True

    def _is_quarantined(self, suspect: _Suspect) -> bool:
        return len(suspect.crashes) >= CRASHES_MOST and len(self._own(suspect)) >= CRASHES_MOST

    def _occasions(self, suspect: _Suspect) -> int:
        """Return for how many occasions a request is held back; zero where it is not."""
        return len(_first_of_occasions(suspect)) if self._is_quarantined(suspect) else 0

    def _own(self, suspect: _Suspect) -> set[TargetStart]:
        """Return the crashes that do not count against a request that broke off more often.

        Of those that broke off equally often none is known to be the cause until one more target
        has crashed.
        """
        count = len(suspect.crashes)
        least = count + 1 if count > CRASHES_MOST else count
        return {
            start
            for start in suspect.crashes
            if not any(
                other is not suspect and len(other.crashes) >= least
                for other in map(self._suspects.__getitem__, self._by_crash[start])
            )
        }

    def _quarantined(self) -> dict[RequestKey, _Suspect]:
        return {key: found for key, found in self._suspects.items() if self._is_quarantined(found)}

    def _report(self, key: RequestKey, suspect: _Suspect, *, now: float) -> CrashReport:
        own = self._own(suspect)
        first = _first_of_occasions(suspect)
        crashes = sorted(suspect.crashes, key=lambda start: (start not in own, start not in first))
        told = crashes[:TOLD_CRASHES]
        return CrashReport(
            customer=key.customer,
            fingerprint=key.fingerprint,
            crashes=tuple(told),
            cleared=tuple(suspect.cleared),
            age=max(0.0, now - suspect.newest),
            ages=tuple(max(0.0, now - suspect.crashes[start]) for start in told),
        )


def _key(call: Call) -> RequestKey:
    return RequestKey(customer=call.customer, fingerprint=call.fingerprint)


def _hold_seconds(suspect: _Suspect) -> float:
    """Return for how long a request is held back after it last broke off."""
    occasions = len(_first_of_occasions(suspect))
    return HOLD_SECONDS[min(occasions, len(HOLD_SECONDS)) - 1]


def _first_of_occasions(suspect: _Suspect) -> set[TargetStart]:
    """Return the first crash of each occasion."""
    first: set[TargetStart] = set()
    since = -inf
    for start, at in sorted(suspect.crashes.items(), key=lambda item: (item[1], item[0])):
        if at > since + TOGETHER_SECONDS:
            first.add(start)
            since = at
    return first


def _remembered(suspect: _Suspect) -> float:
    """Return the seconds for which a request is remembered after it last broke off."""
    return QUARANTINE_SECONDS if len(suspect.crashes) >= CRASHES_MOST else SUSPECT_SECONDS
