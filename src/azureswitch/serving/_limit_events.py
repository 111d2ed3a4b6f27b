"""Handlers of events that concern rate limits of targets, and of permit messages between hosts."""

from collections.abc import Iterable
from functools import partial

from azureswitch.core import Effect
from azureswitch.serving._digests import LimitReport
from azureswitch.serving._dispatch import drain_all
from azureswitch.serving._effects import AnnounceLimit, AnswerPermit, AskPermit
from azureswitch.serving._ending import run_step
from azureswitch.serving._events import LimitNamed, LimitUnnamed, PermitAnswered, PermitAsked
from azureswitch.serving._limits import safe_rate
from azureswitch.serving._retries import max_queue_seconds
from azureswitch.serving._state import ServingState
from azureswitch.serving._termination import end_limited
from azureswitch.serving._throttling import all_limited, seconds_until_permitted
from azureswitch.serving.calls import CallRecord, Phase


def note_limit(state: ServingState, event: LimitNamed) -> list[Effect]:
    """Record a limit that a target announces, which applies from now on."""
    change = state.limits.record_limit(
        event.target, started=event.started, rate=safe_rate(event.rate), now=event.now
    )
    if change is None:
        return []
    return [AnnounceLimit(change=change, text=event.text, readable=event.rate is not None)]


def note_no_limit(state: ServingState, event: LimitUnnamed) -> list[Effect]:
    """Record the end of a limit, which starts the ramp-up of its target."""
    change = state.limits.record_no_limit(
        event.target, started=event.started, sent=event.sent, now=event.now
    )
    return [] if change is None else [AnnounceLimit(change=change, text="")]


def merge_limits(
    state: ServingState, reports: Iterable[LimitReport], *, now: float
) -> list[Effect]:
    """Merge the limits that a peer reports."""
    return [AnnounceLimit(change=change) for change in state.limits.merge(reports, now=now)]


def request_permits(state: ServingState, *, now: float) -> list[Effect]:
    """Return the effects that ask the owners of targets for the permits requested here."""
    effects: list[Effect] = []
    for target in state.permits.pop_asks():
        report = state.limits.report(target, now=now)
        if report is not None:
            effects.append(AskPermit(owner=state.permits.owner_of(target), report=report))
    return effects


def answer_permit(state: ServingState, event: PermitAsked) -> list[Effect]:
    """Answer a peer's request for a permit; each side learns the other's report of the limit."""
    target, now = event.report.target, event.now
    effects = merge_limits(state, [event.report], now=now)
    grant = state.permits.grant(target, host=event.host, now=now)
    report = state.limits.report(target, now=now)
    answer = AnswerPermit(host=event.host, target=target, grant=grant, report=report)
    return [*effects, answer]


def take_permit(state: ServingState, event: PermitAnswered) -> list[Effect]:
    """Apply an owner's answer, send queued calls, and end those that get no permit in time."""
    now = event.now
    effects: list[Effect] = []
    if event.report is not None:
        effects += merge_limits(state, [event.report], now=now)
    state.permits.answer(event.target, event.grant, now=now)
    state.queue.unblock()
    effects += drain_all(state, now=now)
    for record in list(state.calls.values()):
        if record.phase is Phase.WAITING and _permit_too_late(state, record, now=now):
            step = partial(end_limited, state, record, now=now)
            effects += run_step(state, record, step, now=now)
    return effects


def _permit_too_late(state: ServingState, record: CallRecord, *, now: float) -> bool:
    """Return whether a queued call, all of whose targets are limited, gets no permit in time."""
    if not all_limited(state, record.pool, now=now):
        return False
    wait = seconds_until_permitted(state, record.pool, now=now)
    return now + wait > record.arrived + max_queue_seconds(record.call)
