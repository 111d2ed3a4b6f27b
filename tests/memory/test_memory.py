"""Tests of the sweep: release of dead owners' memory in time, and protection of live owners."""

from asyncio import Event, TaskGroup, get_running_loop, sleep
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast

import pytest
from msgspec.structs import replace

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.memory import SWEEPERS_PER_ENGINE, Sweeper
from azureswitch.core import CallId, HostName, Incarnation, PlaceName, TargetName
from azureswitch.exceptions import TargetBrokenError
from azureswitch.hashing import ranked
from azureswitch.ports import Engine, Holding, HoldingKind
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.peers import PeersNetworkFake

HOSTS = tuple(HostName(f"host-{at}") for at in range(6))
TARGETS = tuple(TargetName(f"engine-{at}") for at in range(4))
RELEASE_SECONDS = 10.0
"""Seconds after a death within which memory must be released."""

DETECTION_SECONDS = 5.0
"""Seconds after which membership reports a death in these tests."""


class EngineFake:
    """An engine with holdings, whose releases can fail and whose reads can hang."""

    def __init__(self) -> None:
        self.held: dict[str, Holding] = {}
        self.failing = 0
        self.hanging = False

    def hold(self, *, owner: Incarnation, call: str = "call", attempt: int = 1) -> None:
        """Hold memory for an owner."""
        self.held[f"{owner}/{call}/{attempt}"] = Holding(
            id=f"{owner}/{call}/{attempt}",
            kind=HoldingKind.RESERVATION,
            call=CallId(call),
            attempt=attempt,
            owner=owner,
            tokens=1_000,
        )

    async def holdings(self) -> tuple[Holding, ...]:
        """Return the holdings, or hang."""
        if self.hanging:
            await Event().wait()
        return tuple(self.held.values())

    async def release(self, *, holding: str) -> None:
        """Free a holding, or fail."""
        if self.failing:
            self.failing -= 1
            raise TargetBrokenError(target="engine")
        self.held.pop(holding, None)


@dataclass
class Host:
    """One host of a test, with its own view of the members."""

    incarnation: Incarnation
    address: str
    view: dict[HostName, Member]
    running: set[tuple[str, int]]
    sweeper: Sweeper


class Fleet:
    """Hosts that sweep engines."""

    def __init__(self) -> None:
        self.network = PeersNetworkFake()
        self.engines = {target: EngineFake() for target in TARGETS}
        members = {
            name: Member(
                incarnation=Incarnation(host=name, started=1),
                place=PlaceName(f"place-{at % 3}"),
                address=f"10.0.0.{at}:7000",
                status=MemberStatus.ALIVE,
            )
            for at, name in enumerate(HOSTS)
        }
        self.hosts = {name: self._host(member, dict(members)) for name, member in members.items()}
        self.dead: set[HostName] = set()

    def _host(self, member: Member, view: dict[HostName, Member]) -> Host:
        running: set[tuple[str, int]] = set()
        sweeper = Sweeper(
            myself=member.incarnation,
            members=view.values,
            engines=lambda: cast("dict[TargetName, Engine]", self.engines),
            peers=self.network.peers(address=member.address),
            running=lambda call, attempt: (call, attempt) in running,
            seed=len(member.address) + member.incarnation.started,
        )
        return Host(member.incarnation, member.address, view, running, sweeper)

    @property
    def held(self) -> int:
        """Tokens held at all engines."""
        return sum(holding.tokens for e in self.engines.values() for holding in e.held.values())

    def hold_everywhere(self, owner: Incarnation) -> None:
        """Hold memory for an owner at every engine."""
        for engine in self.engines.values():
            engine.hold(owner=owner)

    def kill(self, *names: HostName) -> None:
        """Kill hosts."""
        self.dead |= set(names)
        for name in names:
            self.network.stop(address=self.hosts[name].address)

    def set_status(
        self, name: HostName, *, status: MemberStatus, to: tuple[HostName, ...] = HOSTS
    ) -> None:
        """Set the status of a host in the member lists of others."""
        for host in to:
            view = self.hosts[host].view
            view[name] = replace(view[name], status=status)

    async def sweep(self, *, seconds: float, until_free: bool = False) -> float:
        """Let all live hosts sweep for a while; return the elapsed seconds."""
        start = get_running_loop().time()
        async with TaskGroup() as group:
            tasks = [
                group.create_task(self.hosts[name].sweeper.run())
                for name in HOSTS
                if name not in self.dead
            ]
            while get_running_loop().time() < start + seconds and (self.held or not until_free):
                await sleep(0.1)
            for task in tasks:
                task.cancel()
        return get_running_loop().time() - start

    async def seconds_until_free(self) -> float:
        """Sweep until nothing is held; return the elapsed seconds."""
        return await self.sweep(seconds=60.0, until_free=True)


