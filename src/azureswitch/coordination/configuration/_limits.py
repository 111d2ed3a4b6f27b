"""Periods, sizes and counts for changes and their distribution."""

HEAD_KIND = "configuration-head"
"""The kind of the single object whose conditional update accepts a change."""

HEAD_NAME = "head"
"""The name of that object."""

BODY_KIND = "configuration-body"
"""The kind of the bodies, named by revision and digest."""

AUDIT_KIND = "configuration-audit"
"""The kind of the audit entries of replaced heads, named by revision."""

MAX_BODY_BYTES = 1_000_000
"""Upper bound of the bytes of a body, given by the store."""

MAX_BODIES = 100
"""Number of newest revisions whose bodies are kept; audit entries are never deleted."""

CHANGE_TIMEOUT_SECONDS = 30.0
"""Seconds for which a change is retried while its outcome is unknown."""

ATTEMPT_TIMEOUT_SECONDS = 15.0
"""Timeout in seconds of one attempt at a change, which makes four to five calls to the store."""

BASE_CHANGE_BACKOFF_SECONDS = 0.1
"""Seconds before the first retry of a change; doubled for each further one."""

STORE_TIMEOUT_SECONDS = 5.0
"""Timeout in seconds of one call to the store."""

BASE_PULL_TIMEOUT_SECONDS = 1.0
"""Timeout in seconds of the first pull of a body; doubled after each failure."""

MAX_PULL_TIMEOUT_SECONDS = 8.0
"""Upper bound in seconds of the timeout of a pull."""

TICK_SECONDS = 0.25
"""Seconds between two `Ticked` events."""

WATCHERS = 2
"""Number of hosts of a failure domain that watch the store."""

WATCH_TIMEOUT_SECONDS = 60.0
"""Timeout in seconds of one watch."""

STABLE_HOSTS_SECONDS = 3.0
"""Seconds without a change of a failure domain's hosts before one starts or ends its watch."""

MAX_STABLE_WAIT_SECONDS = 15.0
"""Seconds after which a host starts or ends its watch even though other hosts join or leave."""

BASE_RECONNECT_BACKOFF_SECONDS = 0.5
"""Seconds before the first retry after a failure of the store; doubled for each further one."""

MAX_RECONNECT_BACKOFF_SECONDS = 30.0
"""Upper bound in seconds of the backoff after failures of the store."""

READ_INTERVAL_SECONDS = 300.0
"""Mean seconds between two reads of the head by a host that does not watch."""

GOSSIP_DELAYS_SECONDS = (0.0, 0.25, 0.5)
"""Seconds after an adoption at which a host announces its revision to other members."""

GOSSIP_FANOUT = 4
"""Number of members to which the revision is announced in one round."""

GOSSIP_PERIOD_SECONDS = 2.0
"""Mean seconds between two periodic announcements of the own revision, each to one member."""

QUERY_PERIOD_SECONDS = 1.0
"""Seconds between two queries of a starting host to the hosts that have not answered."""

STARTUP_STABLE_SECONDS = 3.0
"""Seconds without new hosts after which a starting host assumes that it knows all of them."""

STARTUP_TIMEOUT_SECONDS = 10.0
"""Seconds after which a majority of the reachable hosts is enough for a starting host."""

MAX_SOURCES = 8
"""Upper bound of the hosts that are recorded as sources of the requested revision."""

BASE_FETCH_BACKOFF_SECONDS = 0.2
"""Seconds before the first retry of a fetch; doubled for each further one."""

MAX_FETCH_BACKOFF_SECONDS = 10.0
"""Upper bound in seconds of the backoff between fetches."""

MAX_WATCH_FAILURES = 2
"""Upper bound of the failures that still count once the store has answered a watcher."""

QUERY_DELAY_SECONDS = 0.5
"""Seconds for which a starting host waits for the store before it queries other hosts."""
