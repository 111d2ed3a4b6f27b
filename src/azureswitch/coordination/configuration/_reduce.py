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
    GOSSIP_DELAYS_SECONDS,
    GOSSIP_FANOUT,
    GOSSIP_PERIOD_SECONDS,
    MAX_RECONNECT_BACKOFF_SECONDS,
    MAX_WATCH_FAILURES,
    QUERY_PERIOD_SECONDS,
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
    """Apply an event.

    Args:
        state: The state, which is updated in place.
        event: What happened.

    Returns:
        The effects that the driver must execute, in order.
    """
    effects = list(_apply(event, state))
    fetch = state._fetch.start(now=event.now)
    if fetch is not None:
        effects.append(fetch)
    return effects


def watchers(*, place: PlaceName, members: tuple[Member, ...]) -> tuple[HostName, ...]:
    """Return the hosts that watch the store for a failure domain."""
    hosts = (
        member.incarnation.host
        for member in members
        if member.place == place and member.status is MemberStatus.ALIVE
    )
    return ranked(name=f"configuration/{place}", hosts=hosts)[:WATCHERS]


@singledispatch
def _apply(event: ConfigurationEvent, state: ConfigurationState) -> ConfigurationEffects:
    raise TypeError(type(event))


@_apply.register
def _(event: Ticked, state: ConfigurationState) -> ConfigurationEffects:
    yield from _continue_startup(state, event)
    _update_watchers(state, event)
    yield from _call_store(state, event.now)
    yield from _gossip(state, event.now)


@_apply.register
def _(event: HostsListed, state: ConfigurationState) -> ConfigurationEffects:
    if state._start is not None:
        state._start.add_hosts(hosts=event.hosts, now=event.now)
    yield from ()


@_apply.register
def _(event: HeadSeen, state: ConfigurationState) -> ConfigurationEffects:
    state._store_failures = min(state._store_failures, MAX_WATCH_FAILURES)
    if not state._watching:
        state._store_call_open = False
        state._store_failures = 0
        state._next_store_call = state.next_read(now=event.now)
    entry = event.entry
    if entry is None:
        # No change has been accepted yet, so no host can have a stale revision.
        state._start = None
    elif entry.revision > state._revision:
        state._fetch.request(revision=entry.revision, entry=entry)
    yield from ()


@_apply.register
def _(event: StoreFailed, state: ConfigurationState) -> ConfigurationEffects:
    state._store_call_open = False
    state._watching = False
    state._next_store_call = state.next_reconnect(now=event.now)
    if state._revision and not state._should_watch:
        state._next_store_call = state.next_read(now=event.now)
    yield from ()


@_apply.register
def _(event: WatchRenewed, state: ConfigurationState) -> ConfigurationEffects:
    state._store_call_open = False
    state._watching = False
    state._store_failures = 0
    state._next_store_call = event.now
    yield from _call_store(state, event.now)


@_apply.register
def _(event: NewsReceived, state: ConfigurationState) -> ConfigurationEffects:
    news = event.news
    if state._start is not None:
        # A single answer may be from a stale host, so `Startup` decides.  But a revision that the
        # store has confirmed may be fetched from any host.
        state._start.add_answer(news=news)
        if 0 < state._fetch.revision <= news.revision:
            state._fetch.request(revision=news.revision, address=news.address)
    elif news.revision > state._revision:
        state._fetch.request(revision=news.revision, address=news.address)
    elif news.revision < state._revision:
        yield Cast(address=news.address, message=state.news)


@_apply.register
def _(event: Asked, state: ConfigurationState) -> ConfigurationEffects:
    yield Cast(address=event.ask.address, message=state.news)


@_apply.register
def _(event: FetchFailed, state: ConfigurationState) -> ConfigurationEffects:
    state._fetch.fail(address=event.address, now=event.now)
    yield from ()


@_apply.register
def _(event: BodyFetched, state: ConfigurationState) -> ConfigurationEffects:
    if digest_of(event.body) != event.digest:
        logging.warning("configuration: Body of revision %d is damaged.", event.revision)
        state._fetch.fail(address="", now=event.now)
        return
    state._fetch.complete(revision=event.revision)
    if event.revision <= state._revision:
        return
    state._revision = event.revision
    state._digest = event.digest
    state._body = event.body
    state._packed = b""
    state._start = None
    state._gossip_rounds = [event.now + delay for delay in GOSSIP_DELAYS_SECONDS]
    logging.info("configuration: Revision %d is in force.", event.revision)
    yield Adopt(revision=event.revision, body=event.body)
    yield from _gossip(state, event.now)


# --- Timers ---------------------------------------------------------------------------------------


def _continue_startup(state: ConfigurationState, event: Ticked) -> ConfigurationEffects:
    start = state._start
    if start is None:
        return
    if event.members is not state._members:
        start.add_members(members=event.members, now=event.now)
    news = start.choose(now=event.now)
    if news is not None and news.revision >= state._fetch.revision:
        state._fetch.request(revision=news.revision, address=news.address)
    elif news is not None and start.timed_out(now=event.now):
        state._fetch.fall_back(revision=news.revision, address=news.address)
    if event.now < state._next_query:
        return
    state._next_query = event.now + QUERY_PERIOD_SECONDS
    if not start.listed:
        yield ListHosts()
    ask = RevisionAsk(host=state._host, address=state._address)
    for address in start.unanswered:
        yield Cast(address=address, message=ask)


def _update_watchers(state: ConfigurationState, event: Ticked) -> None:
    if event.members is state._members:
        return
    state._members = event.members
    local_hosts = frozenset(
        item.incarnation.host for item in event.members if item.place == state._place
    )
    if local_hosts != state._local_hosts:
        state._local_hosts = local_hosts
        state._local_hosts_since = event.now
    chosen = state._host in watchers(place=state._place, members=event.members)
    if chosen != state._should_watch:
        state._should_watch = chosen
        state._should_watch_since = event.now


def _call_store(state: ConfigurationState, now: float) -> ConfigurationEffects:
    stable = state.is_stable(now=now)
    if state._watching and not state._should_watch and stable:
        state._watching = False
        state._store_call_open = False
        state._next_store_call = state.next_read(now=now)
        yield CloseWatch()
    _promote(state, now, stable)
    if state._store_call_open or now < state._next_store_call:
        return
    state._store_call_open = True
    if state._should_watch and stable:
        state._watching = True
        yield OpenWatch()
    else:
        yield ReadHead()


def _promote(state: ConfigurationState, now: float, stable: bool) -> None:
    """Advance the next store call of a host that becomes a watcher."""
    if not state._should_watch:
        state._promoted = False
    elif stable and not state._promoted:
        state._promoted = True
        limit = MAX_RECONNECT_BACKOFF_SECONDS if state._store_failures else 0.0
        state._next_store_call = min(state._next_store_call, now + limit * state._random.random())


def _gossip(state: ConfigurationState, now: float) -> ConfigurationEffects:
    if not state._revision:
        return
    if state._gossip_rounds and now >= state._gossip_rounds[0]:
        state._gossip_rounds.pop(0)
        for address in _random_addresses(state, GOSSIP_FANOUT):
            yield Cast(address=address, message=state.news)
    if now >= state._next_gossip:
        state._next_gossip = now + GOSSIP_PERIOD_SECONDS * state._random.uniform(0.75, 1.25)
        for address in _random_addresses(state, 1):
            yield Cast(address=address, message=state.news)


def _random_addresses(state: ConfigurationState, count: int) -> list[str]:
    others = [item.address for item in state._members if item.incarnation.host != state._host]
    return state._random.sample(others, min(count, len(others)))
