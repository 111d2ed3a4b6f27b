"""The configuration reducer."""

from collections.abc import Iterator
from functools import singledispatch

from absl import logging

from azureswitch.coordination.configuration._effects import (
    Adopt,
    Cast,
    CloseWatch,
    ConfigurationEffect,
    ListHosts,
    OpenWatch,
    ReadHead,
)
from azureswitch.coordination.configuration._events import (
    Asked,
    BodyFetched,
    ConfigurationEvent,
    FetchFailed,
    HeadSeen,
    HostsListed,
    NewsReceived,
    StoreFailed,
    Ticked,
    WatchRenewed,
)
from azureswitch.coordination.configuration._limits import (
    ASK_PERIOD,
    NEWS_FANOUT,
    NEWS_PERIOD,
    NEWS_ROUNDS,
    RECONNECT_LIMIT,
    WATCH_FAILURES,
    WATCHERS,
)
from azureswitch.coordination.configuration._messages import RevisionAsk
from azureswitch.coordination.configuration._model import digest_of
from azureswitch.coordination.configuration._state import ConfigurationState
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import Effects, HostName, PlaceName
from azureswitch.hashing import ranked

ConfigurationEffects = Iterator[ConfigurationEffect]


def reduce(state: ConfigurationState, event: ConfigurationEvent) -> Effects:
    """Update the configuration in force with an event.

    Args:
        state: The configuration in force.
        event: What happened.

    Returns:
        What the driver does now, in order.
    """
    effects = list(_on(event, state))
    fetch = state._fetch.start(now=event.now)
    if fetch is not None:
        effects.append(fetch)
    return effects


def watchers(*, place: PlaceName, members: tuple[Member, ...]) -> tuple[HostName, ...]:
    """Return the hosts that should watch the store for a place."""
    hosts = (
        member.incarnation.host
        for member in members
        if member.place == place and member.status is MemberStatus.ALIVE
    )
    return ranked(name=f"configuration/{place}", hosts=hosts)[:WATCHERS]


@singledispatch
def _on(event: ConfigurationEvent, state: ConfigurationState) -> ConfigurationEffects:
    raise TypeError(type(event))


@_on.register
def _(event: Ticked, state: ConfigurationState) -> ConfigurationEffects:
    yield from _go_on_starting(state, event)
    _choose_watchers(state, event)
    yield from _use_store(state, event.now)
    yield from _spread(state, event.now)


@_on.register
def _(event: HostsListed, state: ConfigurationState) -> ConfigurationEffects:
    if state._start is not None:
        state._start.list(hosts=event.hosts, now=event.now)
    yield from ()


@_on.register
def _(event: HeadSeen, state: ConfigurationState) -> ConfigurationEffects:
    state._store_failures = min(state._store_failures, WATCH_FAILURES)
    if not state._watching:
        state._store_busy = False
        state._store_failures = 0
        state._store_at = state.next_read(now=event.now)
    entry = event.entry
    if entry is None:
        # Nothing was accepted yet, so there is no stale revision to fear.
        state._start = None
    elif entry.revision > state._revision:
        state._fetch.want(revision=entry.revision, entry=entry)
    yield from ()


@_on.register
def _(event: StoreFailed, state: ConfigurationState) -> ConfigurationEffects:
    state._store_busy = False
    state._watching = False
    state._store_at = state.next_reconnect(now=event.now)
    if state._revision and not state._chosen:
        state._store_at = state.next_read(now=event.now)
    yield from ()


@_on.register
def _(event: WatchRenewed, state: ConfigurationState) -> ConfigurationEffects:
    state._store_busy = False
    state._watching = False
    state._store_failures = 0
    state._store_at = event.now
    yield from _use_store(state, event.now)


@_on.register
def _(event: NewsReceived, state: ConfigurationState) -> ConfigurationEffects:
    news = event.news
    if state._start is not None:
        # One answer alone may be that of a stale host, so that `Start` decides; but a revision that
        # the store has shown already may come from any host.
        state._start.answer(news=news)
        if 0 < state._fetch.revision <= news.revision:
            state._fetch.want(revision=news.revision, address=news.address)
    elif news.revision > state._revision:
        state._fetch.want(revision=news.revision, address=news.address)
    elif news.revision < state._revision:
        yield Cast(address=news.address, message=state.news)


