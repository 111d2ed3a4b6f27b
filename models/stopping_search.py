"""Visits the states that hosts can reach which are stopped and started again, nearest first."""

from collections import deque
from collections.abc import Iterable, Iterator
from itertools import product
from typing import TypeAlias

from azureswitch.gateway._stopping import Neighbours
from models.checker import Search
from models.stopping import (
    GRACE,
    IN_TURN,
    KNOWN_CLOSED,
    LISTENS_FREELY,
    LOOKS,
    PROMISES,
    SOMEBODY_LISTENS,
    Bounds,
    Host,
    Load,
    Mode,
    Passed,
    neighbours_in,
    pass_tick,
    steps_of,
    used_hosts,
)
from models.stopping_admission import Admission

ENDLESS = 12
"""Ticks of a request that outlasts the grace."""

EARLY = (4, ENDLESS)
"""Ticks that requests need which are open as a host is told to stop."""

FULL_LOADS = (
    *(Load(kept=kept) for kept in (False, True)),
    Load(reading=True),
    Load(early=4, reading=True),
    *(
        Load(early=early, left=left, kept=kept)
        for early, left, kept in product(EARLY, (False, True), (False, True))
    ),
)

PAIR = Bounds(hosts=2, loads=FULL_LOADS, lengths=(1, 3, 5, ENDLESS))
"""Two hosts, with all that may be open at them."""

TRIO = Bounds(hosts=3, loads=(Load(), Load(early=4), Load(early=ENDLESS)), lengths=())
"""Three hosts that begin nothing, where nothing is open, or for 4 s, or longer than the grace."""

SEEDED = Bounds(
    hosts=2,
    loads=(Load(), Load(reading=True), Load(early=4, left=True), Load(early=ENDLESS)),
    lengths=(ENDLESS,),
)
"""Two hosts with what shows the faults that are seeded."""

QUARTET = Bounds(hosts=4, loads=(Load(),), lengths=(), lags=(0,))
"""Four hosts at which nothing is open, behind a balancer that notices at once."""

HELD = Bounds(hosts=2, loads=(Load(), Load(early=ENDLESS)), lengths=(5,), held=True)
"""Two hosts that are also told to stop while their processes are loaded and callers wait."""

DOMAINS = {
    "two hosts": PAIR,
    "three hosts": TRIO,
    "two hosts, told while they are loaded": HELD,
    "four hosts": QUARTET,
}

KNOWN = {KNOWN_CLOSED: TRIO}
"""What is known not to be kept, and where it shows."""

STATE_LIMIT = 200_000
"""States that a search visits at most."""

_State: TypeAlias = tuple[int, ...]
"""The hosts' states, by their numbers in the book."""


class _Book:
    """The states of single hosts, which are numbered, and what a tick does to each."""

    def __init__(self) -> None:
        self.hosts: list[Host] = []
        self._numbers: dict[Host, int] = {}
        self._passed: dict[tuple[int, Neighbours, bool], tuple[int, Passed]] = {}
        self._neighbours: dict[tuple[int, tuple[Mode, ...]], Neighbours] = {}

    def number(self, host: Host) -> int:
        """Return the number of a host's state."""
        found = self._numbers.get(host)
        if found is None:
            found = self._numbers[host] = len(self.hosts)
            self.hosts.append(host)
        return found

    def passed(self, number: int, neighbours: Neighbours, may_go: bool) -> tuple[int, Passed]:
        """Return the number of a host's state after a tick, and what the tick did to it."""
        key = (number, neighbours, may_go)
        found = self._passed.get(key)
        if found is None:
            passed = pass_tick(self.hosts[number], neighbours, may_go=may_go)
            found = self._passed[key] = (self.number(passed.host), passed)
        return found

    def neighbours(self, hosts: tuple[Host, ...], place: int) -> Neighbours:
        """Return what a host knows of the others."""
        key = (place, tuple(host.mode for host in hosts))
        found = self._neighbours.get(key)
        if found is None:
            found = self._neighbours[key] = neighbours_in(hosts, place)
        return found


_Step: TypeAlias = tuple[str, _State, str]
"""Something that happens, what comes of it, and the promise that it breaks, or an empty string."""


