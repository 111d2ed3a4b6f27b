"""The report of a cause that other hosts and the store receive."""

from azureswitch.serving._digests import CrashReport
from azureswitch.serving.quarantine._attribution import attributed
from azureswitch.serving.quarantine._causes import Cause
from azureswitch.serving.quarantine._schedule import (
    QUARANTINE_CRASHES,
    QUARANTINE_STEPS_SECONDS,
    first_of_incidents,
)
from azureswitch.serving.quarantine._suspects import Suspect, Suspects

MAX_REPORTED_CRASHES = QUARANTINE_CRASHES + len(QUARANTINE_STEPS_SECONDS) - 1
"""Upper bound of crashes reported per cause, as many as its quarantine depends on."""


def report_of(suspects: Suspects, cause: Cause, suspect: Suspect, *, now: float) -> CrashReport:
    """Return what is known of a cause, with the crashes that its quarantine depends on."""
    own = attributed(suspects, suspect)
    first = first_of_incidents(suspect.crashes)
    # In an order that all hosts share, so that all select the same crashes.
    crashes = sorted(
        suspect.crashes, key=lambda start: (start not in own, start not in first, start)
    )
    reported = crashes[:MAX_REPORTED_CRASHES]
    tried = suspect.trial_outstanding or suspect.trial_failed
    return CrashReport(
        customer=cause.customer,
        fingerprint=cause.fingerprint,
        crashes=tuple(reported),
        cleared=tuple(suspect.cleared),
        age=max(0.0, now - suspect.newest),
        ages=tuple(max(0.0, now - suspect.crashes[start]) for start in reported),
        trial_age=max(0.0, now - suspect.trial_at) if tried else None,
    )
