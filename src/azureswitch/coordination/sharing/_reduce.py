"""Who polls an engine when, and who is told: every event of sharing to its effects."""

from functools import singledispatch

from msgspec.msgpack import encode

from azureswitch.coordination.sharing._limits import (
    ELSEWHERE_EVERY,
    MESSAGE_OVERHEAD,
    REPORTS_PER_MESSAGE,
    SCAN_PERIOD,
)
from azureswitch.coordination.sharing._model import (
    EnginePolled,
    EngineReports,
    EnginesChanged,
    EngineUnreachable,
    HostsChanged,
    PollEngine,
    PollFailed,
    ReportLearned,
    ReportsHeard,
    SendReports,
    SharedReport,
    SharingEvent,
    SharingHost,
    SharingTicked,
    pack,
    unpack,
)
from azureswitch.coordination.sharing._state import Learned, SharingState
from azureswitch.core import NO_EFFECTS, Effect, Effects, TargetName


def reduce(state: SharingState, event: SharingEvent) -> Effects:
    """Apply an event.

    Args:
        state: The state, which is updated in place.
        event: What happened.

    Returns:
        What the driver must do, in order.
    """
    return tuple(_apply(event, state)) or NO_EFFECTS


@singledispatch
def _apply(event: SharingEvent, state: SharingState) -> list[Effect]:
    raise NotImplementedError(type(event))


@_apply.register
def _(event: HostsChanged, state: SharingState) -> list[Effect]:
    state.set_hosts(event.hosts, place=event.place)
    return []


@_apply.register
def _(event: EnginesChanged, state: SharingState) -> list[Effect]:
    state.set_engines(event.engines, event.places)
    return []


# --- What is learned ------------------------------------------------------------------------------


@_apply.register
def _(event: EnginePolled, state: SharingState) -> list[Effect]:
    name = event.report.target
    state.polling.discard(name)
    if name not in state.engines:
        return []
    state.heard[name] = event.now
    if name in state.mine:
        state.learn(event.report, now=event.now)
    return [ReportLearned(report=event.report, age=0.0)]


@_apply.register
def _(event: PollFailed, state: SharingState) -> list[Effect]:
    state.polling.discard(event.target)
    # That it does not answer is not passed on: it may be this host that is cut off.
    return [EngineUnreachable(target=event.target)] if event.target in state.engines else []


@_apply.register
def _(event: ReportsHeard, state: SharingState) -> list[Effect]:
    effects: list[Effect] = []
    for shared in event.reports:
        engine = state.engines.get(shared.target)
        if engine is None:
            continue
        age = max(0.0, shared.age / 1_000)
        state.heard[engine.name] = max(state.heard.get(engine.name, 0.0), event.now - age)
        _alternate(state, engine.name, event.now - age)
        report = unpack(shared, usual=engine.models)
        effects.append(ReportLearned(report=report, age=age))
    return effects


def _alternate(state: SharingState, name: TargetName, at: float) -> None:
    """Poll half a period after the other poller, and never wait for it for longer than that."""
    if name in state.mine and name in state.polled:
        latest = state.polled[name] + 1.5 * state.period
        state.due[name] = min(at + state.period / 2, latest)


# --- Time -----------------------------------------------------------------------------------------


@_apply.register
def _(event: SharingTicked, state: SharingState) -> list[Effect]:
    effects = _share(state, event.now)
    for name in state.mine:
        if state.due.get(name, 0.0) <= event.now:
            effects += _poll(state, name, event.now)
    if event.now >= state.scan_due:
        state.scan_due = event.now + SCAN_PERIOD
        effects += _scan(state, event.now)
    return effects


def _poll(state: SharingState, name: TargetName, now: float) -> list[Effect]:
    if name in state.polling:
        return []
    state.polling.add(name)
    state.polled[name] = now
    state.due[name] = now + state.period * state.random.uniform(0.9, 1.0)
    return [PollEngine(target=name)]


def _scan(state: SharingState, now: float) -> list[Effect]:
    """Poll the engines of which nothing was heard for too long."""
    oldest = now - state.patience
    effects: list[Effect] = []
    for name in state.watched:
        if name not in state.mine and state.heard.setdefault(name, now) < oldest:
            effects += _poll(state, name, now)
    return effects


# --- Telling others -------------------------------------------------------------------------------


def _share(state: SharingState, now: float) -> list[Effect]:
    """Send what was learned to those who have waited longest, as far as the budget goes."""
    if not state.learned:
        return []
    if not state.full and state.meter.room(now=now) < MESSAGE_OVERHEAD:
        return []
    newest = max(item.number for item in state.learned.values())
    near = [host for host in state.near if state.visited[host.address].number < newest]
    far = state.far
    effects: list[Effect] = []
    while near or far:
        elsewhere = bool(far) and (not near or state.sent % ELSEWHERE_EVERY == 0)
        host = (far if elsewhere else near).pop(0)
        messages = _messages(state, host, now)
        if not messages:
            continue
        size = sum(len(encode(message)) + MESSAGE_OVERHEAD for message in messages)
        if not state.full and not state.meter.take(size, now=now):
            return effects
        state.told(host, now=now)
        effects += [SendReports(address=host.address, message=message) for message in messages]
    return effects


def _messages(state: SharingState, host: SharingHost, now: float) -> list[EngineReports]:
    """Return what a host has not been sent yet."""
    known = state.visited[host.address].number
    shared = tuple(
        _packed(state, item, now)
        for item in state.learned.values()
        if item.number > known and state.tells(item.report.target, host)
    )
    return [
        EngineReports(reports=shared[start : start + REPORTS_PER_MESSAGE])
        for start in range(0, len(shared), REPORTS_PER_MESSAGE)
    ]


def _packed(state: SharingState, item: Learned, now: float) -> SharedReport:
    usual = state.engines[item.report.target].models
    return pack(item.report, age=now - item.at, usual=usual)
