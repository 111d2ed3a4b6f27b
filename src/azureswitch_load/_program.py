"""The program ``azureswitch-load run``."""

import asyncio
from collections.abc import Sequence
from itertools import chain
from typing import TypeVar

import msgspec
from cleo.application import Application
from cleo.helpers import option

from azureswitch import __version__
from azureswitch.client import HttpClient
from azureswitch.programs import EXIT_OK, Program, run_application
from azureswitch.settings import Integer, Number, Seconds
from azureswitch_load._balancer import Balancer
from azureswitch_load._bodies import prepare
from azureswitch_load._calls import Caller
from azureswitch_load._plan import PlanSettings, draw
from azureswitch_load._promises import (
    Violation,
    check_outcomes,
    check_runs,
    count_violations,
    sum_runs,
)
from azureswitch_load._report import LoadReport, make_report
from azureswitch_load._run import Progress, Run
from azureswitch_load._sender import Sender, Target
from azureswitch_load._tables import show_report
from azureswitch_standins.engine import EngineCounters
from azureswitch_standins.service import ServiceCounters

Counters = TypeVar("Counters")

EXIT_BROKEN = 1
"""A promise was broken."""

_SEED = Integer(low=0)
_RATE = Number(low=0.01)
_TOKENS = Integer(low=1)

COUNTERS_PATH = "/standin/counters"
COUNTERS_TIMEOUT = 5.0
"""Seconds that reading a stand-in's counters may take."""


class FullReport(msgspec.Struct, frozen=True, kw_only=True):
    """What ``--json`` prints.

    Attributes:
        load: The report of the run.
        violations: How often each promise was broken.
    """

    load: LoadReport
    violations: dict[str, int]


class LoadCommand(Program):
    """Sends calls and reports what became of them."""

    name = "run"
    description = "Send a seeded mix of calls to entries and check what comes back."
    options = [  # noqa: RUF012 - cleo reads the list from the class.
        option("entry", None, "Address of an entry; may repeat.", flag=False, multiple=True),
        option("key", None, "CUSTOMER=KEY; may repeat.", flag=False, multiple=True),
        option("model", None, "Model asked for.", flag=False, default="base"),
        option("service", None, "Plain service; empty for none.", flag=False, default=""),
        option("engine", None, "Stand-in engine to check.", flag=False, multiple=True),
        option("target", None, "Stand-in service target to check.", flag=False, multiple=True),
        option("seconds", None, "Length of the run.", flag=False, default="30"),
        option("alone", None, "Seconds of short calls alone.", flag=False, default="5"),
        option("rate", None, "Calls a second.", flag=False, default="20"),
        option("longest", None, "Longest prompt.", flag=False, default="1000000"),
        option("seed", None, "Seed of every draw.", flag=False, default="1"),
        option("json", None, "Print the report as JSON."),
    ]

    def work(self) -> int:
        """Run and print the report."""
        return asyncio.run(self._run())

    async def _run(self) -> int:
        calls = draw(settings=self._settings())
        prepare()
        balancer = Balancer(addresses=self.option("entry"))
        await balancer.start()
        started = asyncio.get_running_loop().time()
        target = Target(
            model=self.option("model"),
            service=self.option("service"),
            run=f"seed{self.option('seed')}-{int(started * 1_000)}",
        )
        sender = Sender(balancer=balancer, target=target, started=started)
        run = Run(calls=calls, sender=sender, started=started, progress=self._progress)
        outcomes = await run.run()
        await balancer.stop()
        runs = sum_runs(
            engines=await _counters(self.option("engine"), EngineCounters),
            services=await _counters(self.option("target"), ServiceCounters),
        )
        violations = list(check_outcomes(outcomes=outcomes))
        if self.option("engine") or self.option("target"):
            violations.extend(check_runs(outcomes=outcomes, runs=runs))
        self._print(make_report(outcomes=outcomes), violations)
        return EXIT_BROKEN if violations else EXIT_OK

    def _settings(self) -> PlanSettings:
        pairs = [text.partition("=") for text in self.option("key")]
        return PlanSettings(
            seed=self.value("seed", _SEED),
            callers=tuple(Caller(name=name, key=key) for name, _, key in pairs),
            seconds=self.value("seconds", Seconds()),
            alone=self.value("alone", Seconds()),
            rate=self.value("rate", _RATE),
            plain_share=0.25 if self.option("service") else 0.0,
            longest=self.value("longest", _TOKENS),
        )

    def _progress(self, progress: Progress) -> None:
        if not self.option("json"):
            self.line(progress_line(progress))

    def _print(self, report: LoadReport, violations: Sequence[Violation]) -> None:
        counts = count_violations(violations=violations)
        if self.option("json"):
            full = FullReport(load=report, violations=counts)
            self.line(msgspec.json.encode(full).decode())
            return
        broken = (f"BROKEN {item.promise.value}: {item.detail}" for item in violations)
        for line in chain(show_report(report=report), broken):
            self.line(line)


def progress_line(progress: Progress) -> str:
    """Return a line that tells how far a run has come."""
    return (
        f"[{progress.seconds:5.1f} s] {progress.sent} of {progress.total} calls sent, "
        f"{progress.ended} ended, {progress.whole} whole"
    )


async def _counters(addresses: Sequence[str], kind: type[Counters]) -> tuple[Counters, ...]:
    found = []
    for address in addresses:
        client = HttpClient(address=address)
        answer = await client.request(method="GET", path=COUNTERS_PATH, timeout=COUNTERS_TIMEOUT)
        client.close()
        found.append(msgspec.json.decode(answer.body, type=kind))
    return tuple(found)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    application = Application("azureswitch-load", __version__)
    application.add(LoadCommand())
    return run_application(application, arguments)
