"""Which entry of a target holds, where its process may have started again under its name."""

from msgspec.structs import replace

from azureswitch.inventory._model import Target


def latest(known: Target | None, told: Target) -> Target:
    """Return the entry of a target that holds of two that were told one after the other.

    An entry may be told late, by a stale read or a peer's copy.  What it says of an earlier start,
    its address and role included, is over and changes nothing.

    Args:
        known: The entry that holds so far, or None where the target was not listed.
        told: The entry told now; one that does not say its start keeps the one that is known.

    Returns:
        The entry of the later start.
    """
    if known is None or told.started == known.started:
        return told
    if not told.started:
        return replace(told, started=known.started)
    return told if told.started > known.started else known


def started_again(known: Target | None, held: Target) -> bool:
    """Return whether a target runs in a later start than the one known before.

    A start that is told for the first time may be the one that ran before it was told.
    """
    return known is not None and 0 < known.started < held.started
