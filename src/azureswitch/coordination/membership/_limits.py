"""Periods, time-outs and bounds of the protocol."""

TICK_SECONDS = 0.05
"""Seconds between two `Ticked` events."""

PROBE_PERIOD = 0.5
"""Seconds between the starts of two probes."""

DIRECT_TIMEOUT = 0.2
"""Seconds after which other members are asked to probe a member that has not answered."""

RELAY_TIMEOUT = 0.1
"""Seconds after which an indirect probe has failed; its answer must arrive within the period."""

INDIRECT_PROBES = 3
"""Upper bound of members that are asked to probe a member that has not answered."""

MAX_HEALTH_SCORE = 3
"""Highest local health score; the probe period is multiplied by one more than the score."""

STALL_SECONDS = 0.6
"""Minimum time in seconds between two ticks that is taken for a pause of the process."""

SUSPICION_PERIODS = 3.0
"""Duration of a confirmed suspicion, in probe periods times the decimal logarithm of the fleet."""

MAX_SUSPICION_FACTOR = 3.0
"""Factor by which a suspicion lasts longer while no other member has confirmed it."""

CONFIRMATIONS = 2
"""Confirmations by other members that reduce a suspicion to its minimum duration."""

MAX_PIGGYBACK_BYTES = 500
"""Approximate upper bound of the bytes of updates in a datagram."""

MAX_CANDIDATES = 16
"""Upper bound of updates that are considered for one datagram."""

RETRANSMISSION_FACTOR = 2
"""How often a host sends an update, as a multiple of the binary logarithm of the fleet."""

URGENT_FANOUT = 4
"""Upper bound of members to which urgent updates are sent at once."""

MAX_URGENT_UPDATES = 3
"""Upper bound of updates that are sent at once; further ones wait for the next probe."""

MAX_REPORT_BYTES = 200
"""Upper bound of the bytes of host names in the revision report of one datagram."""

SYNC_PERIOD = 10.0
"""Average time in seconds between two exchanges of digests."""

SYNC_JOIN_PERIOD = 0.5
"""Average time in seconds between two exchanges while a host does not know the fleet yet."""

JOIN_SYNCS = 5
"""Number of exchanges after which a host is assumed to know the fleet."""

SYNC_TIMEOUT = 2.0
"""Seconds after which an exchange of digests times out."""

SYNC_BUCKETS = 32
"""Number of buckets into which members are hashed for the comparison of digests."""

MAX_SYNC_UPDATES = 128
"""Upper bound of updates in the answer to one exchange."""

LIST_PERIOD = 30.0
"""Average time in seconds between two readings of the host list."""

LIST_JOIN_PERIOD = 0.5
"""Average time in seconds between two readings of the host list while no other member is known."""

JOIN_SECONDS = 5.0
"""Seconds after its start for which a host expects listed hosts that are not members yet.

77 hosts that start together know each other after 4 s.  The bound limits how long a host is
expected that is gone but still listed.
"""

FORGET_UNLISTED_SECONDS = 60.0
"""Seconds after which a dead member is forgotten if the host list does not contain it."""

FORGET_LISTED_SECONDS = 3_600.0
"""Seconds after which any dead member is forgotten."""