@_on.register
def _(event: Asked, state: ConfigurationState) -> ConfigurationEffects:
    yield Cast(address=event.ask.address, message=state.news)


@_on.register
def _(event: FetchFailed, state: ConfigurationState) -> ConfigurationEffects:
    state._fetch.failed(address=event.address, now=event.now)
    yield from ()


@_on.register
def _(event: BodyFetched, state: ConfigurationState) -> ConfigurationEffects:
    if digest_of(event.body) != event.digest:
        logging.warning("configuration: Body of revision %d is damaged.", event.revision)
        state._fetch.failed(address="", now=event.now)
        return
    state._fetch.satisfied(revision=event.revision)
    if event.revision <= state._revision:
        return
    state._revision = event.revision
    state._digest = event.digest
    state._body = event.body
    state._packed = b""
    state._start = None
    state._rounds = [event.now + delay for delay in NEWS_ROUNDS]
    logging.info("configuration: Revision %d is in force.", event.revision)
    yield Adopt(revision=event.revision, body=event.body)
    yield from _spread(state, event.now)


# --- Timers ---------------------------------------------------------------------------------------


def _go_on_starting(state: ConfigurationState, event: Ticked) -> ConfigurationEffects:
    start = state._start
    if start is None:
        return
    if event.members is not state._members:
        start.see(members=event.members, now=event.now)
    news = start.choose(now=event.now)
    if news is not None and news.revision >= state._fetch.revision:
        state._fetch.want(revision=news.revision, address=news.address)
    elif news is not None and start.overdue(now=event.now):
        state._fetch.settle(revision=news.revision, address=news.address)
    if event.now < state._asks_at:
        return
    state._asks_at = event.now + ASK_PERIOD
    if not start.listed:
        yield ListHosts()
    ask = RevisionAsk(host=state._host, address=state._address)
    for address in start.unanswered:
        yield Cast(address=address, message=ask)


def _choose_watchers(state: ConfigurationState, event: Ticked) -> None:
    if event.members is state._members:
        return
    state._members = event.members
    neighbours = frozenset(
        item.incarnation.host for item in event.members if item.place == state._place
    )
    if neighbours != state._neighbours:
        state._neighbours = neighbours
        state._neighbours_since = event.now
    chosen = state._host in watchers(place=state._place, members=event.members)
    if chosen != state._chosen:
        state._chosen = chosen
        state._chosen_since = event.now


def _use_store(state: ConfigurationState, now: float) -> ConfigurationEffects:
    settled = state.is_settled(now=now)
    if state._watching and not state._chosen and settled:
        state._watching = False
        state._store_busy = False
        state._store_at = state.next_read(now=now)
        yield CloseWatch()
    _promote(state, now, settled)
    if state._store_busy or now < state._store_at:
        return
    state._store_busy = True
    if state._chosen and settled:
        state._watching = True
        yield OpenWatch()
    else:
        yield ReadHead()


def _promote(state: ConfigurationState, now: float, settled: bool) -> None:
    """Let a host that becomes a watcher not wait for its next reading."""
    if not state._chosen:
        state._promoted = False
    elif settled and not state._promoted:
        state._promoted = True
        limit = RECONNECT_LIMIT if state._store_failures else 0.0
        state._store_at = min(state._store_at, now + limit * state._random.random())


def _spread(state: ConfigurationState, now: float) -> ConfigurationEffects:
    if not state._revision:
        return
    if state._rounds and now >= state._rounds[0]:
        state._rounds.pop(0)
        for address in _some(state, NEWS_FANOUT):
            yield Cast(address=address, message=state.news)
    if now >= state._reminds_at:
        state._reminds_at = now + NEWS_PERIOD * state._random.uniform(0.75, 1.25)
        for address in _some(state, 1):
            yield Cast(address=address, message=state.news)


def _some(state: ConfigurationState, count: int) -> list[str]:
    others = [item.address for item in state._members if item.incarnation.host != state._host]
    return state._random.sample(others, min(count, len(others)))
