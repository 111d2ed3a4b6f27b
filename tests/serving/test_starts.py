"""Guards against state of a target's earlier start being applied after it has restarted.

Entries, digests and reports arrive late or out of order, and a target keeps its name over restarts.
"""

from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec.structs import replace

from azureswitch.core import CallId, Effect, HostName, TargetName
from azureswitch.exceptions import AzureswitchError, OutcomeLostError, Ran
from azureswitch.inventory import EnginePace, Snapshot, Target, TargetRole
from azureswitch.ports import CacheEvents, LoadReport
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    AttemptSilent,
    CacheReported,
    Call,
    CancelAttempt,
    ClaimGranted,
    Digest,
    DigestReceived,
    FinishCall,
    FirstTokenArrived,
    LoadReported,
    Occupancy,
    PublishDigest,
    RetryBudget,
    SettleClaim,
    SnapshotAdopted,
    StartAttempt,
    TargetLoad,
    TargetStart,
    TargetUnreachable,
)
from azureswitch.serving._ledger import PEER_SECONDS
from azureswitch.serving._length import Level
from azureswitch.serving._starts import MAX_UNLISTED_STARTS
from azureswitch.serving._target import TargetState
from tests.serving.engines import snapshot as paced_snapshot
from tests.serving.fixtures import Driver, booking, engine, model_call, only, plain_call, snapshot

PLAIN, ENGINE = TargetName("s1"), TargetName("e1")
BORN = 1_790_000_000_000
"""A start, in milliseconds of the wall clock."""

PREFIX = (1, 2)


def fleet(
    revision: int, started: int, *, others: int = 0, role: TargetRole = TargetRole.SERVING
) -> Snapshot:
    """Return one plain target and one engine with a start, and others that never restart."""
    targets = [booking(PLAIN), engine(ENGINE)]
    held = [replace(target, started=started, role=role) for target in targets]
    rest = [replace(booking(f"o{index}"), started=BORN) for index in range(others)]
    return snapshot(revision=revision, targets=[*held, *rest])


def driver(started: int = BORN, *, others: int = 0) -> Driver:
    """Return a host whose targets have a start."""
    return Driver(config=fleet(1, started, others=others))


def adopt(host: Driver, started: int, *, revision: int = 2, others: int = 0) -> list[Effect]:
    """Adopt a configuration with a start of the targets, and return the effects."""
    config = fleet(revision, started, others=others)
    return host.send(SnapshotAdopted(now=host.now, snapshot=config))


def sent(host: Driver, call: Call) -> StartAttempt:
    """Let a call arrive and be sent."""
    host.arrive(call)
    host.send(ClaimGranted(now=host.now, call=call.id))
    return only(StartAttempt, host.effects)[-1]


def end(host: Driver, start: StartAttempt, how: AttemptEnd, **more: float) -> list[Effect]:
    """Let an attempt end."""
    event = AttemptEnded(
        now=host.now, call=start.call, attempt=start.attempt, end=how, **more  # type: ignore[arg-type]
    )
    return host.send(event)


def told(
    host: Driver, *, started: int | None, sequence: int = 1, peer: str = "h2", streams: int = 1
) -> None:
    """Receive a peer's digest with load at the targets, with their start or without it."""
    names = (PLAIN, ENGINE)
    starts = () if started is None else (TargetStart(target=n, started=started) for n in names)
    digest = Digest(
        host=HostName(peer),
        sequence=sequence,
        started=1,
        loads=tuple(TargetLoad(target=n, urgent=9.0, total=9.0, tokens=9_000) for n in names),
        suspects=names,
        saved=names,
        occupancies=tuple(Occupancy(target=n, streams=streams, tokens=9_000) for n in names),
        starts=tuple(starts),
    )
    host.send(DigestReceived(now=host.now, digest=digest))


