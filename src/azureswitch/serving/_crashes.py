"""Quarantine of requests that crash the targets that run them.

A request whose content crashes every engine that runs it is retried by its host, by its caller, and
at other hosts.  Hosts therefore gossip at which targets each request was interrupted, over all of
its attempts, and quarantine a request under which several targets have crashed.

Requests that run on the same target are interrupted too.  A crash therefore counts only against the
request that was interrupted at the most targets, and a request that is answered is cleared of all
of its crashes.  A request that many callers send may have run at each of many targets that were
lost together.  Crashes close in time therefore count as one incident, however many they are; a
request that crashes targets is recognized by further crashes that follow wherever it is sent.  It
is quarantined for some seconds after the first incident and for longer after each further one.
When a quarantine ends, hosts retry the request one after the other.

All decisions are functions of the reports known, regardless of their sender and order, so that
hosts with the same reports decide the same.
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
"""Default name of this host; it is no live host's, so that retries do not wait for a turn."""

QUARANTINE_CRASHES = 3
"""Crashed targets after which a request is quarantined.

One or two may fail for another reason, first where it runs and then where it is retried.
"""

INCIDENT_SECONDS = 2.0
"""Seconds within which crashes count as one incident.

The targets of a lost failure domain stop responding within one second of each other.
"""

QUARANTINE_SECONDS = 86_400.0
"""Longest quarantine in seconds; within a day the request or the targets can be fixed."""

QUARANTINE_STEPS_SECONDS = (4.0, 10.0, 600.0, QUARANTINE_SECONDS)
"""Seconds of quarantine after a request's last crash, by its number of incidents.

The first ones are short: requests that ran on targets lost together, also where that happens again
before one of them is answered, are refused for only some seconds.
"""

TURN_SECONDS = 0.5
"""Seconds between the first retries of two hosts; a crashing target stops responding sooner."""

MAX_TURNS = 6
"""Maximum turns of `TURN_SECONDS` that a host awaits; with more, its callers wait too long."""

LATER_TURN_SECONDS = 0.02
"""Seconds added per host in turn; hosts that have reached `MAX_TURNS` are only this far apart."""

TRIAL_SECONDS = 5.0
"""Seconds for which a host awaits the outcome of the single retry after a quarantine."""

SUSPECT_SECONDS = 3_600.0
"""Seconds for which the crashes of a request with too few for a quarantine are remembered."""

MAX_SUSPECTS = 2_048
"""Upper bound of requests remembered; those interrupted longest ago are evicted first.

A crashing engine interrupts as many requests as it has slots.
"""

REPORT_REPEATS = 3
"""Number of digests that report each crash, as any of them may be lost."""

MAX_REPORTED_CRASHES = QUARANTINE_CRASHES + len(QUARANTINE_STEPS_SECONDS) - 1
"""Upper bound of crashes reported per request, as many as its quarantine depends on."""

MAX_REPEATED_QUARANTINES = 16
"""Quarantined requests in each regular digest, for hosts that started after the crashes."""

MAX_CLEARED_CRASHES = 64
"""Upper bound of cleared crashes that are remembered and reported per request."""


class RequestKey(NamedTuple):
    """Identifies a request over all of its attempts and repetitions."""

    customer: CustomerName
    fingerprint: str


class _Suspect(Struct, kw_only=True):
    """A request that was interrupted at a target.

    Attributes:
        newest: When it was last interrupted, in seconds of the monotonic clock.
        crashes: The starts of targets at which it was interrupted, with the time of each; those of
            which it was cleared are left out.
        cleared: The crashes of which it was cleared, oldest first.
        seen_here: Whether this host observed one of its crashes.
        incidents: Number of its incidents if quarantined at the last `Crashes.pop_changes`, else 0.
        trial_until: Until when the outcome of a retry by this host is awaited.
        answered_here: Whether an answer to an attempt of this host has cleared it.
    """

    newest: float
    crashes: dict[TargetStart, float] = field(default_factory=dict)
    cleared: dict[TargetStart, None] = field(default_factory=dict)
    seen_here: bool = False
    incidents: int = 0
    trial_until: float = 0.0
    answered_here: bool = False


class QuarantineChange(Struct, frozen=True, kw_only=True):
    """The start, extension or end of the quarantine of a request.

    Attributes:
        report: The crashes known of the request.
        ended: Whether the quarantine has ended, as a target has answered the request.
        keep: Whether to write the change to the store as well, for hosts that start after all hosts
            that know of it have died.
    """

    report: CrashReport
    ended: bool
    keep: bool


