"""Tests of the sweep: who is believed dead, what protects the living, and how long it takes."""

from asyncio import Event, TaskGroup, get_running_loop, sleep
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast

import pytest
from msgspec.structs import replace

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.memory import SWEEPERS, Sweeper
from azureswitch.core import CallId, HostName, Incarnation, PlaceName, TargetName
from azureswitch.exceptions import TargetBrokenError
from azureswitch.hashing import ranked
from azureswitch.ports import Engine, Holding, HoldingKind
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.peers import PeersNetworkFake

HOSTS = tuple(HostName(f"host-{at}") for at in range(6))
TARGETS = tuple(TargetName(f"engine-{at}") for at in range(4))
AIM = 10.0
"""Seconds within which memory is back after a death."""

DETECTION = 5.0
"""Seconds after which the members of these tests are told of a death."""


class EngineFake:
    """Holdings, how many releases fail, and whether reads hang."""

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
        """Return what is held, or nothing at all."""
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
    """Hosts before engines."""

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
        """End hosts at once."""
        self.dead |= set(names)
        for name in names:
            self.network.stop(address=self.hosts[name].address)

    def tell(
        self, name: HostName, *, status: MemberStatus, to: tuple[HostName, ...] = HOSTS
    ) -> None:
        """Let hosts believe something of another."""
        for host in to:
            view = self.hosts[host].view
            view[name] = replace(view[name], status=status)

    async def sweep(self, *, seconds: float, until_free: bool = False) -> float:
        """Let all living hosts sweep for a while; return how long that was."""
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
        """Sweep until nothing is held; return how long that took."""
        return await self.sweep(seconds=60.0, until_free=True)


