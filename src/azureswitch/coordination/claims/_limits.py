"""Times that bound claims."""

RETENTION = 86_400.0
"""Seconds for which a key is remembered by default."""

CLAIM_WAIT = 5.0
"""Seconds after which a claim that was not decided is given up as not run."""

OWNER_TIMEOUT = 1.5
"""Seconds after which a claim goes on to the next host in the order of owners."""

SETTLE_TIMEOUT = 5.0
"""Seconds after which an outcome is reported again; above the owner's bound for flushing."""

STORE_TIMEOUT = 3.0
"""Seconds after which the answer of a store call counts as lost."""

AVOID = 2.0
"""Seconds for which a host that did not answer is passed over."""

TICK = 0.02
"""Seconds between ticks while anything waits."""

IDLE_TICK = 0.25
"""Seconds between ticks while nothing waits."""

RETRY_AFTER = 1.0
"""Seconds after which a refused caller may try again."""

JOIN_SECONDS = 5.0
"""Seconds after its start for which a process takes those that it does not know to be alive."""
