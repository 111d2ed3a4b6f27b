"""The serving reducer, which maps each event of calls, targets and hosts to its effects."""

from functools import partial, singledispatch

from azureswitch.core import NO_EFFECTS, Effect, Effects
from azureswitch.exceptions import CallerLeftError
from azureswitch.serving._admission import refusal
from azureswitch.serving._attempts import (
    handle_attempt_end,
    record_first_token,
    record_progress,
)
from azureswitch.serving._dispatch import dispatch, drain_all
from azureswitch.serving._effects import (
    ClaimOutcome,
    SettleClaim,
)
from azureswitch.serving._ending import (
    finish,
    run_isolated,
    run_step,
)
from azureswitch.serving._events import (
    AttemptEnded,
    AttemptSilent,
    CacheReported,
    CallArrived,
    CallerLeft,
    ClaimDenied,
    ClaimGranted,
    ClaimReplayed,
    CrashesRecalled,
    DigestReceived,
    FirstTokenArrived,
    GraceEnded,
    LimitNamed,
    LimitUnnamed,
    LoadReported,
    PeersChanged,
    PermitAnswered,
    PermitAsked,
    QuarantineEnded,
    ServingEvent,
    ShutdownBegan,
    SnapshotAdopted,
    TargetLeaving,
    TargetUnreachable,
    Ticked,
    TokensArrived,
    TotalsReceived,
)
from azureswitch.serving._failover import (
    leave_unreachable,
    restart_attempts,
    withdraw,
)
from azureswitch.serving._gossip import (
    publish_digest,
    publish_totals,
    without_mismatched_starts,
)
from azureswitch.serving._limit_events import (
    answer_permit,
    merge_limits,
    note_limit,
    note_no_limit,
    request_permits,
    take_permit,
)
from azureswitch.serving._retries import LOST_SECONDS, STUCK_SECONDS
from azureswitch.serving._state import ServingState
from azureswitch.serving._termination import (
    end_stopped,
)
from azureswitch.serving.calls import Phase, TimerKind
from azureswitch.serving.calls._admit import admit, finish_unclaimed, refuse
from azureswitch.serving.calls._due import handle_timer
from azureswitch.serving.evacuation._apply import apply_evacuations, watch_evacuations
from azureswitch.serving.quarantine import Cause
from azureswitch.serving.quarantine._apply import begin_quarantines
from azureswitch.serving.silence._apply import fall_silent
from azureswitch.serving.warmup._events import adopt_warmth, refresh_warmth

TICK_SECONDS = 0.05
"""Seconds between two `Ticked` events."""


def reduce(state: ServingState, event: ServingEvent) -> Effects:
    """Apply an event.

    Args:
        state: The state, which is updated in place.
        event: What happened.

    Returns:
        The effects that the shell must execute, in order.
    """
    effects = _apply(event, state)
    if state.crashes.has_changes:
        effects += run_isolated(
            partial(begin_quarantines, state, now=event.now), name="Starting quarantines"
        )
    effects += run_isolated(
        partial(request_permits, state, now=event.now), name="Requesting permits"
    )
    if state.ledger.changed or state.crashes.changed or state.limits.has_unreported:
        effects = [
            *effects,
            *run_isolated(
                partial(publish_digest, state, now=event.now), name="Publishing a digest"
            ),
        ]
    return tuple(effects) or NO_EFFECTS


@singledispatch
def _apply(event: ServingEvent, state: ServingState) -> list[Effect]:
    raise NotImplementedError(type(event))


# --- Calls ----------------------------------------------------------------------------------------


@_apply.register
def _(event: CallArrived, state: ServingState) -> list[Effect]:
    call = event.call
    if call.id in state.calls:
        return []
    error = refusal(state, call, now=event.now)
    if error is not None:
        return refuse(call, error)
    return admit(state, call, now=event.now)


@_apply.register
def _(event: ClaimGranted, state: ServingState) -> list[Effect]:
    record = state.calls.get(event.call)
    if record is None:
        if state.take_abandoned_claim(event.call):
            return [SettleClaim(call=event.call, outcome=ClaimOutcome.NOT_RUN)]
        return []
    if record.phase is not Phase.CLAIMING:
        return []
    record.claimed = True
    record.phase = Phase.WAITING
    return run_step(state, record, partial(dispatch, state, record, now=event.now), now=event.now)


