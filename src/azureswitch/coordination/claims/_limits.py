"""Time-outs and periods of claims."""

RETENTION_SECONDS = 86_400.0
"""Default time in seconds for which a key is remembered."""

CLAIM_TIMEOUT = 5.0
"""Seconds after which an undecided claim is abandoned as not run."""

OWNER_TIMEOUT = 1.5
"""Seconds after which a claim is sent to the next host in the order of owners."""

SETTLE_TIMEOUT = 5.0
"""Seconds after which an outcome is reported again; above `MAX_OUTCOME_DELAY_SECONDS`."""

STORE_TIMEOUT = 3.0
"""Seconds after which the outcome of a store call is taken as unknown."""

AVOID_SECONDS = 2.0
"""Seconds for which a host that did not answer is not asked again."""

TICK_SECONDS = 0.02
"""Seconds between ticks while claims or outcomes are pending."""

IDLE_TICK_SECONDS = 0.25
"""Seconds between ticks while no claim or outcome is pending."""

RETRY_AFTER_SECONDS = 1.0
"""Seconds after which a refused caller may retry."""

JOIN_SECONDS = 5.0
"""Seconds after its start for which a process assumes that unknown processes are alive."""