def play(script: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run a script on a fresh fleet in virtual time."""

    async def main() -> None:
        await script(Fleet())

    run_virtual(main())


class TestDeath:
    """Memory of the dead comes back in time."""

    @pytest.mark.parametrize(
        "victims",
        [HOSTS[:1], HOSTS[1:3], ranked(name=TARGETS[0], hosts=HOSTS)[:SWEEPERS]],
        ids=["one", "two", "the sweepers of an engine"],
    )
    def test_memory_of_dead_hosts_returns(self, victims: tuple[HostName, ...]) -> None:
        """Within the aim of a death, however many hosts die, all their memory is back."""

        async def script(fleet: Fleet) -> None:
            for name in victims:
                fleet.hold_everywhere(fleet.hosts[name].incarnation)
            fleet.kill(*victims)
            await fleet.sweep(seconds=DETECTION)
            assert fleet.held == len(victims) * len(TARGETS) * 1_000
            for name in victims:
                fleet.tell(name, status=MemberStatus.DEAD)
            assert await fleet.seconds_until_free() + DETECTION <= AIM

        play(script)

    @pytest.mark.parametrize("told", [True, False], ids=["listed", "found by asking"])
    def test_restart_releases_the_earlier_process(self, told: bool) -> None:
        """A newer process of the owner's host is proof enough, listed or met."""

        async def script(fleet: Fleet) -> None:
            name = HOSTS[0]
            old = fleet.hosts[name].view[name]
            fleet.hold_everywhere(old.incarnation)
            new = replace(old, incarnation=replace(old.incarnation, started=2))
            fleet.hosts[name] = fleet._host(new, dict(fleet.hosts[name].view))
            for host in HOSTS if told else HOSTS[:1]:
                fleet.hosts[host].view[name] = new
            assert await fleet.seconds_until_free() <= AIM

        play(script)

    def test_unknown_owner_is_released_after_a_grace(self) -> None:
        """Memory of a process that no list shows and no host reaches is back in time."""

        async def script(fleet: Fleet) -> None:
            fleet.hold_everywhere(Incarnation(host=HostName("gone"), started=1))
            await fleet.sweep(seconds=1.0)
            assert fleet.held == len(TARGETS) * 1_000
            assert await fleet.seconds_until_free() <= AIM

        play(script)

    def test_engine_that_hangs_holds_up_no_other(self) -> None:
        """Memory at the other engines is back while one does not answer."""

        async def script(fleet: Fleet) -> None:
            name = HOSTS[0]
            fleet.engines[TARGETS[0]].hanging = True
            for target in TARGETS[1:]:
                fleet.engines[target].hold(owner=fleet.hosts[name].incarnation)
            fleet.kill(name)
            fleet.tell(name, status=MemberStatus.DEAD)
            assert await fleet.seconds_until_free() + DETECTION <= AIM

        play(script)

    def test_failed_release_is_repeated(self) -> None:
        """A release that breaks is seen in the next read."""

        async def script(fleet: Fleet) -> None:
            fleet.engines[TARGETS[0]].hold(owner=fleet.hosts[HOSTS[0]].incarnation)
            fleet.engines[TARGETS[0]].failing = 3
            fleet.kill(HOSTS[0])
            fleet.tell(HOSTS[0], status=MemberStatus.DEAD)
            assert await fleet.seconds_until_free() <= AIM

        play(script)

    def test_ended_attempt_of_living_owner_is_released(self) -> None:
        """What a living owner forgot goes; what it runs stays."""

        async def script(fleet: Fleet) -> None:
            owner = fleet.hosts[HOSTS[0]]
            owner.running.add(("call", 2))
            for attempt in (1, 2):
                fleet.engines[TARGETS[0]].hold(owner=owner.incarnation, attempt=attempt)
            await fleet.sweep(seconds=AIM)
            held = fleet.engines[TARGETS[0]].held.values()
            assert [holding.attempt for holding in held] == [2]

        play(script)

    @pytest.mark.parametrize("restarted", [False, True])
    def test_work_that_was_taken_over_keeps_its_memory(self, restarted: bool) -> None:
        """Spans of the dead stay while the heir reads their output, and go at its end."""

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
                fleet.tell(name, status=MemberStatus.DEAD)
            heir = fleet.hosts[ranked(name=str(dead), hosts=HOSTS[1:])[0]]
            heir.running.add(("call", 1))
            await fleet.sweep(seconds=3 * AIM)
            assert fleet.held == len(TARGETS) * 1_000
            heir.running.clear()
            assert await fleet.seconds_until_free() <= AIM

        play(script)


class TestFalseSuspicion:
    """A living owner keeps its memory, whatever others believe."""

    @pytest.mark.parametrize(
        "status", [MemberStatus.SUSPECT, MemberStatus.LEAVING, MemberStatus.DEAD]
    )
    @pytest.mark.parametrize("cut", [False, True], ids=["reached directly", "reached by a witness"])
    def test_living_owner_keeps_its_memory(self, status: MemberStatus, cut: bool) -> None:
        """The owner's own word, even through a witness, goes before the belief of all others."""

        async def script(fleet: Fleet) -> None:
            name = HOSTS[0]
            owner = fleet.hosts[name]
            owner.running.add(("call", 1))
            fleet.hold_everywhere(owner.incarnation)
            fleet.tell(name, status=status, to=HOSTS[1:])
            if cut:
                # All but one host of the owner's own failure domain lose the way to it.
                cut_off = {fleet.hosts[host].address for host in (*HOSTS[1:3], *HOSTS[4:])}
                reaches = fleet.network.reaches
                fleet.network.reaches = (  # type: ignore[method-assign]
                    lambda *, source, address: reaches(source=source, address=address)
                    and not (source.address in cut_off and address == owner.address)
                    and not (address in cut_off and source.address == owner.address)
                )
            await fleet.sweep(seconds=3 * AIM)
            assert fleet.held == len(TARGETS) * 1_000

        play(script)

    def test_host_that_is_cut_off_releases_nothing(self) -> None:
        """A host that reaches the engines and no other host does not trust itself."""

        async def script(fleet: Fleet) -> None:
            alone = ranked(name=TARGETS[0], hosts=HOSTS)[0]
            owner, *others = (name for name in HOSTS if name != alone)
            fleet.engines[TARGETS[0]].hold(owner=fleet.hosts[owner].incarnation)
            fleet.network.partition([fleet.hosts[alone].address])
            fleet.tell(owner, status=MemberStatus.DEAD, to=(alone,))
            fleet.dead = set(others) | {owner}
            await fleet.sweep(seconds=2 * AIM)
            assert fleet.held == 1_000

        play(script)
