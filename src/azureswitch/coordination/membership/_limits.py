"""Periods, sizes and counts of the protocol."""

TICK = 0.05
"""Seconds between two looks at the timers."""

PROBE_PERIOD = 0.5
"""Seconds from one probe to the next."""

DIRECT_TIMEOUT = 0.2
"""Seconds that a probed member has before others are asked to probe it."""

RELAY_TIMEOUT = 0.1
"""Seconds that a member has that is probed on request; the answer must be back in this period."""

HELPERS = 3
"""Members that are asked to probe one that did not answer."""

HEALTH_LIMIT = 3
"""The most by which a host that doubts itself stretches its probes, as a factor less one."""

STALL_SECONDS = 0.6
"""Seconds between two ticks from which the process counts as having been paused."""

SUSPICION_PERIODS = 3.0
"""Probe periods, times the decimal logarithm of the fleet, for a suspicion that others share."""

SUSPICION_STRETCH = 3.0
"""How much longer a suspicion lasts that no other member shares."""

CONFIRMATIONS = 2
"""Members that must share a suspicion until it lasts no longer than the shortest time."""

PIGGYBACK_BYTES = 500
"""Bytes of updates that a datagram carries at most, about."""

CANDIDATES = 16
"""Updates that are considered for one datagram at most."""

RETRANSMISSIONS = 2
"""How often an update is passed on, times the binary logarithm of the fleet."""

URGENT_FANOUT = 4
"""Members to which news that cannot wait is passed on at once."""

URGENT_UPDATES = 3
"""Updates that are passed on at once at most; further ones wait for the next probe."""

REPORT_BYTES = 200
"""Bytes of host names in the revision report of one datagram at most."""

SYNC_PERIOD = 10.0
"""Seconds between two exchanges of digests with another member, about."""

SYNC_JOIN_PERIOD = 0.5
"""Seconds between two exchanges while a host still learns the fleet."""

JOIN_SYNCS = 5
"""Exchanges after which a host counts as knowing the fleet."""

SYNC_TIMEOUT = 2.0
"""Seconds that an exchange of digests may take."""

SYNC_BUCKETS = 32
"""Parts into which members are divided for the comparison of digests."""

SYNC_UPDATES = 128
"""Updates in the answer to one exchange at most."""

LIST_PERIOD = 30.0
"""Seconds between two readings of the host list, about."""

LIST_JOIN_PERIOD = 0.5
"""Seconds between two readings of the host list while no other member is known."""

JOIN_SECONDS = 5.0
"""Seconds after its start in which a host expects those that are listed and not known yet.

77 hosts that start together know each other after 4 s.  An entry of a host that is gone for good is
expected no longer than that.
"""

FORGET_UNLISTED = 60.0
"""Seconds after which a dead member is forgotten that the host list no longer shows."""

FORGET_LISTED = 3_600.0
"""Seconds after which any dead member is forgotten."""
