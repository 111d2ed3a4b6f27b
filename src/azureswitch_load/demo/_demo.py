"""Runs the demo."""

import asyncio
from collections.abc import Callable, Iterator, Sequence

from msgspec import Struct

from azureswitch_load import (
    Balancer,
    LoadReport,
    Outcome,
    PlanSettings,
    Promise,
    Run,
    Sender,
    Target,
    Violation,
    check_engines,
    check_outcomes,
    check_runs,
    count_violations,
    draw,
    make_report,
    prepare,
    progress_line,
    sum_runs,
)
from azureswitch_load._outcome import End
from azureswitch_load.demo._configure import Operator
from azureswitch_load.demo._deployment import Deployment
from azureswitch_load.demo._fleet import Fleet
from azureswitch_load.demo._script import Script, Shutdown
from azureswitch_load.demo._watch import Watch
from azureswitch_standins.store import StoreCounters

READY_TIMEOUT = 15.0
"""Seconds in which the entries must become ready."""

START_PAUSE = 2.0
"""Seconds between readiness and the load, in which hosts find each other and poll the engines."""

IDLE_TIMEOUT = 12.0
"""Seconds after the load in which engines must become idle and their memory free."""

HUGE_SECONDS = 16.0
"""Seconds before the end of the load after which no prompt of the longest bucket is sent."""

PATIENCE = 8.0
"""Seconds for which a call that is refused is sent again."""

POLL_PERIOD = 0.1
"""Seconds between two looks."""

RETRIED = b"azureswitch_retried_total{"


class DemoSettings(Struct, frozen=True, kw_only=True):
    """How the demo runs.

    Attributes:
        seed: Seed of the load.
        seconds: Seconds of load.
        alone: Seconds at the start in which short requests have the fleet alone.
        rate: Calls a second.
        speed: Seconds of an engine's model in one second.
        long_timeout: Seconds that a call with a long prompt may take; hosts learn only with time
            that these engines are quicker than they expect, and admit what fits until then.
    """

    seed: int = 1
    seconds: float = 34.0
    alone: float = 8.0
    rate: float = 20.0
    speed: float = 8.0
    long_timeout: float = 600.0


class DemoReport(Struct, frozen=True, kw_only=True):
    """What the demo writes.

    Attributes:
        deployment: The deployment.
        seconds: Seconds from start to end.
        load: What callers saw.
        retries: Attempts that the entries made again.
        store_calls: What the store counted.
        in_force: Seconds after which each accepted revision was in force everywhere.
        loop_lag: The longest time that the one event loop of the whole demo was late, in seconds.
        violations: How often each promise was broken.
        broken: Where.
    """

    deployment: str
    seconds: float
    load: LoadReport
    retries: int
    store_calls: StoreCounters
    in_force: dict[str, float]
    loop_lag: float
    violations: dict[str, int]
    broken: tuple[str, ...]


