"""Applies evacuations: refuses calls without another target, and counts what still runs."""

from functools import partial

from msgspec.structs import replace

from azureswitch.core import Effect
from azureswitch.exceptions import ServiceEvacuatedError
from azureswitch.serving._effects import AnnounceEvacuation
from azureswitch.serving._ending import run_step
from azureswitch.serving._state import ServingState
from azureswitch.serving._termination import end_refused
from azureswitch.serving.calls import CallRecord, Phase
from azureswitch.serving.evacuation import EvacuationPhase
from azureswitch.serving.targets import Pool

RESTORED_SECONDS = 1.0
"""Minimum retry time for callers if all targets are evacuated.

Every host that the store or a peer reaches learns within 1 s that a failure domain is restored, so
an earlier retry could meet a host that does not know yet.
"""

MAX_RETRY_JITTER = 2.0
"""Upper bound of the jitter of that time, as a multiple; callers should not return all at once."""


def apply_evacuations(state: ServingState, *, now: float) -> list[Effect]:
    """Announce evacuations that have begun or ended, and refuse calls that wait for them."""
    if state.snapshot is None:
        return []
    changes = state.evacuations.adopt(state.snapshot.inventory.places, within=state.fleet.within)
    emptied = _count(state, now=now)
    counted = [
        (
            replace(change, running=state.evacuations.running(change.place))
            if change.phase is EvacuationPhase.BEGUN
            else change
        )
        for change in changes
    ]
    announced: list[Effect] = [AnnounceEvacuation(change=change) for change in counted]
    return [*announced, *emptied, *end_waiting(state, now=now)]


def watch_evacuations(state: ServingState, *, now: float) -> list[Effect]:
    """Announce evacuated failure domains that became empty, and refuse calls that wait in vain."""
    if not state.evacuations.any:
        return []
    return [*_count(state, now=now), *end_waiting(state, now=now)]


def _count(state: ServingState, *, now: float) -> list[Effect]:
    running = (
        attempt.targets for record in state.calls.values() for attempt in record.attempts.values()
    )
    changes = state.evacuations.count(running, now=now)
    return [AnnounceEvacuation(change=change) for change in changes]


def end_waiting(state: ServingState, *, now: float) -> list[Effect]:
    """Refuse the calls that wait to be sent and whose targets are all evacuated."""
    if not state.evacuations.any:
        return []
    effects: list[Effect] = []
    evacuated: dict[tuple[str, str], bool] = {}
    for record in list(state.calls.values()):
        if record.phase not in (Phase.WAITING, Phase.BACKING_OFF) or record.attempts:
            continue
        key = (record.pool.service, record.pool.model)
        if key not in evacuated:
            evacuated[key] = is_evacuated(state, record.pool, now=now)
        if evacuated[key]:
            step = partial(end_evacuated, state, record, now=now)
            effects += run_step(state, record, step, now=now)
    return effects


def end_evacuated(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """End a call whose targets are all evacuated, as not run if that is certain."""
    return end_refused(state, record, service_evacuated(state), now=now)


def service_evacuated(state: ServingState) -> ServiceEvacuatedError:
    """Return the error to refuse a call with whose targets are all evacuated."""
    jitter = state.random.uniform(1.0, MAX_RETRY_JITTER)
    return ServiceEvacuatedError(seconds=RESTORED_SECONDS * jitter)


def is_evacuated(state: ServingState, pool: Pool, *, now: float) -> bool:
    """Return whether all targets of a pool that could take a call are evacuated.

    A target elsewhere that is only paused could take it later.
    """
    if not state.evacuations.any:
        return False
    targets = state.fleet.states(pool)
    others = (target for target in targets if not target.evacuated)
    return any(target.evacuated for target in targets) and not any(
        target.in_service(max(now, target.unusable_until)) for target in others
    )


def count_evacuated(state: ServingState, pool: Pool, *, now: float) -> int:
    """Return how many targets of a pool get no request now only due to an evacuation."""
    if not state.evacuations.any:
        return 0
    targets = state.fleet.states(pool)
    return sum(target.evacuated and target.in_service(now) for target in targets)


def count_in_use(state: ServingState, pool: Pool) -> int:
    """Return how many targets of a pool are in failure domains in use, but at least one."""
    if not state.evacuations.any:
        return len(pool.targets)
    return max(1, sum(not target.evacuated for target in state.fleet.states(pool)))
