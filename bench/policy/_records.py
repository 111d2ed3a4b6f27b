"""All runs of the benchmark, and the records that they give."""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import cache
from os import cpu_count

from msgspec import Struct
from msgspec.structs import replace

from azureswitch.inventory import Objective
from bench.policy._baselines import ORDERS
from bench.policy._bounds import BOUNDS
from bench.policy._measures import (
    BUCKETS,
    amplification,
    fairness,
    first_tokens,
    flood_ratio,
    goodput,
    isolated_p95,
    kept_goodput,
    long_finished,
    long_stretch,
    quantile,
    recovery,
    short_p95,
    token_interval_p95,
)
from bench.policy._simulation import Fault, Result, Run, simulate
from bench.policy._workload import SCENARIOS, VERY_LONG, Scenario
from bench.records import Direction, Record

LOADS = (0.5, 0.8, 0.95, 1.5)
"""Rates as shares of the capacity."""

PEAK = 0.95
"""The load of an ordinary peak."""

OVERLOAD = 1.5
"""The load of an overload."""

OVERLOAD_DURATION = 180.0
"""Seconds of arrivals under overload, so that it outlasts what may be put off."""

MOST_WORKERS = 6
"""Processes that runs are spread over, at most."""

OURS = "azureswitch"
"""The name of the policy under test."""


def at_load(run: Run, load: float) -> Run:
    """Return the run at another load."""
    duration = OVERLOAD_DURATION if load > 1.0 else run.duration
    return replace(run, load=load, duration=duration)


def _policy_runs(scenario: Scenario, policy: str) -> Iterator[Run]:
    run = Run(scenario=scenario, policy=policy)
    for load in LOADS:
        yield at_load(run, load)
    yield replace(run, with_long=False)
    yield replace(run, fault=Fault.FLOOD)
    yield replace(run, fault=Fault.HALF_DEATHS)
    if policy != OURS:
        return
    for fault in Fault:
        if fault not in (Fault.PLAIN, Fault.FLOOD, Fault.HALF_DEATHS):
            yield replace(run, fault=fault)
    other = replace(run, scenario=_other_objective(scenario))
    yield other
    yield replace(other, with_long=False)


@cache
def _other_objective(scenario: Scenario) -> Scenario:
    ours = scenario.rules.objective
    return replace(scenario, objective=next(item for item in Objective if item is not ours))


def all_runs() -> tuple[Run, ...]:
    """Return every run that `records` needs, the slowest first."""
    runs = [
        run
        for scenario in SCENARIOS
        for policy in (OURS, *ORDERS)
        for run in _policy_runs(scenario, policy)
    ]
    return tuple(sorted(runs, key=lambda run: (run.policy != OURS, -run.load)))


def cross_runs() -> tuple[Run, ...]:
    """Return the runs of every fault at every load, which look for broken promises only."""
    return tuple(
        at_load(Run(scenario=scenario, fault=fault), load)
        for scenario in SCENARIOS
        for load in reversed(LOADS)
        for fault in Fault
    )


@cache
def results() -> dict[Run, Result]:
    """Carry out every run that `records` needs."""
    return carry_out(all_runs())