class Crashes:
    """The requests that were interrupted at targets.

    Args:
        host: This host.
    """

    def __init__(self, *, host: HostName = NO_HOST) -> None:
        self._host = host
        self._hosts: tuple[HostName, ...] = ()
        self._suspects: dict[RequestKey, _Suspect] = {}
        self._by_crash: defaultdict[TargetStart, set[RequestKey]] = defaultdict(set)
        self._changed_keys: set[RequestKey] = set()
        self._unreported: dict[RequestKey, int] = {}
        self._changed = False

    @property
    def changed(self) -> bool:
        """Whether this host has new reports since the last digest."""
        return self._changed

    @property
    def news(self) -> bool:
        """Whether the next digest reports something that some hosts may not have received yet."""
        return bool(self._unreported)

    @property
    def touched(self) -> bool:
        """Whether `pop_changes` may return a change."""
        return bool(self._changed_keys)

    def set_hosts(self, hosts: Iterable[HostName]) -> None:
        """Replace the live hosts, which take turns to retry a request after its quarantine."""
        self._hosts = tuple(hosts)

    def record_crash(self, call: Call, start: TargetStart, *, now: float) -> None:
        """Record that a target failed while it ran a call."""
        if not call.fingerprint:
            return
        key = _key(call)
        suspect = self._suspect(key, now=now)
        if not self._add(key, suspect, start, at=now):
            return
        suspect.newest = now
        suspect.seen_here = True
        self._mark_unreported(key)

    def answered(self, call: Call) -> None:
        """Clear a request of its crashes so far, as a target has answered it."""
        if not self._suspects:
            return
        key = _key(call)
        suspect = self._suspects.get(key)
        if suspect is not None and suspect.crashes:
            self._clear(key, suspect, tuple(suspect.crashes))
            suspect.answered_here = True
            self._mark_unreported(key)

    def sent(self, call: Call, *, now: float) -> None:
        """Record that a call is sent; after a quarantine, other attempts await its outcome."""
        suspect = self._suspects.get(_key(call)) if self._suspects else None
        if suspect is not None and self._is_quarantined(suspect):
            suspect.trial_until = now + TRIAL_SECONDS

    def merge(self, reports: Iterable[CrashReport], *, now: float) -> None:
        """Merge reports of interrupted requests from another host or from the store."""
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
        """Return the seconds left of the quarantine of a call, or zero where it may be sent."""
        if not self._suspects:
            return 0.0
        suspect = self._suspects.get(_key(call))
        if suspect is None or not self._is_quarantined(suspect):
            return 0.0
        until = suspect.newest + _quarantine_seconds(suspect) + self._turn_seconds(call)
        return max(0.0, max(until, suspect.trial_until) - now)

    def quarantined(self) -> int:
        """Return the number of quarantined requests."""
        return len(self._quarantined())

    def pop_changes(self, *, now: float) -> list[QuarantineChange]:
        """Return the quarantines that began, were extended or ended since this last ran."""
        found = []
        for key in self._changed_keys:
            suspect = self._suspects.get(key)
            if suspect is None:
                continue
            before, suspect.incidents = suspect.incidents, self._incidents(suspect)
            ended = before > 0 and not suspect.incidents
            if suspect.incidents <= before and not ended:
                continue
            found.append(
                QuarantineChange(
                    report=self._report(key, suspect, now=now),
                    ended=ended,
                    keep=suspect.answered_here if ended else suspect.seen_here,
                )
            )
        self._changed_keys.clear()
        return found

    def collect_reports(self, *, now: float, regular: bool) -> tuple[CrashReport, ...]:
        """Return the reports of a digest: new ones, and in a regular one also quarantines."""
        self._changed = False
        if not self._suspects:
            return ()
        reported = {key: self._suspects[key] for key in self._unreported}
        self._unreported = {key: left - 1 for key, left in self._unreported.items() if left > 1}
        if regular:
            quarantined = self._quarantined().items()
            reported.update(
                nlargest(MAX_REPEATED_QUARANTINES, quarantined, key=lambda item: item[1].newest)
            )
        return tuple(self._report(key, suspect, now=now) for key, suspect in reported.items())

    def expire(self, now: float) -> None:
        """Forget the requests whose last crash is too old to count."""
        old = [
            key
            for key, suspect in self._suspects.items()
            if now >= suspect.newest + _retention_seconds(suspect)
        ]
        for key in old:
            self._forget(key)

    def _suspect(self, key: RequestKey, *, now: float) -> _Suspect:
        suspect = self._suspects.get(key)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                self._forget(min(self._suspects, key=lambda key: self._suspects[key].newest))
            suspect = self._suspects[key] = _Suspect(newest=now)
        return suspect

    def _forget(self, key: RequestKey) -> None:
        self._unreported.pop(key, None)
        for start in self._suspects.pop(key).crashes:
            self._unlink(key, start)

    def _turn_seconds(self, call: Call) -> float:
        """Return the seconds by which this host retries a request later than the first host."""
        if self._host not in self._hosts:
            return 0.0
        name = f"{call.customer} {call.fingerprint}"
        rank = ranked(name=name, hosts=self._hosts).index(self._host)
        return min(rank, MAX_TURNS) * TURN_SECONDS + rank * LATER_TURN_SECONDS

    def _add(self, key: RequestKey, suspect: _Suspect, start: TargetStart, *, at: float) -> bool:
        """Count a crash against a request and return whether it was unknown before."""
        if start in suspect.cleared:
            return False
        known = suspect.crashes.get(start)
        suspect.crashes[start] = at if known is None else min(known, at)
        if known is not None:
            return False
        self._by_crash[start].add(key)
        self._changed_keys.add(key)
        return True

    def _clear(self, key: RequestKey, suspect: _Suspect, starts: Iterable[TargetStart]) -> None:
        for start in starts:
            suspect.cleared[start] = None
            if start in suspect.crashes:
                del suspect.crashes[start]
                self._unlink(key, start)
                self._changed_keys.add(key)
        while len(suspect.cleared) > MAX_CLEARED_CRASHES:
            del suspect.cleared[next(iter(suspect.cleared))]

    def _unlink(self, key: RequestKey, start: TargetStart) -> None:
        keys = self._by_crash[start]
        keys.discard(key)
        if not keys:
            del self._by_crash[start]

    def _mark_unreported(self, key: RequestKey) -> None:
        self._unreported[key] = REPORT_REPEATS
        self._changed = True

    def _is_quarantined(self, suspect: _Suspect) -> bool:
        return (
            len(suspect.crashes) >= QUARANTINE_CRASHES
            and len(self._attributed(suspect)) >= QUARANTINE_CRASHES
        )

    def _incidents(self, suspect: _Suspect) -> int:
        """Return the number of incidents of a request, or zero if it is not quarantined."""
        return len(_first_of_incidents(suspect)) if self._is_quarantined(suspect) else 0

    def _attributed(self, suspect: _Suspect) -> set[TargetStart]:
        """Return the crashes that do not count against a request with more crashes.

        Among requests with equally many crashes the cause is unknown until one more target has
        crashed.
        """
        count = len(suspect.crashes)
        least = count + 1 if count > QUARANTINE_CRASHES else count
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
        attributed = self._attributed(suspect)
        first = _first_of_incidents(suspect)
        crashes = sorted(
            suspect.crashes, key=lambda start: (start not in attributed, start not in first)
        )
        reported = crashes[:MAX_REPORTED_CRASHES]
        return CrashReport(
            customer=key.customer,
            fingerprint=key.fingerprint,
            crashes=tuple(reported),
            cleared=tuple(suspect.cleared),
            age=max(0.0, now - suspect.newest),
            ages=tuple(max(0.0, now - suspect.crashes[start]) for start in reported),
        )


def _key(call: Call) -> RequestKey:
    return RequestKey(customer=call.customer, fingerprint=call.fingerprint)


def _quarantine_seconds(suspect: _Suspect) -> float:
    """Return the seconds for which a request is quarantined after its last crash."""
    incidents = len(_first_of_incidents(suspect))
    return QUARANTINE_STEPS_SECONDS[min(incidents, len(QUARANTINE_STEPS_SECONDS)) - 1]


def _first_of_incidents(suspect: _Suspect) -> set[TargetStart]:
    """Return the first crash of each incident."""
    first: set[TargetStart] = set()
    since = -inf
    for start, at in sorted(suspect.crashes.items(), key=lambda item: (item[1], item[0])):
        if at > since + INCIDENT_SECONDS:
            first.add(start)
            since = at
    return first


def _retention_seconds(suspect: _Suspect) -> float:
    """Return the seconds for which a request is remembered after its last crash."""
    return QUARANTINE_SECONDS if len(suspect.crashes) >= QUARANTINE_CRASHES else SUSPECT_SECONDS
