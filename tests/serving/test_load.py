"""Loads played on engines that work in passes: what callers get."""

import pytest
from msgspec.structs import replace

from azureswitch.coordination.sharing._gathering import GATHER_SECONDS
from azureswitch.inventory import EnginePace
from tests.serving.engines import Simulation, Workload

PACE = EnginePace(
    step=0.00102,
    read_rate=206_000.0,
    pair=1.38e-10,
    stride=43,
    slots=8,
    memory=232_000,
    answer=1_360,
)
CHAT = Workload(
    prompt=3_300, spread=0.9, most=23_800, events=32, objective=0.3, pause=0.25, weight=2.6e-4
)
BRIEF = Workload(
    prompt=40_000, spread=0.5, most=110_000, events=19, objective=1.5, pause=0.6, weight=8.7e-5
)
FILE = Workload(
    prompt=114_000, spread=0.55, most=600_000, events=16, objective=2.5, pause=1.0, weight=1.1e-4
)


def play(*, chats: float, briefs: float, files: float, seed: int) -> Simulation:
    """Play a burst of short prompts, and then a load."""
    world = Simulation(pace=PACE, engines=18, hosts=3, seed=seed)
    world.load(CHAT, rate=55.0, start=0.0, seconds=4.0)
    world.load(CHAT, rate=chats, start=4.0, seconds=12.0)
    world.load(BRIEF, rate=briefs, start=4.0, seconds=12.0)
    world.load(FILE, rate=files, start=4.0, seconds=12.0)
    world.run(24.0)
    return world


class TestLoad:
    """The share of the credit that is earned on time."""

    @pytest.mark.parametrize(
        ("chats", "briefs", "files", "least"),
        [
            pytest.param(9.0, 1.6, 2.9, 0.93, id="many long prompts after a burst of short ones"),
            pytest.param(22.0, 1.2, 1.0, 0.94, id="the usual mix"),
            pytest.param(25.0, 1.6, 2.9, 0.77, id="many of both"),
            pytest.param(55.0, 0.6, 0.3, 0.93, id="a burst of short prompts alone"),
        ],
    )
    def test_on_time(self, chats: float, briefs: float, files: float, least: float) -> None:
        """Long prompts are read without making many short streams pause."""
        worlds = [play(chats=chats, briefs=briefs, files=files, seed=seed) for seed in range(4)]
        shares = [world.credit([CHAT, BRIEF, FILE]) for world in worlds]
        assert sum(shares) / len(shares) >= least


class TestEnds:
    """What callers get where hosts hear of ended sends later, as in a large fleet."""

    def test_short_prompts(self) -> None:
        """A burst of short prompts after one of long ones earns what it does without the wait."""
        at_once, later = (
            sum(_bursts(ends_after=seconds, seed=seed) for seed in range(4)) / 4
            for seconds in (0.0, GATHER_SECONDS)
        )
        assert later >= at_once - 0.03


def _bursts(*, ends_after: float, seed: int) -> float:
    """Return the share of the credit that short prompts of many hosts earn on time."""
    world = Simulation(pace=PACE, engines=36, hosts=16, seed=seed, ends_after=ends_after)
    world.load(FILE, rate=2.4, start=0.0, seconds=7.0)
    world.load(BRIEF, rate=2.4, start=0.0, seconds=7.0)
    world.load(CHAT, rate=60.0, start=6.0, seconds=6.0)
    world.run(14.0)
    return world.credit([CHAT])


NARROW = EnginePace(
    step=0.00085,
    read_rate=177_000.0,
    pair=1.84e-10,
    stride=57,
    slots=6,
    memory=267_750,
    answer=1_700,
)
QUESTION = Workload(
    prompt=4_960, spread=0.9, most=23_800, events=32, objective=0.32, pause=0.25, weight=2.6e-4
)
SUMMARY = Workload(
    prompt=45_000, spread=0.5, most=110_000, events=19, objective=1.5, pause=0.6, weight=7.8e-5
)
REVIEW = Workload(
    prompt=220_000, spread=0.55, most=700_000, events=16, objective=4.1, pause=1.0, weight=1.3e-4
)


class TestHandOver:
    """Hours of long prompts that hand over to hours of short ones, on engines of few places.

    Summaries that an engine reads in up to 0.25 s counted as short: their reading was told to no
    other host, and short prompts were sent behind it.  Of these 93 in 100 were on time.
    """

    def test_short_prompts(self) -> None:
        """Of the short prompts 95 in 100 are on time."""
        worlds = [_hand_over(seed) for seed in range(4)]
        assert sum(world.credit([QUESTION]) for world in worlds) / len(worlds) >= 0.95

    @pytest.mark.parametrize("pause", [0.25, 1.0])
    def test_what_is_short(self, pause: float) -> None:
        """What is read within half of the tightest pause that callers bear counts as short."""
        for seconds, short in ((0.45 * pause, True), (0.55 * pause, False)):
            tokens = int(seconds * NARROW.read_rate)
            kind = Workload(
                prompt=tokens,
                spread=0.0,
                most=tokens,
                events=1,
                objective=1.0,
                pause=pause,
                weight=1.0,
            )
            world = Simulation(pace=replace(NARROW, pair=0.0), engines=8, hosts=1, seed=1)
            world.load(kind, rate=100.0, start=0.0, seconds=0.02)
            world.run(0.1)
            assert all((len(request.parts) == 1) is short for request in world.requests)


def _hand_over(seed: int) -> Simulation:
    world = Simulation(pace=NARROW, engines=54, hosts=12, seed=seed)
    world.load(QUESTION, rate=12.0, start=0.0, seconds=9.5)
    world.load(SUMMARY, rate=4.7, start=0.0, seconds=9.5)
    world.load(REVIEW, rate=2.5, start=0.0, seconds=9.5)
    world.load(QUESTION, rate=82.0, start=9.5, seconds=9.5)
    world.load(SUMMARY, rate=1.8, start=9.5, seconds=9.5)
    world.run(24.0)
    return world
