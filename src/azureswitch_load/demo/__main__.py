"""Runs the demo, or leaves a deployment up: ``python -m azureswitch_load.demo``."""

import asyncio
import signal
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec
from absl import logging
from cleo.helpers import option

from azureswitch.programs import EXIT_OK, Program, run_program
from azureswitch.settings import Choice, Integer, Number
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

EXIT_BROKEN = 1
"""A promise was broken."""


_DEFAULTS = DemoSettings()
_SEED = Integer(low=0)
_RATE = Number(low=0.01)


class DemoProgram(Program):
    """Runs the demo, or leaves a deployment up."""

    name = "azureswitch-demo"
    description = "Runs the demo, or leaves a deployment up."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        option("deployment", description="Which deployment, else cascade.", flag=False),
        option("serve", description="Leave it up, without load or faults."),
        option("seed", description=f"Seed of the load, else {_DEFAULTS.seed}.", flag=False),
        option("rate", description=f"Calls a second, else {_DEFAULTS.rate:g}.", flag=False),
    ]

    def work(self) -> int:
        """Run the demo, or serve until SIGTERM or SIGINT."""
        kind = Choice(options=DeploymentName)
        name = self.value("deployment", kind, default=DeploymentName.CASCADE)
        settings = DemoSettings(
            seed=self.value("seed", _SEED, default=_DEFAULTS.seed),
            rate=self.value("rate", _RATE, default=_DEFAULTS.rate),
        )
        logging.set_verbosity(logging.ERROR)
        deployment = load_deployment(name=name)
        if self.option("serve"):
            asyncio.run(_serve(deployment))
            return EXIT_OK
        return asyncio.run(_demo(deployment, settings))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    return run_program(DemoProgram(), arguments)


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
