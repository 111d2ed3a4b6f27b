"""Tests what cold targets receive and what callers get, under load and with one failure each.

Each test guards against a cold target that crashes, or against capacity that is left unused.
"""

from collections.abc import Callable

import pytest

from azureswitch.core import HostName, PlaceName, TargetName
from azureswitch.exceptions import RefusedError, TargetsColdError
from azureswitch.serving import Observation
from azureswitch.serving.warmup import RAMP_SECONDS, EvidenceSource
from tests.serving.cold import BOUND, OBJECTIVE, WARMUP, ColdWorld

LOAD = 92.0
"""Requests per second of the deployment, of which nearly all are short."""

BURST = 10.0 * LOAD

COLD_AT = 0.5
"""When targets become cold, if not at the start."""

QUEUED_SECONDS = 0.56
"""Most seconds until a refusal: the longest queue time and one tick."""

ALL = 54

THIRD = [TargetName(f"e{index}") for index in range(0, ALL, 3)]
"""The engines of the first failure domain."""

Disturb = Callable[[ColdWorld], None]


def loaded(rate: float, *, seconds: float = 3.0, disturb: Disturb | None = None) -> ColdWorld:
    """Return a world after load on engines that are all cold at the start."""
    world = ColdWorld(cold=ALL)
    world.load(rate=rate, start=0.2, seconds=seconds, prompt=5_000)
    if disturb is not None:
        disturb(world)
    world.run(seconds + 1.5)
    return world


def kill_all(world: ColdWorld) -> None:
    """Kill and restart all hosts together while targets are cold."""

    def act() -> None:
        names = list(world.hosts)
        world.hosts.clear()
        for name in names:
            world.add(name, greet=False, started=2)
        world.greet()

    world.at(1.0, act)


def freeze_some(world: ColdWorld) -> None:
    """Freeze a quarter of the hosts; requests arrive there meanwhile, and all resume together."""
    for name in list(world.hosts)[::4]:
        world.freeze_at(0.6, name, seconds=1.2)


def cut(world: ColdWorld, sides: int) -> None:
    """Divide the hosts into sides that do not see each other."""

    def act() -> None:
        world.side = {name: index % sides for index, name in enumerate(world.hosts)}
        world.greet()

    world.at(0.5, act)


def cut_in_two(world: ColdWorld) -> None:
    """Divide the hosts into two equal sides."""
    cut(world, 2)


def cut_off_all(world: ColdWorld) -> None:
    """Cut each host off from all others, which it still counts."""
    cut(world, len(world.hosts))


def start_alone(world: ColdWorld) -> None:
    """Let each host know nobody from its start, not even the size of the fleet."""
    world.fleet_size = 420
    world.side = {name: index for index, name in enumerate(world.hosts)}
    world.greet()


class TestLoad:
    """A third of the engines returns cold, or all of them, at the usual load and in a burst."""

    @pytest.mark.parametrize(("rate", "most"), [(LOAD, WARMUP.rate), (BURST, BOUND)])
    def test_third_returns_cold(self, rate: float, most: float) -> None:
        """The engines that return receive few requests, and no caller is late or refused."""
        world = ColdWorld()
        world.load(rate=rate, start=0.0, seconds=3.0, prompt=5_000)
        world.chill_at(COLD_AT, THIRD)
        world.run(4.5)
        assert world.most_in_a_second() <= most
        assert not world.refused()
        assert not world.late(0.5 * OBJECTIVE)
        assert all(answer.over for answer in world.answers.values())

    def test_all_cold_at_the_usual_load(self) -> None:
        """What cold engines sustain is used: nearly all callers are served."""
        world = loaded(LOAD)
        assert world.most_in_a_second() <= WARMUP.rate
        assert len(world.refused()) < 0.1 * len(world.answers)
        assert len(world.answers) == len(world.sent) + len(world.refused())
        assert world.cold_requests() > 0.5 * LOAD * (WARMUP.seconds - 0.2)

    def test_all_cold_in_a_burst(self) -> None:
        """Callers in excess are refused soon, as not run, with a time to come back."""
        world = loaded(BURST)
        assert world.most_in_a_second() <= WARMUP.rate
        refused = world.refused()
        assert refused
        for answer in refused:
            assert isinstance(answer.error, RefusedError)
            assert answer.over - answer.arrived <= QUEUED_SECONDS
            assert 0.0 < (answer.error.retry_after or 0.0) <= 3.0
        assert sum(isinstance(answer.error, TargetsColdError) for answer in refused) > 100
        # Half of the rate is available in the long run; the rest is for hosts' full buckets.
        assert world.cold_requests() > 0.8 * 0.5 * WARMUP.rate * ALL * (WARMUP.seconds - 1.0)
        assert world.observed.count(Observation.COLD_REFUSED) >= len(refused) - 20
        assert Observation.COLD_WAITED in world.observed

    def test_without_a_warmup(self) -> None:
        """A service whose targets are not limited while cold is served as before."""
        world = ColdWorld(cold=ALL, limited=False)
        world.load(rate=BURST, start=0.2, seconds=1.0, prompt=5_000)
        world.run(2.0)
        assert world.most_in_a_second() > BOUND
        assert not world.refused()
        assert not world.log


