"""What hosts hear of targets' limits and tell each other, and the permits that they exchange."""

from collections.abc import Iterable
from functools import partial

from azureswitch.core import Effect
from azureswitch.serving._attempts import drain_all
from azureswitch.serving._digests import LimitReport
from azureswitch.serving._effects import AnnounceLimit, AnswerPermit, AskPermit
from azureswitch.serving._ending import run_step
from azureswitch.serving._events import LimitNamed, LimitUnnamed, PermitAnswered, PermitAsked
from azureswitch.serving._limits import safe_rate
from azureswitch.serving._retries import max_queue_seconds
from azureswitch.serving._state import CallRecord, Phase, ServingState
from azureswitch.serving._termination import end_limited
from azureswitch.serving._throttling import all_limited, seconds_until_permitted


def note_limit(state: ServingState, event: LimitNamed) -> list[Effect]:
    """Keep to a limit that a target names, from now on."""
    change = state.limits.name(
        event.target, started=event.started, rate=safe_rate(event.rate), now=event.now
    )
    if change is None:
        return []
    return [AnnounceLimit(change=change, text=event.text, readable=event.rate is not None)]


def note_no_limit(state: ServingState, event: LimitUnnamed) -> list[Effect]:
    """Let a target have more and more requests that names no limit any more."""
    change = state.limits.unname(
        event.target, started=event.started, sent=event.sent, now=event.now
    )
    return [] if change is None else [AnnounceLimit(change=change, text="")]


def hear_limits(state: ServingState, reports: Iterable[LimitReport], *, now: float) -> list[Effect]:
    """Take over what a peer tells of limits."""
    return [AnnounceLimit(change=change) for change in state.limits.hear(reports, now=now)]


def asks(state: ServingState, *, now: float) -> list[Effect]:
    """Ask for the permits that were found missing."""
    effects: list[Effect] = []
    for target in state.permits.pop_asks():
        report = state.limits.report(target, now=now)
        if report is not None:
            effects.append(AskPermit(owner=state.permits.owner_of(target), report=report))
    return effects


def answer_permit(state: ServingState, event: PermitAsked) -> list[Effect]:
    """Answer a peer, which may know more of the target's limit, or less."""
    target, now = event.report.target, event.now
    effects = hear_limits(state, [event.report], now=now)
    grant = state.permits.grant(target, host=event.host, now=now)
    report = state.limits.report(target, now=now)
    answer = AnswerPermit(host=event.host, target=target, grant=grant, report=report)
    return [*effects, answer]


def take_permit(state: ServingState, event: PermitAnswered) -> list[Effect]:
    """Send what waits for a permit, and refuse what none will come for in time."""
    now = event.now
    effects: list[Effect] = []
    if event.report is not None:
        effects += hear_limits(state, [event.report], now=now)
    state.permits.answer(event.target, event.grant, now=now)
    state.queue.unblock()
    effects += drain_all(state, now=now)
    for record in list(state.calls.values()):
        if record.phase is Phase.WAITING and _in_vain(state, record, now=now):
            step = partial(end_limited, state, record, now=now)
            effects += run_step(state, record, step, now=now)
    return effects


def _in_vain(state: ServingState, record: CallRecord, *, now: float) -> bool:
    """Return whether a call waits for a permit that will not come in time."""
    if not all_limited(state, record.pool, now=now):
        return False
    wait = seconds_until_permitted(state, record.pool, now=now)
    return now + wait > record.arrived + max_queue_seconds(record.call)
