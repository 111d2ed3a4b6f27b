"""The reducer of sharing: when an engine is polled, and which hosts are sent its reports."""

from functools import singledispatch

from msgspec.msgpack import encode

from azureswitch.coordination.sharing._limits import (
    MAX_REPORTS_PER_MESSAGE,
    MESSAGE_OVERHEAD,
    REMOTE_MESSAGE_INTERVAL,
    SCAN_PERIOD_SECONDS,
)
from azureswitch.coordination.sharing._model import (
    DeliverReport,
    EnginePolled,
    EngineReports,
    EnginesChanged,
    EngineUnreachable,
    HostsChanged,
    PollEngine,
    PollFailed,
    ReportsReceived,
    SendReports,
    SharedReport,
    SharingEvent,
    SharingHost,
    SharingTicked,
    pack,
    unpack,
)
from azureswitch.coordination.sharing._state import RecordedReport, SharingState
from azureswitch.core import NO_EFFECTS, Effect, Effects, TargetName


def reduce(state: SharingState, event: SharingEvent) -> Effects:
    """Apply an event.

    Args:
        state: The state, which is updated in place.
        event: What happened.

    Returns:
        The effects that the driver must execute, in order.
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


# --- Polls and received reports -------------------------------------------------------------------


@_apply.register
def _(event: EnginePolled, state: SharingState) -> list[Effect]:
    name = event.report.target
    state.polling.discard(name)
    if name not in state.engines:
        return []
    state.reported_at[name] = event.now
    if name in state.assigned:
        state.record(event.report, now=event.now)
    return [DeliverReport(report=event.report, age=0.0)]


@_apply.register
def _(event: PollFailed, state: SharingState) -> list[Effect]:
    state.polling.discard(event.target)
    # The failure is not reported to other hosts, as this host may be the one that is partitioned.
    return [EngineUnreachable(target=event.target)] if event.target in state.engines else []


@_apply.register
def _(event: ReportsReceived, state: SharingState) -> list[Effect]:
    effects: list[Effect] = []
    for shared in event.reports:
        engine = state.engines.get(shared.target)
        if engine is None:
            continue
        age = max(0.0, shared.age / 1_000)
        state.reported_at[engine.name] = max(
            state.reported_at.get(engine.name, 0.0), event.now - age
        )
        _schedule_after_other(state, engine.name, event.now - age)
        report = unpack(shared, usual=engine.models)
        effects.append(DeliverReport(report=report, age=age))
    return effects


def _schedule_after_other(state: SharingState, name: TargetName, at: float) -> None:
    """Poll half a period after the other poller, which delays a poll by half a period at most."""
    if name in state.assigned and name in state.polled_at:
        latest = state.polled_at[name] + 1.5 * state.period
        state.next_poll[name] = min(at + state.period / 2, latest)


# --- Time -----------------------------------------------------------------------------------------


@_apply.register
def _(event: SharingTicked, state: SharingState) -> list[Effect]:
    effects = _send_reports(state, event.now)
    for name in state.assigned:
        if state.next_poll.get(name, 0.0) <= event.now:
            effects += _poll(state, name, event.now)
    if event.now >= state.next_scan:
        state.next_scan = event.now + SCAN_PERIOD_SECONDS
        effects += _poll_silent(state, event.now)
    return effects


def _poll(state: SharingState, name: TargetName, now: float) -> list[Effect]:
    if name in state.polling:
        return []
    state.polling.add(name)
    state.polled_at[name] = now
    state.next_poll[name] = now + state.period * state.random.uniform(0.9, 1.0)
    return [PollEngine(target=name)]


def _poll_silent(state: SharingState, now: float) -> list[Effect]:
    """Poll the engines without recent reports."""
    oldest = now - state.max_silence
    effects: list[Effect] = []
    for name in state.monitored:
        if name not in state.assigned and state.reported_at.setdefault(name, now) < oldest:
            effects += _poll(state, name, now)
    return effects


# --- Reports to other hosts -----------------------------------------------------------------------


def _send_reports(state: SharingState, now: float) -> list[Effect]:
    """Send recorded reports, to the hosts with the oldest last send first, within the budget."""
    if not state.latest_reports:
        return []
    if not state.exchanges_all and state.meter.room(now=now) < MESSAGE_OVERHEAD:
        return []
    newest = max(item.number for item in state.latest_reports.values())
    local = [host for host in state.local_hosts if state.last_sends[host.address].number < newest]
    remote = state.remote_hosts
    effects: list[Effect] = []
    while local or remote:
        is_remote = bool(remote) and (not local or state.sent_count % REMOTE_MESSAGE_INTERVAL == 0)
        host = (remote if is_remote else local).pop(0)
        messages = _messages(state, host, now)
        if not messages:
            continue
        size = sum(len(encode(message)) + MESSAGE_OVERHEAD for message in messages)
        if not state.exchanges_all and not state.meter.take(size, now=now):
            return effects
        state.mark_sent(host, now=now)
        effects += [SendReports(address=host.address, message=message) for message in messages]
    return effects


def _messages(state: SharingState, host: SharingHost, now: float) -> list[EngineReports]:
    """Return the messages with the reports that a host has not been sent yet."""
    known = state.last_sends[host.address].number
    shared = tuple(
        _pack(state, item, now)
        for item in state.latest_reports.values()
        if item.number > known and state.reports_to(item.report.target, host)
    )
    return [
        EngineReports(reports=shared[start : start + MAX_REPORTS_PER_MESSAGE])
        for start in range(0, len(shared), MAX_REPORTS_PER_MESSAGE)
    ]


def _pack(state: SharingState, item: RecordedReport, now: float) -> SharedReport:
    usual = state.engines[item.report.target].models
    return pack(item.report, age=now - item.at, usual=usual)
