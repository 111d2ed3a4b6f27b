"""Simulated loads on engines that work in passes, and the share of requests on time."""

import pytest
from msgspec.structs import replace

from azureswitch.coordination.sharing._gathering import GATHER_SECONDS
from azureswitch.inventory import EnginePace
from tests.serving.batching import Workload
from tests.serving.engines import Simulation

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
    prompt=3_300,
    sigma=0.9,
    max_prompt=23_800,
    events=32,
    objective=0.3,
    max_pause=0.25,
    weight=2.6e-4,
)
BRIEF = Workload(
    prompt=40_000,
    sigma=0.5,
    max_prompt=110_000,
    events=19,
    objective=1.5,
    max_pause=0.6,
    weight=8.7e-5,
)
FILE = Workload(
    prompt=114_000,
    sigma=0.55,
    max_prompt=600_000,
    events=16,
    objective=2.5,
    max_pause=1.0,
    weight=1.1e-4,
)


def simulate(*, chats: float, briefs: float, files: float, seed: int) -> Simulation:
    """Simulate a burst of short prompts, followed by a mixed load."""
    simulation = Simulation(pace=PACE, engines=18, hosts=3, seed=seed)
    simulation.load(CHAT, rate=55.0, start=0.0, seconds=4.0)
    simulation.load(CHAT, rate=chats, start=4.0, seconds=12.0)
    simulation.load(BRIEF, rate=briefs, start=4.0, seconds=12.0)
    simulation.load(FILE, rate=files, start=4.0, seconds=12.0)
    simulation.run(24.0)
    return simulation


class TestCredit:
    """Share of the credit that is earned on time."""

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
        """Long prompts are prefilled without delaying many short streams."""
        simulations = [
            simulate(chats=chats, briefs=briefs, files=files, seed=seed) for seed in range(4)
        ]
        shares = [simulation.credit([CHAT, BRIEF, FILE]) for simulation in simulations]
        assert sum(shares) / len(shares) >= least


class TestDelayedEnds:
    """Hosts that learn late of the end of other hosts' attempts, as in a large fleet."""

    def test_short_prompts(self) -> None:
        """After a burst of long prompts, short prompts earn as much credit as without the delay."""
        at_once, later = (
            sum(_bursts(end_delay=seconds, seed=seed) for seed in range(4)) / 4
            for seconds in (0.0, GATHER_SECONDS)
        )
        assert later >= at_once - 0.03


def _bursts(*, end_delay: float, seed: int) -> float:
    """Return the share of the credit that short prompts at many hosts earn on time."""
    simulation = Simulation(pace=PACE, engines=36, hosts=16, seed=seed, end_delay=end_delay)
    simulation.load(FILE, rate=2.4, start=0.0, seconds=7.0)
    simulation.load(BRIEF, rate=2.4, start=0.0, seconds=7.0)
    simulation.load(CHAT, rate=60.0, start=6.0, seconds=6.0)
    simulation.run(14.0)
    return simulation.credit([CHAT])


FEW_SLOTS_PACE = EnginePace(
    step=0.00085,
    read_rate=177_000.0,
    pair=1.84e-10,
    stride=57,
    slots=6,
    memory=267_750,
    answer=1_700,
)
SHORT_PROMPT = Workload(
    prompt=4_960,
    sigma=0.9,
    max_prompt=23_800,
    events=32,
    objective=0.32,
    max_pause=0.25,
    weight=2.6e-4,
)
MEDIUM_PROMPT = Workload(
    prompt=45_000,
    sigma=0.5,
    max_prompt=110_000,
    events=19,
    objective=1.5,
    max_pause=0.6,
    weight=7.8e-5,
)
LONG_PROMPT = Workload(
    prompt=220_000,
    sigma=0.55,
    max_prompt=700_000,
    events=16,
    objective=4.1,
    max_pause=1.0,
    weight=1.3e-4,
)


class TestLoadShift:
    """A load that shifts from long to short prompts, on engines with few slots.

    Guards against prompts with up to 0.25 s of prefill counting as short: other hosts get no report
    of that prefill and queue short prompts behind it, of which only 93 in 100 are then on time.
    """

    def test_short_prompts(self) -> None:
        """At least 95 in 100 of the short prompts are on time."""
        simulations = [_shift_load(seed) for seed in range(4)]
        assert (
            sum(simulation.credit([SHORT_PROMPT]) for simulation in simulations) / len(simulations)
            >= 0.95
        )

    @pytest.mark.parametrize("max_pause", [0.25, 1.0])
    def test_short_threshold(self, max_pause: float) -> None:
        """A prompt is short if its prefill takes at most half of the tightest pause objective."""
        for seconds, short in ((0.45 * max_pause, True), (0.55 * max_pause, False)):
            tokens = int(seconds * FEW_SLOTS_PACE.read_rate)
            kind = Workload(
                prompt=tokens,
                sigma=0.0,
                max_prompt=tokens,
                events=1,
                objective=1.0,
                max_pause=max_pause,
                weight=1.0,
            )
            simulation = Simulation(
                pace=replace(FEW_SLOTS_PACE, pair=0.0), engines=8, hosts=1, seed=1
            )
            simulation.load(kind, rate=100.0, start=0.0, seconds=0.02)
            simulation.run(0.1)
            assert all((len(request.parts) == 1) is short for request in simulation.requests)


def _shift_load(seed: int) -> Simulation:
    simulation = Simulation(pace=FEW_SLOTS_PACE, engines=54, hosts=12, seed=seed)
    simulation.load(SHORT_PROMPT, rate=12.0, start=0.0, seconds=9.5)
    simulation.load(MEDIUM_PROMPT, rate=4.7, start=0.0, seconds=9.5)
    simulation.load(LONG_PROMPT, rate=2.5, start=0.0, seconds=9.5)
    simulation.load(SHORT_PROMPT, rate=82.0, start=9.5, seconds=9.5)
    simulation.load(MEDIUM_PROMPT, rate=1.8, start=9.5, seconds=9.5)
    simulation.run(24.0)
    return simulation
