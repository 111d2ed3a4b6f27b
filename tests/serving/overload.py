"""The load of the first deployment, scaled to a small fleet, and what its callers get."""

from azureswitch.inventory import EnginePace
from tests.serving.batching import Workload
from tests.serving.callers import CallerSimulation

PACE = EnginePace(
    step=0.00085,
    read_rate=154_000.0,
    pair=7.9e-11,
    stride=57,
    slots=6,
    memory=344_250,
    answer=1_700,
)
SHORT = Workload(
    prompt=3_300,
    sigma=0.9,
    max_prompt=23_800,
    events=32,
    objective=0.271,
    max_pause=0.25,
    weight=2.6e-4,
    deadline=10.8,
    priority=0,
)
SUMMARY = Workload(
    prompt=40_000,
    sigma=0.5,
    max_prompt=110_000,
    events=19,
    objective=1.533,
    max_pause=0.6,
    weight=7.8e-5,
    deadline=10.2,
    priority=1,
)
REVIEW = Workload(
    prompt=230_000,
    sigma=0.5,
    max_prompt=900_000,
    events=16,
    objective=8.057,
    max_pause=1.0,
    weight=1.3e-4,
    deadline=15.1,
    priority=2,
)
KINDS = (SHORT, SUMMARY, REVIEW)

RATES = {SHORT: 32.1, SUMMARY: 3.9, REVIEW: 0.73}
"""Requests of each kind a second before `FULL_ENGINES` engines."""

FULL_ENGINES = 54
"""Engines of the deployment."""

ENGINES = 54
HOSTS = 8

CAPACITY = 3.5
"""Multiple of the usual load that the engines' time carries.

The usual load takes 0.17 of the slots by decoding, and 0.12 of the engines' time by prefill, during
which no stream gets on.
"""


def add_load(
    simulation: CallerSimulation,
    *,
    factor: float,
    start: float,
    seconds: float,
    customer: str = "",
) -> None:
    """Add arrivals of all kinds at a multiple of the usual load."""
    for kind, rate in RATES.items():
        scaled = factor * rate * ENGINES / FULL_ENGINES
        simulation.load(kind, rate=scaled, start=start, seconds=seconds, customer=customer)