@_apply.register
def _(event: ClaimDenied, state: ServingState) -> list[Effect]:
    return finish_unclaimed(state, event.call, error=event.error, now=event.now)


@_apply.register
def _(event: ClaimReplayed, state: ServingState) -> list[Effect]:
    return finish_unclaimed(state, event.call, error=None, now=event.now)


@_apply.register
def _(event: CallerLeft, state: ServingState) -> list[Effect]:
    record = state.calls.get(event.call)
    if record is None:
        return []
    outcome_wanted = not (record.call.repeatable or record.call.cancellable)
    if outcome_wanted and record.attempts:
        # The caller may still ask for the outcome with the same idempotency key.
        return []
    ran = record.may_have_run or bool(record.attempts)
    outcome = ClaimOutcome.UNKNOWN if ran else ClaimOutcome.NOT_RUN
    effects = finish(state, record, error=CallerLeftError(), outcome=outcome, now=event.now)
    return effects + drain_all(state, now=event.now)


# --- Attempts -------------------------------------------------------------------------------------


@_apply.register
def _(event: FirstTokenArrived, state: ServingState) -> list[Effect]:
    record = state.calls.get(event.call)
    if record is None:
        return []
    if event.binding:
        record.bind()
    step = partial(record_first_token, state, record, event.attempt, now=event.now)
    return run_step(state, record, step, now=event.now)


@_apply.register
def _(event: TokensArrived, state: ServingState) -> list[Effect]:
    record = state.calls.get(event.call)
    if record is not None:
        record_progress(record, event)
    return []


@_apply.register
def _(event: AttemptSilent, state: ServingState) -> list[Effect]:
    record = state.calls.get(event.call)
    if record is None:
        return []
    step = partial(
        fall_silent, state, record, event.attempt, path_lost=event.path_lost, now=event.now
    )
    return run_step(state, record, step, now=event.now)


@_apply.register
def _(event: AttemptEnded, state: ServingState) -> list[Effect]:
    record = state.calls.get(event.call)
    if record is None:
        return []
    return run_step(state, record, partial(handle_attempt_end, state, record, event), now=event.now)


# --- Targets --------------------------------------------------------------------------------------


@_apply.register
def _(event: LoadReported, state: ServingState) -> list[Effect]:
    stuck_seconds = state.fleet.report(event.report, now=event.now, age=event.age)
    if stuck_seconds < STUCK_SECONDS:
        return []
    return withdraw(state, event.report.target, now=event.now)


@_apply.register
def _(event: CacheReported, state: ServingState) -> list[Effect]:
    if state.fleet.state(event.events.target) is not None:
        state.affinity.apply(event.events)
    return []


@_apply.register
def _(event: TargetUnreachable, state: ServingState) -> list[Effect]:
    silent_seconds = state.fleet.unreachable(event.target, now=event.now)
    return (
        leave_unreachable(state, event.target, now=event.now)
        if silent_seconds >= LOST_SECONDS
        else []
    )


@_apply.register
def _(event: TargetLeaving, state: ServingState) -> list[Effect]:
    state.note_leaving(event.target, started=event.started)
    return []


@_apply.register
def _(event: LimitNamed, state: ServingState) -> list[Effect]:
    return note_limit(state, event)


@_apply.register
def _(event: LimitUnnamed, state: ServingState) -> list[Effect]:
    return note_no_limit(state, event)


@_apply.register
def _(event: PermitAsked, state: ServingState) -> list[Effect]:
    return answer_permit(state, event)


@_apply.register
def _(event: PermitAnswered, state: ServingState) -> list[Effect]:
    return take_permit(state, event)


# --- Hosts and configuration ----------------------------------------------------------------------


@_apply.register
def _(event: DigestReceived, state: ServingState) -> list[Effect]:
    if event.digest.host != state.myself.name and state.fairness.apply_digest(
        event.digest, now=event.now
    ):
        state.fleet.apply_digest(without_mismatched_starts(state, event.digest), now=event.now)
        state.split.apply_digest(event.digest, now=event.now)
        state.ledger.set_account(
            host=event.digest.host,
            occupancies=event.digest.occupancies,
            starts=event.digest.starts,
            now=event.now,
        )
        state.crashes.merge(event.digest.crashes, now=event.now)
        return merge_limits(state, event.digest.limits, now=event.now)
    return []


