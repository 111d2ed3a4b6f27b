"""Prints the policy benchmark as a table and writes its plots to ``build/bench``."""

import sys
from argparse import ArgumentParser
from pathlib import Path

from bench.policy._baselines import ORDERS
from bench.policy._plots import write_plots
from bench.policy._records import carry_out, cross_runs, records, results
from bench.policy._workload import SCENARIOS
from bench.records import Record

FOLDER = Path("build/bench")


def _table(made: dict[str, Record], scenario: str) -> list[str]:
    names = [name.partition(".")[2] for name in made if name.startswith(f"{scenario}.")]
    head = f"{scenario:28}{'azureswitch':>14}" + "".join(f"{name:>16}" for name in ORDERS)
    lines = [f"{head}{'isolated':>14}"]
    for name in names:
        line = f"{name:28}{made[f'{scenario}.{name}'].value:14.3f}"
        for baseline in ORDERS:
            line += _cell(made.get(f"baseline.{baseline}.{scenario}.{name}"), 16)
        lines.append(line + _cell(made.get(f"isolated.{scenario}.{name}"), 14))
    return lines


def _cell(record: Record | None, width: int) -> str:
    return " " * width if record is None else f"{record.value:{width}.3f}"


def _cross() -> int:
    """Run every fault at every load and print broken promises."""
    broken = 0
    for run, result in carry_out(cross_runs()).items():
        name = f"{run.scenario.name} {run.load:.0%} {run.fault.value}"
        print(f"{name:32} {len(result.outcomes):6} requests  {result.violations or 'none broken'}")
        broken += bool(result.violations)
    return 1 if broken else 0


def main() -> int:
    """Run the benchmark.

    Returns:
        Zero where every bound holds and no promise is broken, else one.
    """
    parser = ArgumentParser(description="The policy in virtual time, against plain ones.")
    parser.add_argument(
        "--cross", action="store_true", help="only look for broken promises, faults by loads"
    )
    if parser.parse_args().cross:
        return _cross()
    made = {record.name: record for record in records()}
    for scenario in SCENARIOS:
        print("\n".join(_table(made, scenario.name)), end="\n\n")
    print(f"reducer.us_per_event {made['reducer.us_per_event'].value:.1f}")
    for result in results().values():
        if result.violations:
            run = result.run
            print(run.scenario.name, run.policy, run.load, run.fault.value, result.violations)
    for path in write_plots(results(), folder=FOLDER):
        print(path)
    broken = [record.name for record in made.values() if not record.holds]
    print("Over their bounds:", ", ".join(broken) or "none")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