def report(started: int, *, waiting: int = 90_000) -> LoadReport:
    """Return an engine's load report."""
    return LoadReport(
        target=ENGINE,
        started=started,
        sequence=1,
        running=9,
        waiting=9,
        waiting_tokens=waiting,
        urgent_tokens=waiting,
        memory_used=waiting,
        memory_total=480_000,
        models=("base",),
    )


def target(host: Driver, name: TargetName) -> TargetState:
    """Return a host's state of a target."""
    found = host.state.fleet.state(name)
    assert found is not None
    return found


# --- State of the earlier start -------------------------------------------------------------------


def own_stream(host: Driver) -> None:
    """Start a request at the plain target."""
    sent(host, plain_call("c1"))


def own_prompt(host: Driver) -> None:
    """Start a prompt that may run once."""
    sent(host, model_call("c1", runs=1))


def broken(host: Driver) -> None:
    """Let a request be interrupted."""
    end(host, sent(host, plain_call("c1")), AttemptEnd.BROKEN)


def full(host: Driver) -> None:
    """Let a request be refused with a retry time."""
    end(host, sent(host, plain_call("c1")), AttemptEnd.REFUSED, retry_after=0.5)


def peers(host: Driver) -> None:
    """Receive a peer's digest."""
    told(host, started=BORN)


def peers_unsaid(host: Driver) -> None:
    """Receive the digest of a peer of an older version, which has no starts."""
    told(host, started=None)


def unreachable(host: Driver) -> None:
    """Let a poll fail."""
    host.send(TargetUnreachable(now=host.now, target=PLAIN))


def slow(host: Driver) -> None:
    """Observe that an engine has become slower."""
    for seconds in (0.1, 0.5):
        start = sent(host, model_call(f"c{seconds}"))
        host.now += seconds
        host.send(FirstTokenArrived(now=host.now, call=start.call, attempt=start.attempt))
        end(host, start, AttemptEnd.COMPLETE)


def cached(host: Driver) -> None:
    """Expect a prefix in an engine's cache."""
    end(host, sent(host, model_call("c1", prefix=PREFIX)), AttemptEnd.COMPLETE)


def reported(host: Driver) -> None:
    """Receive an engine's load report."""
    host.send(LoadReported(now=host.now, report=report(7)))


def occupied(host: Driver) -> bool:
    """Return whether the ledger contains load."""
    there = (host.state.ledger.at(name) for name in (PLAIN, ENGINE))
    return any(item != Occupancy(target=item.target) for item in there)


def loaded(host: Driver) -> bool:
    """Return whether work of this host is counted."""
    return bool(host.state.fleet.loads() or target(host, ENGINE).running)


def doubted(host: Driver) -> bool:
    """Return whether the plain target is avoided or unusable."""
    return not target(host, PLAIN).preferred(host.now)


def suspected(host: Driver) -> bool:
    """Return whether this host reports the plain target as suspect."""
    return bool(host.state.fleet.suspects(now=host.now))


def marked(host: Driver) -> bool:
    """Return whether the plain target has consecutive failures."""
    return bool(target(host, PLAIN).failures)


def waits(host: Driver) -> bool:
    """Return whether a new prompt is expected to wait at the engine."""
    return target(host, ENGINE).waits(now=host.now, level=Level.SHORT) > 0.0


def saved(host: Driver) -> bool:
    """Return whether a peer reserves the engine's memory."""
    return target(host, ENGINE).saved_until > host.now


def failed(host: Driver) -> bool:
    """Return whether a call avoids the target because it failed there."""
    return any(record.failed for record in host.state.calls.values())


def fast(host: Driver) -> bool:
    """Return whether the engine's speed differs from the default."""
    return host.state.costs.speed(ENGINE) != 1.0


def has_prefix(host: Driver) -> bool:
    """Return whether a prefix is expected in the engine's cache."""
    return bool(host.state.affinity.cached(PREFIX))


