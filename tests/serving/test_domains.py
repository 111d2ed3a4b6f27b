"""Large fleets: which hosts receive which digests, and where attempts are placed."""

import pytest

from azureswitch.core import CallId, CustomerName, HostName, PlaceName, TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    Call,
    CallArrived,
    DomainTotals,
    FirstTokenArrived,
    HostSelf,
    Occupancy,
    PeersChanged,
    PublishDigest,
    PublishTotals,
    ServingEvent,
    ServingState,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
    TotalsReceived,
    reduce,
)
from azureswitch.serving._domains import Domains
from azureswitch.serving._ledger import TOTALS_SECONDS
from tests.serving.batching import Workload
from tests.serving.engines import SERVICE, Simulation, place_of, snapshot

PACE = EnginePace(
    step=0.00131,
    read_rate=154_000.0,
    pair=1e-10,
    stride=53,
    slots=10,
    memory=405_000,
    answer=1_378,
)
SHORT = Workload(
    prompt=4_000,
    sigma=0.9,
    max_prompt=30_000,
    events=26,
    objective=0.4,
    max_pause=0.3,
    weight=2.6e-4,
)
MIDDLE = Workload(
    prompt=40_000,
    sigma=0.5,
    max_prompt=110_000,
    events=16,
    objective=1.5,
    max_pause=0.8,
    weight=8e-5,
)
LONG = Workload(
    prompt=230_000,
    sigma=0.5,
    max_prompt=900_000,
    events=13,
    objective=4.0,
    max_pause=1.2,
    weight=1.1e-4,
)
KINDS = (SHORT, MIDDLE, LONG)

HOME = PlaceName("p1")
AWAY = PlaceName("p2")


class Fleet:
    """One host of a large fleet, with engines that alternate between two failure domains."""

    def __init__(self, *, hosts: int = 3, engines: int = 8) -> None:
        myself = HostSelf(name=HostName("h0"), place=HOME, started=1)
        self.state = ServingState(myself=myself, seed=1, lean=True, full_hosts=2)
        self.send(SnapshotAdopted(now=0.0, snapshot=snapshot(PACE, engines, places=2)))
        names = tuple(HostName(f"h{index}") for index in range(hosts))
        self.send(PeersChanged(now=0.0, hosts=names))
        self._calls = 0

    def send(self, event: ServingEvent) -> list[object]:
        """Pass an event to the reducer and return the effects."""
        return list(reduce(self.state, event))

    def ask(self, prompt: int = 4_000, *, objective: float = 0.4) -> list[object]:
        """Let a request arrive and its prefill finish; return the effects of its arrival."""
        self._calls += 1
        call = Call(
            id=CallId(f"c{self._calls}"),
            customer=CustomerName(""),
            service=SERVICE,
            model="m",
            prompt_tokens=prompt,
            output_tokens=1_300,
            deadline=10.0,
            objective=objective,
            gap_objective=0.3,
            runs=2,
            unshared=True,
        )
        effects = self.send(CallArrived(now=0.0, call=call))
        self.send(FirstTokenArrived(now=0.0, call=call.id, attempt=1))
        return effects

    def end(self, number: int) -> list[object]:
        """Let the answer of a request end and return the effects."""
        call = CallId(f"c{number}")
        return self.send(AttemptEnded(now=0.1, call=call, attempt=1, end=AttemptEnd.COMPLETE))

    def fill(self, place: PlaceName, streams: int) -> None:
        """Receive totals of a failure domain with a number of streams at each engine."""
        names = [f"e{index}" for index in range(8) if place_of(index, 2) == place]
        busy = tuple(Occupancy(target=TargetName(name), streams=streams) for name in names)
        totals = DomainTotals(place=place, occupancies=busy)
        self.send(TotalsReceived(now=0.0, totals=totals))


def sent_to(effects: list[object]) -> TargetName:
    """Return the target that a request was sent to."""
    return next(effect.targets[0] for effect in effects if isinstance(effect, StartAttempt))


def audience(effects: list[object]) -> frozenset[PlaceName] | None:
    """Return the failure domains that receive the digest."""
    return next(effect.places for effect in effects if isinstance(effect, PublishDigest))


def place_at(target: TargetName) -> PlaceName:
    """Return the failure domain of an engine."""
    return place_of(int(target.removeprefix("e")), 2)


class TestAudience:
    """`Domains.audience`."""

    @pytest.mark.parametrize(
        ("hosts", "accounts", "regular", "heard"),
        [
            (2, [[AWAY]], False, None),
            (3, [[]], False, {HOME}),
            (3, [[HOME]], False, {HOME}),
            (3, [[HOME, AWAY]], False, {HOME, AWAY}),
            (3, [[AWAY], []], False, {HOME, AWAY}),
            (3, [[AWAY], [], []], False, {HOME}),
            (3, [[AWAY], [], []], True, {HOME}),
        ],
        ids=["small", "idle", "near", "both", "ended", "end reported", "regular"],
    )
    def test_places(
        self,
        hosts: int,
        accounts: list[list[PlaceName]],
        regular: bool,
        heard: set[PlaceName] | None,
    ) -> None:
        """The own domain receives it, and those of targets in this or the previous digest."""
        domains = Domains(own=HOME, full_hosts=2)
        domains.set_hosts(hosts)
        told = [domains.audience(places, regular=False) for places in accounts[:-1]]
        assert len(told) == len(accounts) - 1
        assert domains.audience(accounts[-1], regular=regular) == heard

    def test_regular_digest_keeps_audience(self) -> None:
        """A regular digest reaches only some hosts; the next change still goes to all concerned."""
        domains = Domains(own=HOME, full_hosts=2)
        domains.set_hosts(3)
        domains.audience([AWAY], regular=False)
        domains.audience([], regular=True)
        assert domains.audience([], regular=False) == {HOME, AWAY}


