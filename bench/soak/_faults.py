"""Random faults, several at a time and in series."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic

from azureswitch.exceptions import HttpError
from azureswitch_standins.target import SILENT_ACTS, Act, TargetFaults
from bench.soak._documents import DESK, POOL
from bench.soak._fleet import WORK, Fleet, Host, Target
from bench.soak._moments import moments
from bench.soak._planned import DOWN_SECONDS, stop_host
from bench.soak._platform import Platform
from bench.soak._proxy import FaultProxy, Mode
from bench.soak._records import EVERYWHERE, STORE, Records

LAST_SECONDS = (0.4, 3.5)
"""Seconds that other faults last."""

STORE_SECONDS = (0.5, 5.0)
"""Seconds that faults of the store last: some are longer than leases, which lapse meanwhile."""

CLOCK_STEPS = (-3.0, -0.5, 3.0)
"""Seconds by which the time of day of a restarted process is off."""

PROXY_MODES = tuple(mode for mode in Mode if mode is not Mode.PASS)

ACTS = tuple(act for act in Act if act is not Act.ANSWER)

Fault = Callable[[], Awaitable[None]]


class Faults:
    """Brings random faults about.

    Args:
        fleet: The processes.
        platform: Makes changes.
        records: Takes the faults.
        seed: Draws them.

    Attributes:
        away: The names of who has a fault or planned work.
    """

    def __init__(self, *, fleet: Fleet, platform: Platform, records: Records, seed: int) -> None:
        self._fleet = fleet
        self._platform = platform
        self._records = records
        self._random = Random(f"{seed} faults")
        self.away: set[str] = set()
        self._kinds: dict[str, Fault] = {
            "host killed": self._kill_host,
            "host killed again and again": self._kill_series,
            "host stopped": self._stop_host,
            "hosts stopped in turn": self._roll_hosts,
            "host paused": self._pause_host,
            "all hosts killed": self._kill_all,
            "settings changed": self._move_store,
            "host's callers disturbed": self._disturb_front,
            "host's store disturbed": self._disturb_store,
            "store down": self._store_down,
            "store slow": lambda: self._store_fault("store slow", delay=0.4),
            "store loses answers": lambda: self._store_fault(
                "store loses answers", lose_answers=1_000
            ),
            "target killed": self._kill_target,
            "target's address reused": self._reuse_address,
            "target paused": self._pause_target,
            "target drained": self._drain_target,
            "target misbehaves": self._misbehave,
            "target's connections disturbed": self._disturb_target,
            "configuration changed": self._change,
            "changes in quick succession": self._storm,
        }

    async def run(self, *, count: int, seconds: float, only: str = "") -> None:
        """Bring faults about and return once all are over.

        Args:
            count: How many.
            seconds: Within how many seconds they begin.
            only: The one kind to draw, or nothing for all.
        """
        kinds = [only] if only else sorted(self._kinds)
        async with asyncio.TaskGroup() as group:
            async for _ in moments(self._random, count=count, seconds=seconds):
                group.create_task(self._bring(self._random.choice(kinds)))

    async def _bring(self, kind: str) -> None:
        try:
            await self._kinds[kind]()
        except HttpError as error:
            # A target that is busy may not take its orders; how it then behaves is not known.
            self._records.findings.append(f"HARNESS: {kind} could not be brought about: {error}")

    async def _last(self, span: tuple[float, float]) -> None:
        await asyncio.sleep(self._random.uniform(*span))

    # --- Hosts ------------------------------------------------------------------------------------

    def _host(self) -> Host | None:
        """Return a host with no fault of its process, or None; it is taken until given back."""
        free = [host for host in self._fleet.hosts if host.name not in self.away]
        if not free:
            return None
        host = self._random.choice(free)
        self.away.add(host.name)
        return host

    async def _kill(self, host: Host) -> None:
        begin = monotonic()
        await host.process.kill()
        await self._last(DOWN_SECONDS)
        await host.start(offset=self._random.choice((0.0, 0.0, *CLOCK_STEPS)))
        self._records.note("host killed", host.name, begin)

    async def _kill_host(self) -> None:
        if host := self._host():
            await self._kill(host)
            self.away.discard(host.name)

    async def _kill_series(self) -> None:
        if host := self._host():
            for _ in range(3):
                await self._kill(host)
                await asyncio.sleep(self._random.uniform(0.2, 1.2))
            self.away.discard(host.name)

    async def _kill_all(self) -> None:
        hosts = [host for host in self._fleet.hosts if host.name not in self.away]
        self.away |= {host.name for host in hosts}
        begin = monotonic()
        await asyncio.gather(*(self._kill(host) for host in hosts))
        self.away -= {host.name for host in hosts}
        self._records.note("all hosts killed", EVERYWHERE, begin)

    async def _stop_host(self) -> None:
        if host := self._host():
            await stop_host(host, records=self._records, random=self._random)
            self.away.discard(host.name)

    async def _roll_hosts(self) -> None:
        for _ in range(2):
            await self._stop_host()

    async def _pause_host(self) -> None:
        if host := self._host():
            begin = monotonic()
            host.process.pause()
            await self._last(LAST_SECONDS)
            host.process.resume()
            self._records.note("host paused", host.name, begin)
            self.away.discard(host.name)

    async def _move_store(self) -> None:
        host = self._random.choice(self._fleet.hosts)
        host.move_store()
        if self._random.random() < 0.5:
            host.process.reload()

    async def _disturb_front(self) -> None:
        host = self._random.choice(self._fleet.hosts)
        await self._disturb("callers", host.front, host.name)

    async def _disturb_store(self) -> None:
        host = self._random.choice(self._fleet.hosts)
        mode = self._random.choice(PROXY_MODES)
        begin = monotonic()
        for proxy in host.stores:
            proxy.set_mode(mode)
        await self._last(STORE_SECONDS)
        for proxy in host.stores:
            proxy.set_mode(Mode.PASS)
        self._records.note(f"{mode.value} between host and store", host.name, begin)

    async def _disturb(self, what: str, proxy: FaultProxy, subject: str) -> None:
        begin = monotonic()
        mode = Mode.REFUSE
        if self._random.random() < 0.3:
            proxy.reset(share=self._random.uniform(0.2, 1.0))
        else:
            mode = self._random.choice(PROXY_MODES)
            proxy.set_mode(mode)
            await self._last(LAST_SECONDS)
            proxy.set_mode(Mode.PASS)
        silent = mode is not Mode.REFUSE
        self._records.note(f"{what} disturbed", subject, begin, silent=silent)

    # --- The store --------------------------------------------------------------------------------

    async def _store_fault(self, kind: str, **faults: object) -> None:
        if STORE in self.away:
            return
        self.away.add(STORE)
        begin = monotonic()
        await self._fleet.set_store_faults(**faults)
        await self._last(STORE_SECONDS)
        await self._fleet.set_store_faults()
        self._records.note(kind, STORE, begin)
        self.away.discard(STORE)

    async def _store_down(self) -> None:
        if STORE in self.away:
            return
        self.away.add(STORE)
        begin = monotonic()
        mode = self._random.choice((Mode.REFUSE, Mode.SILENT, Mode.ONE_WAY, Mode.FORGET))
        self._fleet.store_proxy.set_mode(mode)
        await self._last(STORE_SECONDS)
        self._fleet.store_proxy.set_mode(Mode.PASS)
        self._records.note(f"store {mode.value}", STORE, begin)
        self.away.discard(STORE)

    async def _change(self) -> None:
        await self._platform.flip_extra_key()

    async def _storm(self) -> None:
        for _ in range(6):
            await self._platform.change(idle_routes=self._random.randint(0, 300))
            await asyncio.sleep(self._random.uniform(0.02, 0.3))

    # --- Targets ----------------------------------------------------------------------------------

    def _target(self) -> Target | None:
        """Return a target of whose service another one is left, or None."""
        free = [
            target
            for target in self._fleet.targets
            if target.process.running
            and target.plan.name not in self.away
            and target.plan.service not in WORK
            and len(self._alike(target)) > 1
        ]
        if not free:
            return None
        target = self._random.choice(free)
        self.away.add(target.plan.name)
        return target

    def _alike(self, target: Target) -> list[Target]:
        return [
            other
            for other in self._fleet.targets
            if other.process.running
            and other.plan.name not in self.away
            and other.plan.service == target.plan.service
        ]

    async def _kill_target(self) -> None:
        if target := self._target():
            begin = monotonic()
            await target.process.kill()
            self._records.note("target killed", target.plan.name, begin)
            await self._last(LAST_SECONDS)
            await self._fleet.add_target(service=target.plan.service)

    async def _reuse_address(self) -> None:
        """Kill a target and start one of the other service at its address after 2 s."""
        if target := self._target():
            begin = monotonic()
            await target.process.kill()
            self._records.note("target killed", target.plan.name, begin)
            await asyncio.sleep(2.0)
            await self._fleet.add_target(
                service=DESK if target.plan.service == POOL else POOL,
                listen=target.listen,
                proxy=target.proxy,
            )
            await self._fleet.add_target(service=target.plan.service)

    async def _pause_target(self) -> None:
        if target := self._target():
            begin = monotonic()
            target.process.pause()
            await self._last(LAST_SECONDS)
            target.process.resume()
            self._records.note("target paused", target.plan.name, begin, silent=True)
            self.away.discard(target.plan.name)

    async def _drain_target(self) -> None:
        """Let a target leave as it should, with another one in its place before."""
        if target := self._target():
            fresh = await self._fleet.add_target(service=target.plan.service)
            # Killed before it is listed, it would be waited for in vain.
            self.away.add(fresh.plan.name)
            await fresh.listed.wait()
            self.away.discard(fresh.plan.name)
            await target.process.terminate(timeout=20.0)

    async def _misbehave(self) -> None:
        if target := self._target():
            act = self._random.choice(ACTS)
            faults = TargetFaults(share=self._random.choice((0.1, 0.5, 1.0)), act=act)
            # One that was started just now does not listen yet; its entry comes after that.
            await target.listed.wait()
            begin = monotonic()
            await target.set_faults(faults)
            await self._last(LAST_SECONDS)
            await target.set_faults(TargetFaults())
            silent = act in SILENT_ACTS
            self._records.note(f"target {act.value}", target.plan.name, begin, silent=silent)
            self.away.discard(target.plan.name)

    async def _disturb_target(self) -> None:
        if target := self._target():
            await self._disturb("target", target.proxy, target.plan.name)
            self.away.discard(target.plan.name)
