"""Runs the demo, or leaves a deployment up: ``python -m azureswitch_load.demo``."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Iterator
from pathlib import Path

import msgspec
from absl import logging

from azureswitch_load import show_report, table
from azureswitch_load.demo._configure import Operator
from azureswitch_load.demo._demo import Demo, DemoReport, DemoSettings
from azureswitch_load.demo._deployment import (
    KEY_PREFIX,
    Deployment,
    DeploymentName,
    load_deployment,
)
from azureswitch_load.demo._fleet import Fleet

REPORT_PATH = Path("build/demo.json")
"""Where the report is written."""

EXIT_OK = 0
EXIT_BROKEN = 1
"""A promise was broken."""


def main() -> int:
    """Run the command line and return its exit code."""
    defaults = DemoSettings()
    parser = argparse.ArgumentParser(prog="python -m azureswitch_load.demo", description=__doc__)
    names = [name.value for name in DeploymentName]
    parser.add_argument("--deployment", choices=names, default=names[0], help="which deployment")
    parser.add_argument("--serve", action="store_true", help="leave it up, without load or faults")
    parser.add_argument("--seed", type=int, default=defaults.seed, help="seed of the load")
    parser.add_argument("--rate", type=float, default=defaults.rate, help="calls a second")
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    deployment = load_deployment(name=DeploymentName(options.deployment))
    if options.serve:
        asyncio.run(_serve(deployment))
        return EXIT_OK
    settings = DemoSettings(seed=options.seed, rate=options.rate)
    return asyncio.run(_demo(deployment, settings))


async def _demo(deployment: Deployment, settings: DemoSettings) -> int:
    _say(f"Starting {deployment.name.value}: stand-ins, entries and load in one process.")
    report = await Demo(deployment=deployment, settings=settings, say=_say).run()
    REPORT_PATH.parent.mkdir(parents=True, exist_ok=True)
    REPORT_PATH.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    for line in _show(report):
        _say(line)
    return EXIT_BROKEN if report.broken else EXIT_OK


def _show(report: DemoReport) -> Iterator[str]:
    yield ""
    yield from show_report(report=report.load)
    yield ""
    calls = report.store_calls
    yield (
        f"The entries sent {report.retries} attempts again. The store counted {calls.reads} reads "
        f"and {calls.writes} writes, at most {calls.most_waiting} watches waiting."
    )
    for revision, seconds in report.in_force.items():
        yield f"Revision {revision} was in force everywhere after {seconds:.1f} s."
    yield f"The event loop of this one process was late by {report.loop_lag:.2f} s at most."
    yield ""
    yield "Promises"
    yield from table(
        header=("promise", "broken"),
        rows=[(name, str(count)) for name, count in report.violations.items()],
    )
    yield from (f"BROKEN {line}" for line in report.broken)
    yield f"Took {report.seconds:.1f} s; the report is in {REPORT_PATH}."


async def _serve(deployment: Deployment) -> None:
    fleet = Fleet(deployment=deployment, speed=1.0, fixed=True)
    await fleet.start()
    operator = Operator(fleet=fleet)
    await operator.accept(inventory=fleet.inventory, rules=deployment.rules)
    for line in _show_addresses(deployment, fleet):
        _say(line)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, ended.set)
    await ended.wait()
    await fleet.stop()


def _show_addresses(deployment: Deployment, fleet: Fleet) -> Iterator[str]:
    yield from table(
        header=("entry", "callers", "operations"),
        rows=[
            (host, f"http://{entry.address}", f"http://{entry.operations_address}")
            for host, entry in fleet.entries.items()
        ],
    )
    yield f"Store http://{fleet.store.address}, host list http://{fleet.hosts.address}."
    yield f"Model {deployment.model}, plain service /s/{deployment.service}/."
    names = " ".join(caller.name for caller in deployment.callers)
    yield f"API keys are {KEY_PREFIX}NAME for {names}."
    yield "Ctrl-C ends it."


def _say(line: str) -> None:
    print(line, flush=True)


if __name__ == "__main__":
    sys.exit(main())
