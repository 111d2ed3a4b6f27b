"""Periods, counts and bytes of the sharing of engines' load."""

BUDGET = 3_000.0
"""Bytes a second that a host may send and receive for load reports and digests, on average.

A host controls what it sends, and as all do the same, it receives as much on average.  Fleets of up
to `FULL_HOSTS` hosts exchange all of it at once instead, which is worth more to them.
"""

REPORT_SHARE = 0.75
"""Part of the budget that is for load reports; the rest is for digests."""

REPORT_BYTES = BUDGET / 2 * REPORT_SHARE
"""Bytes a second of load reports that a host sends at most in a large fleet."""

DIGEST_BYTES = BUDGET / 2 * (1.0 - REPORT_SHARE)
"""Bytes a second of digests that a host sends at most in a large fleet."""

BURST_BYTES = 2_400.0
"""Bytes that a host may send at once after it has sent little."""

MESSAGE_OVERHEAD = 52
"""Bytes that a datagram has beside its body: IP, UDP, its envelope and kind, about."""

FULL_HOSTS = 16
"""Hosts up to which all reports and digests go to everyone at once."""

POLLERS = 2
"""Hosts that poll each engine."""

POLL_PERIOD = 0.4
"""Seconds between two polls of one engine by one host; two hosts poll in turns."""

POLLS_MOST = 2.5
"""Polls a second that a host of a large fleet is meant for; more engines are polled less often."""

SCAN_PERIOD = 0.5
"""Seconds between two looks for engines of which nothing is heard."""

MISSED_REPORTS = 3
"""Expected reports that may be missing before a host polls an engine itself."""

GAP_DECAY = 0.98
"""How slowly a host forgets that its reports to another were far apart."""

REPORTS_PER_MESSAGE = 16
"""Reports in one datagram."""

ELSEWHERE_EVERY = 16
"""One in so many datagrams of a large fleet goes to another place."""

TICK = 0.1
"""Seconds between two looks at what is due."""
