"""Plots of the policy benchmark."""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from bench.policy._baselines import ORDERS
from bench.policy._measures import BUCKETS, first_tokens, goodput, quantile
from bench.policy._records import LOADS, OURS, at_load
from bench.policy._simulation import Result, Run
from bench.policy._workload import SCENARIOS, Scenario

POLICIES = (OURS, *ORDERS)


def write_plots(found: dict[Run, Result], *, folder: Path) -> tuple[Path, ...]:
    """Write the plots of every scenario and return their files."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for scenario in SCENARIOS:
        for name, draw in (("ttft", _lengths), ("short", _short), ("goodput", _goodput)):
            figure, axes = pyplot.subplots(figsize=(7, 4))
            draw(axes, found, scenario)
            axes.set_title(scenario.name)
            axes.legend(fontsize=8)
            path = folder / f"{scenario.name}-{name}.svg"
            figure.savefig(path, bbox_inches="tight")
            pyplot.close(figure)
            paths.append(path)
    return tuple(paths)


def _lengths(axes: Any, found: dict[Run, Result], scenario: Scenario) -> None:
    """Draw the p95 of the time to first token by prompt length at 80% load."""
    for index, policy in enumerate(POLICIES):
        result = found[Run(scenario=scenario, policy=policy)]
        values = [quantile(first_tokens(result, *bounds), 0.95) for bounds in BUCKETS.values()]
        places = [place + (index - 2.5) * 0.13 for place in range(len(BUCKETS))]
        axes.bar(places, values, width=0.13, label=policy)
    axes.set_xticks(range(len(BUCKETS)), tuple(BUCKETS))
    axes.set_yscale("log")
    axes.set_xlabel("prompt tokens")
    axes.set_ylabel("p95 of time to first token, s")


def _short(axes: Any, found: dict[Run, Result], scenario: Scenario) -> None:
    """Draw how the time to first token of short prompts is spread at 80% load."""
    for policy in POLICIES:
        result = found[Run(scenario=scenario, policy=policy)]
        values = sorted(first_tokens(result, 0, scenario.rules.long_prompt))
        shares = [(index + 1) / len(values) for index in range(len(values))]
        axes.plot(values, shares, label=policy)
    axes.set_xscale("log")
    axes.set_xlabel("time to first token of short prompts, s")
    axes.set_ylabel("share of requests")


def _goodput(axes: Any, found: dict[Run, Result], scenario: Scenario) -> None:
    """Draw the work that finishes by load."""
    for policy in POLICIES:
        run = Run(scenario=scenario, policy=policy)
        runs = [at_load(run, load) for load in LOADS]
        axes.plot(LOADS, [goodput(found[run]) for run in runs], marker="o", label=policy)
    axes.set_ylim(bottom=0)
    axes.set_xlabel("load as a share of the capacity")
    axes.set_ylabel("finished work, engine seconds a second")