def run_script(script: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run a script on a fresh fleet in virtual time."""

    async def main() -> None:
        await script(Fleet())

    run_virtual(main())


class TestDeath:
    """Release of dead owners' memory."""

    @pytest.mark.parametrize(
        "victims",
        [HOSTS[:1], HOSTS[1:3], ranked(name=TARGETS[0], hosts=HOSTS)[:SWEEPERS_PER_ENGINE]],
        ids=["one", "two", "the sweepers of an engine"],
    )
    def test_memory_of_dead_hosts_returns(self, victims: tuple[HostName, ...]) -> None:
        """All memory of dead hosts is released in time, however many die."""

        async def script(fleet: Fleet) -> None:
            for name in victims:
                fleet.hold_everywhere(fleet.hosts[name].incarnation)
            fleet.kill(*victims)
            await fleet.sweep(seconds=DETECTION_SECONDS)
            assert fleet.held == len(victims) * len(TARGETS) * 1_000
            for name in victims:
                fleet.set_status(name, status=MemberStatus.DEAD)
            assert await fleet.seconds_until_free() + DETECTION_SECONDS <= RELEASE_SECONDS

        run_script(script)

    @pytest.mark.parametrize("listed", [True, False], ids=["listed", "found by asking"])
    def test_restart_releases_the_earlier_process(self, listed: bool) -> None:
        """Memory is released if a newer process of the owner's host is listed or answers."""

        async def script(fleet: Fleet) -> None:
            name = HOSTS[0]
            old = fleet.hosts[name].view[name]
            fleet.hold_everywhere(old.incarnation)
            new = replace(old, incarnation=replace(old.incarnation, started=2))
            fleet.hosts[name] = fleet._host(new, dict(fleet.hosts[name].view))
            for host in HOSTS if listed else HOSTS[:1]:
                fleet.hosts[host].view[name] = new
            assert await fleet.seconds_until_free() <= RELEASE_SECONDS

        run_script(script)

    def test_unknown_owner_is_released_after_a_grace(self) -> None:
        """Memory of a process that is not listed and not reachable is released in time."""

        async def script(fleet: Fleet) -> None:
            fleet.hold_everywhere(Incarnation(host=HostName("gone"), started=1))
            await fleet.sweep(seconds=1.0)
            assert fleet.held == len(TARGETS) * 1_000
            assert await fleet.seconds_until_free() <= RELEASE_SECONDS

        run_script(script)

    def test_engine_that_hangs_holds_up_no_other(self) -> None:
        """Memory at other engines is released while one engine does not answer."""

        async def script(fleet: Fleet) -> None:
            name = HOSTS[0]
            fleet.engines[TARGETS[0]].hanging = True
            for target in TARGETS[1:]:
                fleet.engines[target].hold(owner=fleet.hosts[name].incarnation)
            fleet.kill(name)
            fleet.set_status(name, status=MemberStatus.DEAD)
            assert await fleet.seconds_until_free() + DETECTION_SECONDS <= RELEASE_SECONDS

        run_script(script)

    def test_failed_release_is_repeated(self) -> None:
        """A failed release is repeated after the next read."""

        async def script(fleet: Fleet) -> None:
            fleet.engines[TARGETS[0]].hold(owner=fleet.hosts[HOSTS[0]].incarnation)
            fleet.engines[TARGETS[0]].failing = 3
            fleet.kill(HOSTS[0])
            fleet.set_status(HOSTS[0], status=MemberStatus.DEAD)
            assert await fleet.seconds_until_free() <= RELEASE_SECONDS

        run_script(script)

    def test_ended_attempt_of_living_owner_is_released(self) -> None:
        """Holdings of a live owner's ended attempts are released; those of running ones are not."""

        async def script(fleet: Fleet) -> None:
            owner = fleet.hosts[HOSTS[0]]
            owner.running.add(("call", 2))
            for attempt in (1, 2):
                fleet.engines[TARGETS[0]].hold(owner=owner.incarnation, attempt=attempt)
            await fleet.sweep(seconds=RELEASE_SECONDS)
            held = fleet.engines[TARGETS[0]].held.values()
            assert [holding.attempt for holding in held] == [2]

        run_script(script)

    @pytest.mark.parametrize("restarted", [False, True])
    def test_work_that_was_taken_over_keeps_its_memory(self, restarted: bool) -> None:
        """Memory of a dead owner is held until its successor has finished the work."""

        async def script(fleet: Fleet) -> None:
            name = HOSTS[0]
            dead = fleet.hosts[name].incarnation
            fleet.hold_everywhere(dead)
            fleet.kill(name)
            if restarted:
                new = replace(fleet.hosts[name].view[name], incarnation=replace(dead, started=2))
                for host in HOSTS[1:]:
                    fleet.hosts[host].view[name] = replace(new, status=MemberStatus.SUSPECT)
            else:
                fleet.set_status(name, status=MemberStatus.DEAD)
            successor = fleet.hosts[ranked(name=str(dead), hosts=HOSTS[1:])[0]]
            successor.running.add(("call", 1))
            await fleet.sweep(seconds=3 * RELEASE_SECONDS)
            assert fleet.held == len(TARGETS) * 1_000
            successor.running.clear()
            assert await fleet.seconds_until_free() <= RELEASE_SECONDS

        run_script(script)


class TestFalseSuspicion:
    """Protection of live owners that are suspected."""

    @pytest.mark.parametrize(
        "status", [MemberStatus.SUSPECT, MemberStatus.LEAVING, MemberStatus.DEAD]
    )
    @pytest.mark.parametrize("cut", [False, True], ids=["reached directly", "reached by a witness"])
    def test_living_owner_keeps_its_memory(self, status: MemberStatus, cut: bool) -> None:
        """An answer of the owner, even through a witness, overrides its status at all hosts."""

        async def script(fleet: Fleet) -> None:
            name = HOSTS[0]
            owner = fleet.hosts[name]
            owner.running.add(("call", 1))
            fleet.hold_everywhere(owner.incarnation)
            fleet.set_status(name, status=status, to=HOSTS[1:])
            if cut:
                # Only one host, of the owner's failure domain, can reach it.
                cut_off = {fleet.hosts[host].address for host in (*HOSTS[1:3], *HOSTS[4:])}
                reaches = fleet.network.reaches
                fleet.network.reaches = (  # type: ignore[method-assign]
                    lambda *, source, address: reaches(source=source, address=address)
                    and not (source.address in cut_off and address == owner.address)
                    and not (address in cut_off and source.address == owner.address)
                )
            await fleet.sweep(seconds=3 * RELEASE_SECONDS)
            assert fleet.held == len(TARGETS) * 1_000

        run_script(script)

    def test_host_that_is_cut_off_releases_nothing(self) -> None:
        """A host that reaches engines but no other host releases nothing."""

        async def script(fleet: Fleet) -> None:
            alone = ranked(name=TARGETS[0], hosts=HOSTS)[0]
            owner, *others = (name for name in HOSTS if name != alone)
            fleet.engines[TARGETS[0]].hold(owner=fleet.hosts[owner].incarnation)
            fleet.network.partition([fleet.hosts[alone].address])
            fleet.set_status(owner, status=MemberStatus.DEAD, to=(alone,))
            fleet.dead = set(others) | {owner}
            await fleet.sweep(seconds=2 * RELEASE_SECONDS)
            assert fleet.held == 1_000

        run_script(script)