def carry_out(runs: tuple[Run, ...]) -> dict[Run, Result]:
    """Carry out runs in a few processes."""
    for scenario in {run.scenario for run in runs}:
        # Worked out once here, and passed on to the processes.
        scenario.capacity  # noqa: B018
    workers = max(1, min(MOST_WORKERS, (cpu_count() or 1) // 2))
    with ProcessPoolExecutor(max_workers=workers) as pool:
        return dict(zip(runs, pool.map(simulate, runs), strict=True))


class _Figure(Struct, frozen=True, kw_only=True):
    name: str
    value: float
    unit: str


def _figures(found: dict[Run, Result], scenario: Scenario, policy: str) -> Iterator[_Figure]:
    """Yield the figures that every policy has."""
    run = Run(scenario=scenario, policy=policy)
    main = found[run]
    loads = {load: found[at_load(run, load)] for load in LOADS}
    flooded = found[replace(run, fault=Fault.FLOOD)]
    without = found[replace(run, with_long=False)]
    mine = [found[item] for item in _policy_runs(scenario, policy)]
    mine = [result for result in mine if result.run.with_long]
    yield _Figure(
        name="short_slowdown_p95", value=short_p95(main) / short_p95(without), unit="ratio"
    )
    for bucket, (low, high) in BUCKETS.items():
        value = quantile(first_tokens(main, low, high), 0.95)
        yield _Figure(name=f"ttft_p95.{bucket}", value=value, unit="s")
    under = quantile(first_tokens(loads[PEAK], 0, VERY_LONG), 0.95)
    yield _Figure(name="peak_ttft_p95.under_100k", value=under, unit="s")
    interval = token_interval_p95(loads[PEAK])
    yield _Figure(name="peak_token_interval_p95", value=interval, unit="s")
    yield _Figure(name="long_finished", value=long_finished(mine), unit="share")
    yield _Figure(name="long_stretch_p50", value=long_stretch(main), unit="ratio")
    yield _Figure(name="fairness_jain", value=fairness(loads[OVERLOAD]), unit="index")
    yield _Figure(name="flood_ttft_ratio", value=flood_ratio(flooded, main), unit="ratio")
    kept = kept_goodput(tuple(loads.values()), loads[OVERLOAD])
    yield _Figure(name="overload_goodput", value=kept, unit="share")
    for load, result in loads.items():
        yield _Figure(name=f"goodput.{load:.0%}", value=goodput(result), unit="engine s/s")
    halved = found[replace(run, fault=Fault.HALF_DEATHS)]
    yield _Figure(name="half_deaths.recovery", value=recovery(halved), unit="s")
    yield _Figure(name="half_deaths.attempts", value=amplification(halved), unit="ratio")
    broken = sum(sum(result.violations.values()) for result in mine)
    yield _Figure(name="violations", value=float(broken), unit="count")


def _scenario_records(found: dict[Run, Result], scenario: Scenario) -> Iterator[Record]:
    plain = {
        name: {figure.name: figure for figure in _figures(found, scenario, name)} for name in ORDERS
    }
    for figure in _figures(found, scenario, OURS):
        name = f"{scenario.name}.{figure.name}"
        bound, direction = BOUNDS.get(name, (None, Direction.NONE))
        values = [figures[figure.name].value for figures in plain.values()]
        yield Record(
            name=name,
            value=figure.value,
            unit=figure.unit,
            bound=bound,
            direction=direction,
            baseline=_best(figure.name, values),
        )
    for baseline, figures in plain.items():
        for figure in figures.values():
            name = f"baseline.{baseline}.{scenario.name}.{figure.name}"
            yield Record(name=name, value=figure.value, unit=figure.unit)
    yield from _bound_records(found, scenario)
    yield from _objective_records(found, scenario)


def _best(name: str, values: list[float]) -> float:
    more = name.startswith(("long_finished", "fairness_jain", "overload_goodput", "goodput"))
    return max(values) if more else min(values)


def _bound_records(found: dict[Run, Result], scenario: Scenario) -> Iterator[Record]:
    """Yield the isolated bound: each request alone on an idle fleet."""
    main = found[Run(scenario=scenario)]
    for bucket, (low, high) in BUCKETS.items():
        name = f"isolated.{scenario.name}.ttft_p95.{bucket}"
        yield Record(name=name, value=isolated_p95(main, low, high), unit="s")
    peak = found[Run(scenario=scenario, load=PEAK)]
    name = f"isolated.{scenario.name}.peak_ttft_p95.under_100k"
    yield Record(name=name, value=isolated_p95(peak, 0, VERY_LONG), unit="s")


def _objective_records(found: dict[Run, Result], scenario: Scenario) -> Iterator[Record]:
    """Yield what the other objective would do to the two measures."""
    run = Run(scenario=_other_objective(scenario))
    main, without = found[run], found[replace(run, with_long=False)]
    prefix = f"{scenario.name}.other_objective"
    slowdown = short_p95(main) / short_p95(without)
    yield Record(name=f"{prefix}.short_slowdown_p95", value=slowdown, unit="ratio")
    for bucket, (low, high) in BUCKETS.items():
        value = quantile(first_tokens(main, low, high), 0.95)
        yield Record(name=f"{prefix}.ttft_p95.{bucket}", value=value, unit="s")


def records() -> list[Record]:
    """Return all records.

    All are deterministic but ``reducer.us_per_event``, which has no bound therefore.
    """
    found = results()
    made = [record for scenario in SCENARIOS for record in _scenario_records(found, scenario)]
    ours = [result for result in found.values() if result.run.policy == OURS]
    seconds, events = sum(r.seconds for r in ours), sum(r.events for r in ours)
    made.append(Record(name="reducer.us_per_event", value=1e6 * seconds / events, unit="us"))
    return made
