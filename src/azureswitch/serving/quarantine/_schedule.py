"""For how long a cause is held after its last crash, and which host tries it first."""

from collections.abc import Iterable, Mapping, Sequence
from math import inf

from azureswitch.core import HostName
from azureswitch.hashing import ranked
from azureswitch.serving._digests import TargetStart
from azureswitch.serving.quarantine._causes import Cause

QUARANTINE_CRASHES = 3
"""Crashed targets after which a cause is suspected.

One or two may fail for another reason, first where a request runs and then where it is retried.
"""

INCIDENT_SECONDS = 2.0
"""Seconds within which crashes count as one incident.

The targets of a lost failure domain stop responding within one second of each other.
"""

QUARANTINE_SECONDS = 86_400.0
"""Longest quarantine in seconds; within a day the request or the targets can be fixed."""

QUARANTINE_STEPS_SECONDS = (4.0, 10.0, 600.0, QUARANTINE_SECONDS)
"""Seconds of quarantine after the last crash, by the number of incidents.

The first ones are short: requests that ran on targets lost together, also where that happens again
before one of them is answered, are refused for only some seconds.
"""

SUSPECT_SECONDS = 3_600.0
"""Seconds for which the crashes of a cause with too few for a quarantine are remembered."""

TURN_SECONDS = 0.5
"""Seconds between the first retries of two hosts; a crashing target stops responding sooner."""

MAX_TURNS = 6
"""Maximum turns of `TURN_SECONDS` that a host awaits; with more, its callers wait too long."""

LATER_TURN_SECONDS = 0.02
"""Seconds added per host in turn; hosts that have reached `MAX_TURNS` are only this far apart."""


def first_of_incidents(crashes: Mapping[TargetStart, float]) -> set[TargetStart]:
    """Return the first crash of each incident, given the time of each crash."""
    first: set[TargetStart] = set()
    since = -inf
    for start, at in sorted(crashes.items(), key=lambda item: (item[1], item[0])):
        if at > since + INCIDENT_SECONDS:
            first.add(start)
            since = at
    return first


def quarantine_seconds(incidents: int) -> float:
    """Return the seconds for which a cause is held after its last crash."""
    return QUARANTINE_STEPS_SECONDS[min(incidents, len(QUARANTINE_STEPS_SECONDS)) - 1]


def turn_seconds(cause: Cause, *, host: HostName, hosts: Sequence[HostName]) -> float:
    """Return the seconds by which a host retries a cause later than the first host."""
    if host not in hosts:
        return 0.0
    rank = _rank(cause, host=host, hosts=hosts)
    return min(rank, MAX_TURNS) * TURN_SECONDS + rank * LATER_TURN_SECONDS


def _rank(cause: Cause, *, host: HostName, hosts: Iterable[HostName]) -> int:
    name = f"{cause.customer} {cause.fingerprint}"
    return ranked(name=name, hosts=hosts).index(host)
