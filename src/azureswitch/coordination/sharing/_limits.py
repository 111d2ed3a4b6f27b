"""Periods and limits of the exchange of load reports and digests."""

BUDGET = 3_000.0
"""Average bytes per second that a host may send and receive for load reports and digests.

A host limits only what it sends; as all hosts do the same, each receives as much on average.
Fleets of up to `FULL_HOSTS` hosts have no budget and exchange everything at once, as recent data is
worth more to them than bandwidth.
"""

REPORT_SHARE = 0.75
"""Share of the budget for load reports; the rest is for digests."""

REPORT_BYTES = BUDGET / 2 * REPORT_SHARE
"""Upper bound of the bytes of load reports that a host of a large fleet sends per second."""

DIGEST_BYTES = BUDGET / 2 * (1.0 - REPORT_SHARE)
"""Upper bound of the bytes of digests that a host of a large fleet sends per second."""

BURST_BYTES = 2_400.0
"""Size in bytes of the largest burst that a host may send."""

MESSAGE_OVERHEAD = 52
"""Approximate bytes of a datagram besides its body: IP, UDP, envelope and kind."""

FULL_HOSTS = 16
"""Number of hosts up to which all reports and digests are sent to all hosts at once."""

POLLERS = 2
"""Number of hosts that poll each engine."""

POLL_PERIOD_SECONDS = 0.4
"""Seconds between two polls of one engine by one host; the engine's two pollers alternate."""

MAX_POLLS_PER_SECOND = 2.5
"""Target for the polls per second of a host of a large fleet; it stretches the poll period."""

SCAN_PERIOD_SECONDS = 0.5
"""Seconds between two checks for engines without recent reports."""

MAX_MISSED_REPORTS = 3
"""Number of missing reports after which a host polls an engine itself."""

INTERVAL_DECAY = 0.98
"""Factor by which the longest interval between sends to a host decays with each send."""

MAX_REPORTS_PER_MESSAGE = 16
"""Upper bound of the reports in one datagram."""

REMOTE_MESSAGE_INTERVAL = 16
"""Of this many datagrams in a large fleet, one goes to another failure domain."""

TICK_SECONDS = 0.1
"""Seconds between two `SharingTicked` events."""