class TestBeliefs:
    """The known state of a target's earlier start."""

    @pytest.mark.parametrize(
        ("bring", "believed"),
        [
            (own_stream, occupied),
            (own_prompt, loaded),
            (own_prompt, waits),
            (peers, occupied),
            (peers_unsaid, occupied),
            (peers, waits),
            (peers, doubted),
            (peers, saved),
            (broken, doubted),
            (broken, suspected),
            (broken, marked),
            (full, doubted),
            (full, failed),
            (unreachable, doubted),
            (unreachable, suspected),
            (slow, fast),
            (cached, has_prefix),
            (reported, waits),
        ],
    )
    def test_ends(
        self, bring: Callable[[Driver], None], believed: Callable[[Driver], bool]
    ) -> None:
        """It is discarded when a later start becomes known."""
        host = driver()
        bring(host)
        assert believed(host)
        adopt(host, BORN + 1)
        assert not believed(host)

    @pytest.mark.parametrize("before", [BORN, 0])
    @pytest.mark.parametrize("after", [BORN - 1, 0, BORN])
    @pytest.mark.parametrize(
        ("bring", "believed"),
        [
            (own_stream, occupied),
            (own_prompt, loaded),
            (peers, occupied),
            (peers_unsaid, occupied),
            (broken, doubted),
            (cached, has_prefix),
            (reported, waits),
        ],
    )
    def test_stays(
        self,
        before: int,
        after: int,
        bring: Callable[[Driver], None],
        believed: Callable[[Driver], bool],
    ) -> None:
        """It is kept for the same start, an outdated one, none, or the first known one."""
        host = driver(before)
        bring(host)
        starts = len(only(StartAttempt, host.effects))
        # A peer's account of the current start would not match an outdated start.
        adopt(host, after if before or bring is not peers else BORN)
        assert believed(host)
        assert len(only(StartAttempt, host.effects)) == starts

    def test_late_entry(self) -> None:
        """A draining entry of the earlier start does not make the later one unusable."""
        host = driver(BORN + 1)
        config = fleet(2, BORN, role=TargetRole.DRAINING)
        host.send(SnapshotAdopted(now=host.now, snapshot=config))
        assert target(host, PLAIN).usable(host.now)
        assert sent(host, plain_call("c1")).targets == (PLAIN,)

    @pytest.mark.parametrize(("started", "counts"), [(7, False), (6, False), (8, True)])
    def test_late_reports(self, started: int, counts: bool) -> None:
        """Late reports of an engine's earlier start are ignored."""
        host = driver()
        reported(host)
        host.send(CacheReported(now=0.0, events=cache_events(7)))
        adopt(host, BORN + 1)
        host.send(LoadReported(now=host.now, report=report(started)))
        host.send(CacheReported(now=host.now, events=cache_events(started)))
        assert (waits(host), has_prefix(host)) == (counts, counts)

    def test_digest_at_once(self) -> None:
        """This host's digest at once removes its load at the earlier start."""
        host = driver()
        own_stream(host)
        effects = adopt(host, BORN + 1)
        assert [item.digest.occupancies for item in only(PublishDigest, effects)] == [()]

    def test_bounded(self) -> None:
        """The starts of targets that are no longer listed are bounded."""
        host = driver()
        for revision in range(2, 12):
            names = [f"t{revision}-{index}" for index in range(MAX_UNLISTED_STARTS // 4)]
            targets = [replace(booking(name), started=BORN) for name in names]
            config = snapshot(revision=revision, targets=targets)
            host.send(SnapshotAdopted(now=host.now, snapshot=config))
        names = [f"t{r}-{i}" for r in range(2, 12) for i in range(MAX_UNLISTED_STARTS // 4)]
        known = host.state.starts.select([TargetName(name) for name in names])
        assert len(known) == MAX_UNLISTED_STARTS + MAX_UNLISTED_STARTS // 4


def cache_events(started: int) -> CacheEvents:
    """Return the events in which an engine reports a cached prefix."""
    return CacheEvents(
        target=ENGINE, started=started, sequence=1, complete=True, added=PREFIX, removed=()
    )


# --- Attempts -------------------------------------------------------------------------------------


class TestAttempts:
    """Running attempts at the earlier start."""

    @pytest.mark.parametrize("others", [0, 1])
    @pytest.mark.parametrize("call", [plain_call("c1", repeatable=True), model_call("c1")])
    def test_repeatable(self, call: Call, others: int) -> None:
        """They are cancelled and restarted at once, there or elsewhere."""
        host = driver(others=others)
        first = sent(host, call)
        while call.service == "book" and first.targets != (PLAIN,):
            end(host, first, AttemptEnd.COMPLETE)
            call = replace(call, id=CallId(f"{call.id}+"))
            first = sent(host, call)
        effects = adopt(host, BORN + 1, others=others)
        (cancel,), (start,) = only(CancelAttempt, effects), only(StartAttempt, effects)
        assert (cancel.call, cancel.attempt) == (first.call, first.attempt)
        assert (start.call, start.attempt) == (first.call, first.attempt + 1)
        late = end(host, first, AttemptEnd.BROKEN)
        assert not only(FinishCall, late)
        assert not only(StartAttempt, late)
        assert not doubted(host)
        assert only(FinishCall, end(host, start, AttemptEnd.COMPLETE))[0].error is None
        assert not occupied(host)
        assert not loaded(host)

    @pytest.mark.parametrize(
        ("call", "retries"),
        [
            (model_call("c1", runs=1), None),
            (model_call("c1"), RetryBudget(share=0.0, burst=0.0)),
            (plain_call("c1"), None),
        ],
    )
    @pytest.mark.parametrize(
        ("how", "error"),
        [
            (AttemptEnd.COMPLETE, None),
            (AttemptEnd.BROKEN, AzureswitchError),
            (AttemptEnd.CANCELLED, AzureswitchError),
        ],
    )
    def test_awaited(
        self,
        call: Call,
        retries: RetryBudget | None,
        how: AttemptEnd,
        error: type[AzureswitchError] | None,
    ) -> None:
        """If no retry is permitted, the end of the connection determines the result."""
        host = driver()
        if retries is not None:
            host.state._retries = retries
        first = sent(host, call)
        effects = adopt(host, BORN + 1)
        assert not only(CancelAttempt, effects)
        assert not only(StartAttempt, effects)
        assert not only(FinishCall, effects)
        assert not occupied(host)
        end(host, first, how)
        host.tick(1.0)
        found = host.error("c1")
        assert found is None if error is None else isinstance(found, error)
        if isinstance(found, AzureswitchError):
            assert found.ran is Ran.UNKNOWN
            assert call.repeatable or isinstance(found, OutcomeLostError)
        assert len(only(StartAttempt, host.effects)) == 1
        # A failure of the earlier start does not count against the later one.
        assert not doubted(host)
        assert not occupied(host)
        assert not loaded(host)

    def test_not_run(self) -> None:
        """A refused connection proves that nothing ran, regardless of the start."""
        host = driver(others=1)
        first = sent(host, plain_call("c1"))
        adopt(host, BORN + 1, others=1)
        end(host, first, AttemptEnd.REFUSED)
        host.tick(1.0)
        assert len(only(StartAttempt, host.effects)) == 2
        assert not suspected(host) or first.targets != (PLAIN,)

    @pytest.mark.parametrize(
        ("prompt", "index", "begun", "again"),
        [
            (150_000, 0, False, True),
            (150_000, 0, True, False),
            (150_000, 1, False, True),
            (150_000, 1, True, False),
            (700_000, 0, True, False),
            (700_000, 1, True, False),
            (700_000, -1, True, False),
        ],
    )
    def test_helpers(self, prompt: int, index: int, begun: bool, again: bool) -> None:
        """A prompt on several engines is restarted unless its answer has begun."""
        config = paced_snapshot(PACE, 8)
        host = Driver(config=started_all(config))
        first = long_prompt(host, config, prompt)
        if begun:
            begin(host, first)
        gone = first.targets[index]
        later = started_all(replace(config, revision=2), later={gone})
        effects = host.send(SnapshotAdopted(now=host.now, snapshot=later))
        assert bool(only(CancelAttempt, effects)) is again
        assert bool(only(StartAttempt, effects)) is again
        if not again:
            assert host.state.ledger.at(gone) == Occupancy(target=gone)
        end(host, only(StartAttempt, host.effects)[-1], AttemptEnd.COMPLETE)
        assert host.state.ledger.collect_account() == ()

    @pytest.mark.parametrize("prompt", [150_000, 700_000])
    @pytest.mark.parametrize("index", [0, 1])
    @pytest.mark.parametrize("silent", [False, True])
    def test_answer_cut_short_by_news_of_a_start(
        self, prompt: int, index: int, silent: bool
    ) -> None:
        """An answer that has begun continues until its connection breaks or stays silent."""
        config = paced_snapshot(PACE, 8)
        host = Driver(config=started_all(config))
        first = long_prompt(host, config, prompt)
        begin(host, first)
        later = started_all(replace(config, revision=2), later={first.targets[index]})
        host.send(SnapshotAdopted(now=host.now, snapshot=later))
        begin(host, first)
        assert len(only(StartAttempt, host.effects)) == 1
        if silent:
            event = AttemptSilent(now=host.now, call=first.call, attempt=first.attempt)
            effects = host.send(event)
        else:
            effects = end(host, first, AttemptEnd.BROKEN)
        host.tick(1.0)
        assert len(only(StartAttempt, [*effects, *host.effects])) >= 2
        assert not only(FinishCall, host.effects)


def long_prompt(host: Driver, config: Snapshot, prompt: int) -> StartAttempt:
    """Send a prompt that is split over several engines."""
    call = replace(model_call("c1", tokens=prompt), service=config.inventory.services[0].name)
    return sent(host, replace(call, model="m", unshared=True))


def begin(host: Driver, start: StartAttempt) -> None:
    """Let the first token of an attempt arrive."""
    host.send(FirstTokenArrived(now=host.now, call=start.call, attempt=start.attempt))


PACE = EnginePace(
    step=0.00131,
    read_rate=154_000.0,
    pair=1.62e-10,
    stride=34,
    slots=8,
    memory=405_000,
    answer=1_266,
)


def started_all(config: Snapshot, *, later: set[TargetName] | None = None) -> Snapshot:
    """Return a configuration with starts of all targets, later ones for some."""
    targets: tuple[Target, ...] = tuple(
        replace(item, started=BORN + (item.name in (later or set())))
        for item in config.inventory.targets
    )
    return replace(config, inventory=replace(config.inventory, targets=targets))


# --- Peers ----------------------------------------------------------------------------------------


class TestPeers:
    """Digests of peers with other starts than the one known here."""

    @pytest.mark.parametrize(
        ("known", "started", "counts"),
        [
            (BORN, BORN, True),
            (BORN, BORN - 1, False),
            (BORN, BORN + 1, False),
            (BORN, None, True),
            (0, BORN, True),
            (0, None, True),
        ],
    )
    def test_told(self, known: int, started: int | None, counts: bool) -> None:
        """A digest counts if it may refer to the same start."""
        host = driver(known)
        told(host, started=started)
        assert (occupied(host), waits(host), doubted(host), saved(host)) == (counts,) * 4

    @pytest.mark.parametrize(
        ("known", "heard", "adopted", "streams"),
        [
            (BORN, (BORN + 1,), BORN + 1, 1),
            (BORN, (BORN + 2,), BORN + 1, 0),
            (BORN, (BORN + 1, BORN), BORN + 1, 1),
            (BORN, (BORN, BORN), BORN + 1, 0),
            (0, (BORN, BORN + 1), BORN + 1, 1),
            (0, (BORN, None), BORN, 2),
            (BORN, (None, BORN + 1), BORN + 1, 1),
        ],
    )
    def test_adopted(
        self, known: int, heard: tuple[int | None, ...], adopted: int, streams: int
    ) -> None:
        """An account of a later start counts as soon as that start is known here."""
        host = driver(known)
        for index, started in enumerate(heard):
            told(host, started=started, peer=f"p{index}")
        adopt(host, adopted)
        assert host.state.ledger.at(PLAIN).streams == streams

    def test_digest_starts(self) -> None:
        """This host's digests contain the start of each target once."""
        host = driver()
        broken(host)
        sent(host, plain_call("c2"))
        sent(host, model_call("c3"))
        (digest,) = [item.digest for item in only(PublishDigest, host.tick(1.0))][-1:]
        assert {load.target for load in digest.loads} == {ENGINE}
        assert digest.suspects == (PLAIN,)
        assert digest.starts == tuple(
            TargetStart(target=name, started=BORN) for name in (ENGINE, PLAIN)
        )


# --- Any order ------------------------------------------------------------------------------------

NAMES = (TargetName("s1"), TargetName("s2"))
HOSTS = ("h2", "h3")
STARTS = st.sampled_from((0, 1, 2, 3))
INDEXES = st.sampled_from((0, 0, 1, 2, 5))


class StartsMachine(RuleBasedStateMachine):
    """Delivers entries and digests late or out of order, and compares accounts with a model."""

    def __init__(self) -> None:
        super().__init__()
        self.driver = Driver(config=self.config(1, dict.fromkeys(NAMES, 0)))
        self.revision = 1
        self.known: dict[TargetName, int] = dict.fromkeys(NAMES, 0)
        self.listed = set(NAMES)
        self.calls: dict[CallId, Call] = {}
        self.own: dict[tuple[CallId, int], tuple[TargetName, int]] = {}
        self.open: set[tuple[CallId, int]] = set()
        self.spent: set[CallId] = set()
        self.finished: dict[CallId, FinishCall] = {}
        self.accounts: dict[str, tuple[int, float, dict[TargetName, int | None]]] = {}

    @staticmethod
    def config(revision: int, starts: dict[TargetName, int]) -> Snapshot:
        """Return a configuration of plain targets and their starts."""
        targets = [replace(booking(name), started=started) for name, started in starts.items()]
        return snapshot(revision=revision, targets=[*targets, engine("e1")])

    def take(self, effects: list[Effect]) -> None:
        """Check effects and apply them to the model."""
        for effect in effects:
            if isinstance(effect, StartAttempt):
                assert effect.call not in self.finished
                assert effect.call not in self.spent
                assert set(effect.targets) <= self.listed
                key = (effect.call, effect.attempt)
                (name,) = effect.targets
                self.own[key] = (name, self.known[name])
                self.open.add(key)
                if not self.calls[effect.call].repeatable:
                    self.spent.add(effect.call)
            elif isinstance(effect, CancelAttempt):
                self.open.remove((effect.call, effect.attempt))
            elif isinstance(effect, FinishCall):
                assert effect.call not in self.finished
                if effect.error is not None and effect.error.ran is Ran.NOT_RUN:
                    assert effect.call not in self.spent
                self.finished[effect.call] = effect
            elif isinstance(effect, SettleClaim):
                assert effect.call not in self.finished

    @rule(repeatable=st.booleans(), seconds=st.sampled_from((0.5, 5.0)))
    def arrive(self, repeatable: bool, seconds: float) -> None:
        """A call arrives, and its claim is granted."""
        deadline = self.driver.now + seconds
        call = plain_call(f"c{len(self.calls)}", repeatable=repeatable, deadline=deadline)
        self.calls[call.id] = call
        self.take(self.driver.arrive(call))
        self.take(self.driver.send(ClaimGranted(now=self.driver.now, call=call.id)))

    @precondition(lambda self: self.own)
    @rule(index=INDEXES, how=st.sampled_from(AttemptEnd))
    def end(self, index: int, how: AttemptEnd) -> None:
        """An attempt ends, possibly one that has already ended."""
        key = list(self.own)[-1 - index % len(self.own)]
        if how is AttemptEnd.REJECTED:
            how = AttemptEnd.BROKEN
        if key in self.open and how is AttemptEnd.REFUSED:
            self.spent.discard(key[0])
        self.open.discard(key)
        event = AttemptEnded(now=self.driver.now, call=key[0], attempt=key[1], end=how)
        self.take(self.driver.send(event))

    @rule(starts=st.dictionaries(st.sampled_from(NAMES), STARTS, min_size=1))
    def entries(self, starts: dict[TargetName, int]) -> None:
        """Entries arrive in any order; targets without one are no longer listed."""
        self.revision += 1
        again = {name for name, new in starts.items() if 0 < self.known[name] < new}
        for host, (sequence, at, items) in self.accounts.items():
            left = {n: s for n, s in items.items() if n not in again or s is not None}
            self.accounts[host] = (sequence, at, left)
        for name, started in starts.items():
            if not self.known[name]:
                # Attempts from before the first known start count as sent to that start.
                sent = {key: item for key, item in self.own.items() if item == (name, 0)}
                self.own.update(dict.fromkeys(sent, (name, started)))
            self.known[name] = max(self.known[name], started)
        self.listed = set(starts)
        config = self.config(self.revision, starts)
        self.take(self.driver.send(SnapshotAdopted(now=self.driver.now, snapshot=config)))

    @rule(
        host=st.sampled_from(HOSTS),
        sequence=st.integers(1, 12),
        items=st.dictionaries(st.sampled_from(NAMES), st.none() | STARTS),
    )
    def digest(self, host: str, sequence: int, items: dict[TargetName, int | None]) -> None:
        """A peer's digest arrives, possibly an outdated one, with any starts or none."""
        items = {name: started or None for name, started in items.items()}
        digest = Digest(
            host=HostName(host),
            sequence=sequence,
            started=1,
            occupancies=tuple(Occupancy(target=name, streams=1) for name in items),
            starts=tuple(
                TargetStart(target=name, started=started)
                for name, started in items.items()
                if started is not None
            ),
        )
        known = self.accounts.get(host)
        if known is None or sequence > known[0]:
            self.accounts[host] = (sequence, self.driver.now, items)
        self.take(self.driver.send(DigestReceived(now=self.driver.now, digest=digest)))

    @rule(seconds=st.sampled_from((0.05, 0.5, 2.0)))
    def tick(self, seconds: float) -> None:
        """Time passes."""
        self.take(self.driver.tick(self.driver.now + seconds))
        for host, (sequence, at, _) in self.accounts.items():
            if self.driver.now - at > PEER_SECONDS:
                self.accounts[host] = (sequence, at, {})

    @invariant()
    def counted(self) -> None:
        """The ledger counts exactly the attempts at the starts known here."""
        for name in NAMES:
            known = self.known[name]
            mine = sum(self.own[key] == (name, known) for key in self.open)
            theirs = sum(
                name in items and (not items[name] or not known or items[name] == known)
                for _, _, items in self.accounts.values()
            )
            assert self.driver.state.ledger.at(name).streams == mine + theirs

    def teardown(self) -> None:
        """Advance the time until each call has finished, and check that no load is left."""
        self.tick(2.0 * PEER_SECONDS)
        assert set(self.finished) == set(self.calls)
        assert not self.open
        assert not self.driver.state.calls
        assert self.driver.state.ledger.collect_account() == ()
        for name in NAMES:
            assert self.driver.state.ledger.at(name) == Occupancy(target=name)


StartsMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestStarts = StartsMachine.TestCase