class TestPlacement:
    """Where a host of a large fleet sends."""

    @pytest.mark.parametrize(("prompt", "objective"), [(4_000, 0.4), (40_000, 4.0)])
    def test_near(self, prompt: int, objective: float) -> None:
        """While the own failure domain has capacity, requests and digests stay there."""
        fleet = Fleet()
        effects = fleet.ask(prompt, objective=objective)
        assert place_at(sent_to(effects)) == HOME
        assert audience(effects) == {HOME}

    def test_borrowed(self) -> None:
        """Excess load goes to another domain, whose hosts also receive the digest of its end."""
        fleet = Fleet()
        number = 1
        effects = fleet.ask()
        while place_at(sent_to(effects)) == HOME:
            number += 1
            effects = fleet.ask()
        assert audience(effects) == {HOME, AWAY}
        assert audience(fleet.end(number)) == {HOME, AWAY}
        assert audience(fleet.end(1)) == {HOME}

    @pytest.mark.parametrize(("streams", "stays"), [(0, False), (40, True)])
    def test_totals(self, streams: int, stays: bool) -> None:
        """Excess load goes to another domain only if its totals show free capacity."""
        fleet = Fleet()
        fleet.fill(AWAY, streams)
        places = {place_at(sent_to(fleet.ask())) for _ in range(60)}
        assert (places == {HOME}) is stays

    def test_domain_without_engines(self) -> None:
        """A host whose failure domain has no engine uses those of others."""
        fleet = Fleet()
        away = HostSelf(name=HostName("h0"), place=AWAY, started=1)
        fleet.state = ServingState(myself=away, seed=1, lean=True, full_hosts=2)
        fleet.send(SnapshotAdopted(now=0.0, snapshot=snapshot(PACE, 1, places=2)))
        fleet.send(PeersChanged(now=0.0, hosts=tuple(map(HostName, ("h0", "h1", "h2")))))
        assert place_at(sent_to(fleet.ask())) == HOME


class TestTotals:
    """The totals of a failure domain."""

    def test_published(self) -> None:
        """A host publishes the totals of its own domain with each regular digest."""
        fleet = Fleet()
        target = sent_to(fleet.ask())
        effects = fleet.send(Ticked(now=1.0))
        (totals,) = [effect.totals for effect in effects if isinstance(effect, PublishTotals)]
        assert totals.place == HOME
        assert [item.target for item in totals.occupancies] == [target]

    def test_small_fleet(self) -> None:
        """A host of a small fleet publishes no totals."""
        effects = Fleet(hosts=2).send(Ticked(now=1.0))
        assert not [effect for effect in effects if isinstance(effect, PublishTotals)]

    def test_expired(self) -> None:
        """Totals expire."""
        fleet = Fleet()
        fleet.fill(AWAY, 3)
        assert fleet.state.ledger.at(TargetName("e1")).streams == 3
        fleet.send(Ticked(now=TOTALS_SECONDS + 0.1))
        assert fleet.state.ledger.at(TargetName("e1")).streams == 0

    def test_own_domain(self) -> None:
        """Totals of the own failure domain from others are ignored."""
        fleet = Fleet()
        fleet.fill(HOME, 3)
        assert fleet.state.ledger.at(TargetName("e0")).streams == 0

    def test_restarted(self) -> None:
        """A restart of an engine removes it from the totals and keeps the others."""
        fleet = Fleet()
        fleet.fill(AWAY, 3)
        fleet.state.ledger.restart([TargetName("e1")])
        left = [fleet.state.ledger.at(TargetName(name)).streams for name in ("e1", "e3")]
        assert left == [0, 3]


class TestLoad:
    """The credit for requests of a large fleet that are served on time."""

    @pytest.mark.parametrize("place", [None, HOME], ids=["everywhere", "in one failure domain"])
    def test_on_time(self, place: PlaceName | None) -> None:
        """The credit is close to that with all digests for all hosts, at half of the messages.

        Measured with 40 hosts and 36 engines in three failure domains, over three seeds: 0.86 of
        the credit with all digests for all hosts, 0.83 with digests by domain, and 0.66 without
        digests; with all callers in one failure domain 0.97, 0.95 and 0.70.  A host received 0.36
        of the messages.
        """
        whole = _play(full_hosts=None, place=place)
        divided = _play(full_hosts=8, place=place)
        assert divided.credit(KINDS) >= 0.9 * whole.credit(KINDS)
        assert divided.digests <= 0.5 * whole.digests


def _play(*, full_hosts: int | None, place: PlaceName | None) -> Simulation:
    world = Simulation(pace=PACE, engines=24, hosts=18, seed=3, places=3, full_hosts=full_hosts)
    for kind, rate in zip(KINDS, (12.0, 2.2, 0.6), strict=True):
        world.load(kind, rate=rate, start=0.0, seconds=8.0, place=place)
    world.run(14.0)
    return world
