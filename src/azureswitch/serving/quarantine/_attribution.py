"""Attributes each crash to the cause that was interrupted by the most of them.

Requests that run on the same target are interrupted too, so that a crash alone tells little.
"""

from azureswitch.serving._digests import TargetStart
from azureswitch.serving.quarantine._causes import Cause
from azureswitch.serving.quarantine._schedule import QUARANTINE_CRASHES, first_of_incidents
from azureswitch.serving.quarantine._suspects import Suspect, Suspects


def attributed(suspects: Suspects, suspect: Suspect) -> set[TargetStart]:
    """Return the crashes of a cause that no cause with more crashes explains."""
    return {
        start
        for start in suspect.crashes
        if not any(
            len(other.crashes) > len(suspect.crashes) for other in _interrupted(suspects, start)
        )
    }


def is_suspicious(suspects: Suspects, suspect: Suspect) -> bool:
    """Return whether enough crashes are attributed to a cause."""
    return (
        len(suspect.crashes) >= QUARANTINE_CRASHES
        and len(attributed(suspects, suspect)) >= QUARANTINE_CRASHES
    )


def rivals(suspects: Suspects, cause: Cause, suspect: Suspect) -> set[Cause]:
    """Return the other causes that explain all crashes attributed to a cause as well."""
    starts = attributed(suspects, suspect)
    shared = [suspects.interrupted_by(start) for start in starts]
    return set(frozenset.intersection(*shared) if shared else ()) - {cause}


def is_open(suspects: Suspects, cause: Cause, suspect: Suspect, *, among: frozenset[Cause]) -> bool:
    """Return whether a suspicious cause may be innocent in a request.

    It may where another cause, which the request lacks, explains its crashes as well.  A part,
    which sound requests may share, also may while its crashes were close in time, as those of
    targets lost together are, and no trial has failed since.

    Args:
        suspects: The evidence.
        cause: The cause.
        suspect: What is known of it.
        among: All causes in the request.
    """
    ambiguous = not rivals(suspects, cause, suspect) <= among
    if not cause.shared:
        return ambiguous and len(suspect.crashes) == QUARANTINE_CRASHES
    lost_together = len(first_of_incidents(suspect.crashes)) == 1
    return ambiguous or (lost_together and not suspect.trial_failed)


def _interrupted(suspects: Suspects, start: TargetStart) -> list[Suspect]:
    found = map(suspects.get, suspects.interrupted_by(start))
    return [suspect for suspect in found if suspect is not None]
