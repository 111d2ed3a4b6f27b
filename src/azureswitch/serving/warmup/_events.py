"""Handlers of events that change which targets are cold."""

from azureswitch.core import Effect
from azureswitch.serving._effects import AnnounceWarmth
from azureswitch.serving._events import SnapshotAdopted
from azureswitch.serving._state import ServingState


def adopt_warmth(state: ServingState, event: SnapshotAdopted) -> list[Effect]:
    """Apply what a configuration in force says of cold targets."""
    if state.snapshot is not event.snapshot:
        return []
    inventory = event.snapshot.inventory
    # Listed entries of an earlier start are not applied; the fleet holds the entries in force.
    states = (state.fleet.state(target.name) for target in inventory.targets)
    changes = state.warmup.adopt(
        targets=[known.target for known in states if known is not None],
        services=inventory.services,
        places=inventory.places,
        now=event.now,
    )
    return [AnnounceWarmth(change=change) for change in changes]


def refresh_warmth(state: ServingState, *, now: float) -> list[Effect]:
    """Refill the buckets of limited targets, and announce those that have become warm."""
    return [AnnounceWarmth(change=change) for change in state.warmup.refresh(now=now)]