class Demo:
    """A deployment under load and faults."""

    def __init__(
        self, *, deployment: Deployment, settings: DemoSettings, say: Callable[[str], None]
    ) -> None:
        self._deployment = deployment
        self._settings = settings
        self._say = say
        self._fleet = Fleet(deployment=deployment, speed=settings.speed)
        self._operator = Operator(fleet=self._fleet)
        self._watch = Watch(fleet=self._fleet)
        self._lag = _Lag()

    async def run(self) -> DemoReport:
        """Run it and return its report."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        prepare()
        await self._fleet.start()
        self._watch.start()
        lag = asyncio.create_task(self._lag.run())
        try:
            await self._configure()
            outcomes, shutdowns = await self._load()
            await self._settle()
            return self._report(outcomes, shutdowns, seconds=loop.time() - began)
        finally:
            lag.cancel()
            await self._watch.stop()
            await self._fleet.stop()

    async def _configure(self) -> None:
        revision = await self._operator.accept(
            inventory=self._fleet.inventory, rules=self._deployment.rules
        )
        self._watch.accepted(revision=revision)
        async with asyncio.timeout(READY_TIMEOUT):
            while not self._watch.forced:
                await asyncio.sleep(POLL_PERIOD)
        self._say(f"Revision {revision} is in force on {len(self._fleet.entries)} entries.")
        await asyncio.sleep(START_PAUSE)

    async def _load(self) -> tuple[Sequence[Outcome], Sequence[Shutdown]]:
        balancer = Balancer(addresses=self._fleet.callers)
        await balancer.start()
        started = asyncio.get_running_loop().time()
        script = Script(
            fleet=self._fleet,
            operator=self._operator,
            watch=self._watch,
            rules=self._deployment.rules,
            started=started,
            say=self._say,
        )
        sender = Sender(balancer=balancer, target=self._target, started=started, patience=PATIENCE)
        run = Run(
            calls=draw(settings=self._plan),
            sender=sender,
            started=started,
            progress=lambda progress: self._say(progress_line(progress)),
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(script.run())
            load = group.create_task(run.run())
        await balancer.stop()
        return load.result(), script.shutdowns

    @property
    def _target(self) -> Target:
        return Target(
            model=self._deployment.model,
            service=self._deployment.service,
            run=f"demo{self._settings.seed}",
        )

    @property
    def _plan(self) -> PlanSettings:
        settings = self._settings
        return PlanSettings(
            seed=settings.seed,
            callers=self._deployment.callers,
            seconds=settings.seconds,
            alone=settings.alone,
            rate=settings.rate,
            long_timeout=settings.long_timeout,
            huge_until=settings.seconds - HUGE_SECONDS,
        )

    async def _settle(self) -> None:
        """Wait until the engines are idle, or the time for that is over."""
        try:
            async with asyncio.timeout(IDLE_TIMEOUT):
                while list(self._held_memory()):
                    await asyncio.sleep(POLL_PERIOD)
        except TimeoutError:
            self._say("Engines did not become idle in time.")

    def _held_memory(self) -> Iterator[Violation]:
        engines = {str(name): engine.counters for name, engine in self._fleet.engines.items()}
        return check_engines(engines=engines)

    def _report(
        self, outcomes: Sequence[Outcome], shutdowns: Sequence[Shutdown], *, seconds: float
    ) -> DemoReport:
        runs = sum_runs(
            engines=[engine.counters for engine in self._fleet.engines.values()],
            services=[service.counters for service in self._fleet.services.values()],
        )
        violations = [
            *check_outcomes(outcomes=outcomes),
            *check_runs(outcomes=outcomes, runs=runs),
            *check_shutdowns(outcomes=outcomes, shutdowns=shutdowns),
            *self._held_memory(),
            *self._watch.violations,
        ]
        return DemoReport(
            deployment=self._deployment.name.value,
            seconds=seconds,
            load=make_report(outcomes=outcomes),
            retries=self._retries(),
            store_calls=self._fleet.store.counters,
            in_force={str(key): value for key, value in self._watch.forced.items()},
            loop_lag=self._lag.longest,
            violations=count_violations(violations=violations),
            broken=tuple(f"{item.promise.value}: {item.detail}" for item in violations),
        )

    def _retries(self) -> int:
        total = 0.0
        for entry in self._fleet.entries.values():
            text, _ = entry.parts.metrics.text()
            lines = [line for line in text.splitlines() if line.startswith(RETRIED)]
            total += sum(float(line.rpartition(b" ")[2]) for line in lines)
        return round(total)


def check_shutdowns(
    *, outcomes: Sequence[Outcome], shutdowns: Sequence[Shutdown]
) -> Iterator[Violation]:
    """Yield the requests that ran when a graceful shutdown began and did not end whole."""
    for shutdown in shutdowns:
        for outcome in outcomes:
            for attempt in outcome.attempts:
                ran = attempt.sent <= shutdown.began <= attempt.sent + attempt.seconds
                if attempt.entry != shutdown.address or not ran:
                    continue
                if attempt.end not in (End.WHOLE, End.REFUSED):
                    detail = f"request {attempt.request} ended {attempt.end.value} {attempt.code}"
                    yield Violation(promise=Promise.GRACEFUL, detail=detail)


class _Lag:
    """Measures how late the event loop is."""

    def __init__(self) -> None:
        self._longest = 0.0

    @property
    def longest(self) -> float:
        """The longest that it was late, in seconds."""
        return self._longest

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(POLL_PERIOD)
            self._longest = max(self._longest, loop.time() - before - POLL_PERIOD)