class Domain:
    """The hosts of a failure domain.

    Args:
        bounds: What is tried.
        promises: The promises that are looked at.
    """

    def __init__(self, *, bounds: Bounds, promises: Iterable[str]) -> None:
        self._bounds = bounds
        self._promises = tuple(promises)
        self._admission = Admission(grace=GRACE)
        self._book = _Book()
        self._steps: dict[tuple[int, int, bool], tuple[tuple[str, int], ...]] = {}

    @property
    def start(self) -> _State:
        """All hosts serve."""
        return (self._book.number(Host()),) * self._bounds.hosts

    def next(self, state: _State) -> Iterator[_Step]:
        """Yield what may happen."""
        hosts = tuple(self._book.hosts[number] for number in state)
        used = used_hosts(hosts)
        for place, number in enumerate(state):
            before, after = state[:place], state[place + 1 :]
            for label, then in self._steps_of(place, number, used=used[place]):
                yield label, (*before, then, *after), ""
        if not any(host.due for host in hosts):
            yield self._tick(state, hosts)

    def _steps_of(self, place: int, number: int, *, used: bool) -> tuple[tuple[str, int], ...]:
        key = (place, number, used)
        if key not in self._steps:
            host = self._book.hosts[number]
            self._steps[key] = tuple(
                (f"host {place + 1}: {label}", self._book.number(then))
                for label, then in steps_of(host, self._bounds, self._admission, used=used)
            )
        return self._steps[key]

    def _tick(self, state: _State, hosts: tuple[Host, ...]) -> _Step:
        passed = [
            self._book.passed(number, self._book.neighbours(hosts, place), _may_go(hosts, place))
            for place, number in enumerate(state)
        ]
        effects = [effect for _, effect in passed]
        broken = {effect.promise for effect in effects} | _broken_together(hosts, effects)
        promise = next((promise for promise in self._promises if promise in broken), "")
        return "a tick", tuple(number for number, _ in passed), promise


def _half_ready(hosts: tuple[Host, ...]) -> bool:
    """Return whether the balancer leaves out hosts that are not ready."""
    return 2 * sum(host.ready for host in hosts) >= len(hosts)


def _leaves_before(hosts: tuple[Host, ...], place: int) -> bool:
    """Return whether a host leaves as well that is named before one."""
    return any(host.mode is Mode.STOPPING for host in hosts[:place])


def _may_go(hosts: tuple[Host, ...], place: int) -> bool:
    """Return whether others serve in place of a host, or it is its turn."""
    others = hosts[:place] + hosts[place + 1 :]
    my_turn = not _leaves_before(hosts, place) and any(other.listens for other in others)
    return _half_ready(hosts) or my_turn


def _broken_together(hosts: tuple[Host, ...], passed: list[Passed]) -> set[str]:
    """Return the promises that hosts broke which stopped listening before they had to."""
    broken = set()
    for place, (host, mine) in enumerate(zip(hosts, passed, strict=True)):
        since = host.since + mine.closed / LOOKS
        if mine.closed < 0 or since >= LISTENS_FREELY:
            continue
        if not _half_ready(hosts) and _leaves_before(hosts, place):
            broken.add(IN_TURN)
        others = [number for number in range(len(hosts)) if number != place]
        if not any(_listens_after(hosts[n], passed[n], mine.closed) for n in others):
            broken.add(_alone_promise(hosts, passed, place))
    return broken


def _alone_promise(hosts: tuple[Host, ...], passed: list[Passed], place: int) -> str:
    """Return which promise a host broke that stopped listening as the last one."""
    later = range(place + 1, len(hosts))
    known = any(hosts[n].only_answers or passed[n].closed >= 0 for n in later)
    return KNOWN_CLOSED if known else SOMEBODY_LISTENS


def _listens_after(host: Host, passed: Passed, look: int) -> bool:
    """Return whether a host takes new connections after a look of a tick."""
    return host.listens and not 0 <= passed.closed <= look


def search_stops(
    bounds: Bounds,
    *,
    promises: Iterable[str] = PROMISES,
    limit: int = STATE_LIMIT,
) -> Search:
    """Visit the states that hosts can reach until a promise is broken.

    Args:
        bounds: What is tried.
        promises: The promises that are looked at.
        limit: States that are visited at most.
    """
    domain = Domain(bounds=bounds, promises=promises)
    came_from: dict[_State, tuple[_State, str] | None] = {domain.start: None}
    queue = deque([domain.start])
    steps = 0
    while queue and len(came_from) < limit:
        state = queue.popleft()
        for label, then, promise in domain.next(state):
            steps += 1
            if promise:
                return Search(
                    states=len(came_from),
                    steps=steps,
                    complete=False,
                    promise=promise,
                    trace=(*_trace(came_from, state), label),
                )
            if then not in came_from:
                came_from[then] = (state, label)
                queue.append(then)
    return Search(states=len(came_from), steps=steps, complete=not queue)


def _trace(came_from: dict[_State, tuple[_State, str] | None], state: _State) -> tuple[str, ...]:
    labels = []
    link = came_from[state]
    while link is not None:
        labels.append(link[1])
        link = came_from[link[0]]
    return tuple(reversed(labels))