@_apply.register
def _(event: CrashesRecalled, state: ServingState) -> list[Effect]:
    state.crashes.merge(event.reports, now=event.now)
    return []


@_apply.register
def _(event: QuarantineEnded, state: ServingState) -> list[Effect]:
    state.crashes.release(Cause(customer=event.customer, fingerprint=event.fingerprint))
    return []


@_apply.register
def _(event: TotalsReceived, state: ServingState) -> list[Effect]:
    if event.totals.place != state.myself.place:
        state.ledger.set_totals(event.totals, now=event.now)
    return []


@_apply.register
def _(event: PeersChanged, state: ServingState) -> list[Effect]:
    state.fairness.set_hosts(event.hosts)
    state.fleet.set_hosts(event.hosts)
    state.domains.set_hosts(len(event.hosts))
    state.ledger.keep(event.hosts)
    state.crashes.set_hosts(event.hosts)
    fleet_size = max(len(event.hosts), event.fleet_size or 0)
    state.retries.set_hosts(fleet_size)
    state.permits.set_hosts(event.hosts, fleet_hosts=fleet_size)
    state.warmup.set_hosts(event.hosts, fleet_hosts=fleet_size, now=event.now)
    return []


@_apply.register
def _(event: SnapshotAdopted, state: ServingState) -> list[Effect]:
    restarted = state.adopt(event.snapshot)
    state.crashes.confirm_silences(state.starts.lists, now=event.now)
    # Before any attempt is started again, which must find the new limits.
    effects = run_isolated(partial(adopt_warmth, state, event), name="Adopting warm-ups")
    effects += restart_attempts(state, restarted, now=event.now) if restarted else []
    effects += run_isolated(
        partial(apply_evacuations, state, now=event.now), name="Applying evacuations"
    )
    return effects + drain_all(state, now=event.now)


@_apply.register
def _(event: ShutdownBegan, state: ServingState) -> list[Effect]:
    if event.until is None:
        state.close(now=event.now)
    else:
        state.leave(now=event.now, until=event.until)
    return []


@_apply.register
def _(event: GraceEnded, state: ServingState) -> list[Effect]:
    # Every call is ended here.  Otherwise the exit of the process would cancel its attempts, which
    # would look like failures and be retried.
    state.leave(now=event.now, until=event.now)
    return [
        effect
        for record in list(state.calls.values())
        for effect in run_step(
            state,
            record,
            partial(end_stopped, state, record, now=event.now),
            now=event.now,
            final=True,
        )
    ]


# --- Time -----------------------------------------------------------------------------------------


@_apply.register
def _(event: Ticked, state: ServingState) -> list[Effect]:
    effects: list[Effect] = []
    now = event.now
    effects += run_isolated(partial(refresh_warmth, state, now=now), name="Timing cold targets")
    for timer in state.timers.due(now):
        record = state.calls.get(timer.call)
        if record is not None:
            step = partial(handle_timer, state, record, timer, now=now)
            final = timer.kind is TimerKind.DEADLINE
            effects += run_step(state, record, step, now=now, final=final)
    effects += run_isolated(partial(drain_all, state, now=now), name="Draining the queue")
    effects += run_isolated(partial(watch_evacuations, state, now=now), name="Watching evacuations")
    effects += run_isolated(partial(_expire, state, now=now), name="Forgetting")
    if state.digest_due(now):
        effects += run_isolated(
            partial(publish_digest, state, regular=True, now=now), name="Publishing a digest"
        )
        effects += run_isolated(partial(publish_totals, state), name="Publishing the totals")
        effects += run_isolated(partial(_expire_long_lived, state, now=now), name="Forgetting")
    return effects


def _expire(state: ServingState, *, now: float) -> list[Effect]:
    state.expire_claims(now)
    state.ledger.expire(now)
    return []


def _expire_long_lived(state: ServingState, *, now: float) -> list[Effect]:
    """Expire long-lived entries: requests that crashed targets, ended limits, and their permits."""
    state.crashes.expire(now)
    state.limits.expire(now)
    state.permits.expire(state.limits.targets)
    return []
