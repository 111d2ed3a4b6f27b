"""Runs real entry processes under faults and counts broken promises at the stand-ins."""

import asyncio
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from cleo.helpers import option
from msgspec import Struct

from azureswitch.programs import EXIT_OK, Program, run_program
from azureswitch.settings import Choice, Integer
from azureswitch_load import (
    Balancer,
    End,
    Outcome,
    PlanSettings,
    Promise,
    Run,
    Sender,
    Target,
    Violation,
    check_engines,
    check_runs,
    count_violations,
    draw,
    progress_line,
    sum_runs,
)
from azureswitch_load.demo import DeploymentName, load_deployment
from bench.faults._checks import check_callers, lost_connections
from bench.faults._revisions import Revisions
from bench.faults._script import Script
from bench.faults._site import Site
from bench.faults._windows import Windows

ROUND = 45.0
"""Seconds of one round of faults."""

RATE = 12.0
"""Calls a second."""

PLAIN_SHARE = 0.5
"""Share of calls to the plain service: most promises that break do so there."""

MEMORY_LIMIT = 10.0
"""Seconds after the last answer in which all engine memory must be back."""

FOLDER = Path("build/faults")

EXIT_BROKEN = 1
"""A promise was broken."""


class Result(Struct, frozen=True, kw_only=True):
    """What a run gave.

    Attributes:
        outcomes: What callers saw.
        violations: Broken promises.
        memory_back: Seconds until all engine memory was back, or None where it was not.
    """

    outcomes: tuple[Outcome, ...]
    violations: tuple[Violation, ...]
    memory_back: float | None


def _say(text: str) -> None:
    print(text, flush=True)


async def _load(site: Site, script: Script, *, seed: int, rounds: int) -> tuple[Outcome, ...]:
    balancer = Balancer(addresses=site.callers)
    await balancer.start()
    started = asyncio.get_running_loop().time()
    deployment = site.deployment
    target = Target(model=deployment.model, service=deployment.service, run=f"faults{seed}")
    plan = PlanSettings(
        seed=seed,
        callers=deployment.callers,
        seconds=rounds * ROUND,
        alone=0.0,
        rate=RATE,
        plain_share=PLAIN_SHARE,
        booking_share=0.8,
    )
    run = Run(
        calls=draw(settings=plan),
        sender=Sender(balancer=balancer, target=target, started=started),
        started=started,
        progress=lambda progress: _say(progress_line(progress)),
    )
    async with asyncio.TaskGroup() as group:
        group.create_task(script.run(started=started, rounds=rounds, length=ROUND))
        load = group.create_task(run.run())
    await balancer.stop()
    return load.result()


async def _memory_back(site: Site) -> float | None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    while loop.time() - began < MEMORY_LIMIT:
        if not _held(site):
            return loop.time() - began
        await asyncio.sleep(0.1)
    return None


def _held(site: Site) -> list[Violation]:
    engines = site.fleet.engines.items()
    return list(check_engines(engines={name: engine.counters for name, engine in engines}))


async def _run(site: Site, windows: Windows, *, seed: int, rounds: int) -> Result:
    await site.start()
    script = Script(site=site, windows=windows, seed=seed, say=_say)
    revisions = Revisions()
    watch = asyncio.create_task(revisions.run(entries=site.entries))
    try:
        outcomes = await _load(site, script, seed=seed, rounds=rounds)
        back = await _memory_back(site)
        runs = sum_runs(
            engines=[engine.counters for engine in site.fleet.engines.values()],
            services=[service.counters for service in site.fleet.services.values()],
        )
        violations = [
            *check_callers(outcomes=outcomes, windows=windows),
            *check_runs(outcomes=outcomes, runs=runs),
            *_held(site),
            *revisions.violations(accepted=script.accepted),
            *(
                Violation(promise=Promise.GRACEFUL, detail=f"a graceful stop ended with {code}")
                for code in script.exits
                if code != 0
            ),
        ]
        return Result(outcomes=outcomes, violations=tuple(violations), memory_back=back)
    finally:
        watch.cancel()
        await site.stop()


def _report(result: Result, windows: Windows) -> None:
    _say("")
    for fault, count in sorted(windows.counts.items(), key=lambda item: item[0].value):
        _say(f"{fault.value:32} {count:6}")
    _say(f"{'faults present together, pairs':32} {windows.double:6}")
    ends = Counter(outcome.last.end for outcome in result.outcomes)
    _say(f"{'calls':32} {len(result.outcomes):6}")
    for end in End:
        _say(f"{'calls that ended ' + end.value:32} {ends[end]:6}")
    codes = Counter(outcome.last.code for outcome in result.outcomes if outcome.last.code)
    for code, count in codes.most_common():
        _say(f"{'  ' + code:32} {count:6}")
    lost = lost_connections(outcomes=result.outcomes, windows=windows)
    _say(f"{'connections lost to killed entries':32} {lost:4}")
    back = "not back" if result.memory_back is None else f"{result.memory_back:.1f} s"
    _say(f"{'engine memory back after':32} {back:>6}")
    for promise, count in count_violations(violations=result.violations).items():
        _say(f"violations of {promise:32} {count:6}")
    for violation in result.violations[:20]:
        _say(f"  {violation.promise.value}: {violation.detail}")


class FaultsProgram(Program):
    """Runs the faults."""

    name = "bench.faults"
    description = "Runs real entry processes under faults and counts broken promises."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        option("deployment", description="Which deployment, else cascade.", flag=False),
        option("seed", description="Seed of load and faults, else 1.", flag=False),
        option("rounds", description="Rounds of faults, else 2.", flag=False),
    ]

    def work(self) -> int:
        """Return zero where no promise was broken, else one."""
        kind = Choice(options=DeploymentName)
        name = self.value("deployment", kind, default=DeploymentName.CASCADE)
        seed = self.value("seed", Integer(low=0), default=1)
        rounds = self.value("rounds", Integer(low=1), default=2)
        site = Site(deployment=load_deployment(name=name), folder=FOLDER)
        windows = Windows()
        result = asyncio.run(_run(site, windows, seed=seed, rounds=rounds))
        _report(result, windows)
        return EXIT_BROKEN if result.violations else EXIT_OK


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the faults.

    Returns:
        Zero where no promise was broken, one where one was, two where the command line is wrong.
    """
    return run_program(FaultsProgram(), arguments)


if __name__ == "__main__":
    sys.exit(main())
