"""Periods, sizes and counts of changes and of their spread."""

HEAD_KIND = "configuration-head"
"""The kind of the one object whose update accepts a change."""

HEAD_NAME = "head"
"""The name of that object."""

BODY_KIND = "configuration-body"
"""The kind of the bodies, named by revision and digest."""

AUDIT_KIND = "configuration-audit"
"""The kind of the audit entries of replaced heads, named by revision."""

BODY_LIMIT = 1_000_000
"""Bytes of a body at most, as the store permits."""

KEPT_BODIES = 100
"""Revisions whose bodies are kept; audit entries are kept for good."""

CHANGE_SECONDS = 30.0
"""Seconds for which a change is tried while the store gives no clear answer."""

ATTEMPT_SECONDS = 15.0
"""Seconds that one try of a change, of four to five calls to the store, may take."""

CHANGE_PAUSE = 0.1
"""Seconds before the second try of a change; doubled for each further one."""

STORE_TIMEOUT = 5.0
"""Seconds that one call to the store may take."""

PULL_TIMEOUT = 1.0
"""Seconds that the first pull of a body may take; doubled for each further one."""

PULL_TIMEOUT_LIMIT = 8.0
"""Seconds that the pull of a body may take at most."""

TICK = 0.25
"""Seconds between two looks at the timers."""

WATCHERS = 2
"""Hosts of a place that watch the store."""

WATCH_SECONDS = 60.0
"""Seconds that one watch waits at most."""

WATCH_SETTLE = 3.0
"""Seconds for which the hosts of a place must stay the same until one acts on its part in it."""

WATCH_SETTLE_LIMIT = 15.0
"""Seconds after which a host acts on its part although others come and go."""

RECONNECT_FIRST = 0.5
"""Seconds before the first try to reach the store again; doubled for each further one."""

RECONNECT_LIMIT = 30.0
"""Seconds between two tries to reach the store at most."""

READ_SECONDS = 300.0
"""Seconds between two readings of the head by a host that does not watch, about."""

NEWS_ROUNDS = (0.0, 0.25, 0.5)
"""Seconds after an adoption at which a host passes the news on."""

NEWS_FANOUT = 4
"""Members to which the news is passed on in one round."""

NEWS_PERIOD = 2.0
"""Seconds between two reminders of the own revision, each to one member, about."""

ASK_PERIOD = 1.0
"""Seconds between two questions of a starting host to those that have not answered."""

START_SETTLE = 3.0
"""Seconds without new hosts after which a starting host counts as knowing them all."""

START_BOUND = 10.0
"""Seconds after which a starting host goes by the hosts that it can reach."""

SOURCES = 8
"""Hosts remembered as having the wanted revision."""

PULL_PAUSE = 0.2
"""Seconds before the second try to fetch a body; doubled for each further one."""

PULL_PAUSE_LIMIT = 10.0
"""Seconds between two tries to fetch a body at most."""

WATCH_FAILURES = 2
"""Failures held against a store that has just answered a watcher."""

ASK_DELAY = 0.5
"""Seconds that a starting host waits for the store before it asks other hosts."""