class TestFailures:
    """The bound holds with one failure each while all engines are cold, in a burst."""

    @pytest.mark.parametrize(
        "disturb", [kill_all, freeze_some, cut_in_two, cut_off_all, start_alone]
    )
    def test_bound_holds(self, disturb: Disturb) -> None:
        """A cold engine never receives more than it bears, whatever hosts know of each other."""
        world = loaded(BURST, seconds=2.4, disturb=disturb)
        assert world.most_in_a_second() <= BOUND
        assert world.cold_requests()

    def test_entries_do_not_say(self) -> None:
        """Targets that start again without saying how long they are cold count as cold."""
        world = ColdWorld(tells=False)
        world.load(rate=BURST, start=0.0, seconds=2.5, prompt=5_000)
        world.chill_at(COLD_AT, THIRD)
        world.run(3.0)
        assert world.most_in_a_second() <= BOUND
        assert {effect.change.source for effect in world.log} == {EvidenceSource.START}

    def test_cold_again(self) -> None:
        """Targets that become cold again while they run on are limited from their next entry."""
        world = ColdWorld()
        world.load(rate=BURST, start=0.0, seconds=2.5, prompt=5_000)
        world.chill_at(COLD_AT, THIRD, restart=False)
        world.run(3.0)
        assert world.most_in_a_second() <= BOUND

    def test_evacuated_again_while_cold(self) -> None:
        """A domain counts as cold from the end of its last evacuation, whatever entries said."""
        world = ColdWorld()
        world.load(rate=BURST, start=0.0, seconds=3.5, prompt=5_000)
        place = PlaceName("p1")
        world.evacuate_at(0.2, place, until=0.5)
        world.evacuate_at(0.9, place, until=1.2)
        for name in THIRD:
            world.cold_at[name] = [(0.5, 0.9), (1.2, 1.2 + WARMUP.seconds)]
        world.run(4.0)
        assert world.most_in_a_second() <= BOUND
        assert {effect.change.source for effect in world.log} == {EvidenceSource.RESTORED}

    def test_store_is_down(self) -> None:
        """Without further entries a cold target becomes warm by the hosts' own clock."""
        world = ColdWorld(cold=ALL)
        world.store_down = True
        world.load(rate=LOAD, start=WARMUP.seconds + RAMP_SECONDS, seconds=1.0, prompt=5_000)
        world.run(WARMUP.seconds + RAMP_SECONDS + 2.0)
        assert not world.refused()
        warm = [effect for effect in world.log if not effect.change.seconds]
        assert len(warm) == ALL * len(world.hosts)


class TestReturn:
    """Targets that become warm."""

    def test_domain_carries_its_share_again(self) -> None:
        """A restored domain carries its share 2 s after it is warm, and does not get it at once."""
        world = ColdWorld()
        place = PlaceName("p1")
        world.evacuate_at(0.1, place, until=COLD_AT)
        warm_at = COLD_AT + WARMUP.seconds
        world.load(rate=4.0 * LOAD, start=0.0, seconds=warm_at + 3.5, prompt=5_000)
        world.run(warm_at + 4.0)

        def share(start: float, end: float) -> float:
            own = sum(world.arrived(name, start=start, end=end) for name in THIRD)
            total = sum(world.arrived(name, start=start, end=end) for name in world.entries)
            return own / total

        assert share(warm_at - 1.0, warm_at) < 0.15
        assert share(warm_at + 2.0, warm_at + 3.5) > 0.25
        assert share(warm_at, warm_at + 0.5) < share(warm_at + 2.0, warm_at + 3.5) + 0.1


class TestChoice:
    """Which targets attempts are sent to."""

    def test_warm_targets_are_preferred(self) -> None:
        """Short prompts go to warm engines while these serve in time."""
        world = ColdWorld(targets=6, hosts=1, cold=3)
        world.run(1.2)
        for _ in range(8):
            world.ask(HostName("h0"))
        assert len(world.sent) == 8
        assert not world.cold_requests()

    def test_helpers_take_tokens(self) -> None:
        """Each engine that prefills a part of a long prompt counts as one request."""
        world = ColdWorld(targets=6, hosts=1, cold=6)
        world.run(1.2)
        world.ask(HostName("h0"), prompt=200_000)
        state = world.hosts[HostName("h0")].state
        used = {name for name, times in world.targets.times.items() if times}
        free = {name for name in world.entries if state.warmup.may_send(name, now=world.now)}
        assert len(used) > 1
        assert free == world.entries.keys() - used

    def test_long_prompts_avoid_cold_engines(self) -> None:
        """A long prompt uses warm engines only, as long as these can hold it."""
        world = ColdWorld(targets=6, hosts=1, cold=3)
        world.run(1.2)
        world.ask(HostName("h0"), prompt=200_000)
        assert world.sent
        assert not world.cold_requests()

    def test_held_back_targets_are_counted(self) -> None:
        """A started attempt says how many targets were excluded because they are cold."""
        world = ColdWorld(targets=6, hosts=1, cold=3)
        world.run(0.2)
        world.ask(HostName("h0"))
        assert world.held_back == [3]
