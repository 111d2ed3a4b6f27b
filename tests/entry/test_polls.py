"""Few hosts poll each engine, and their reports reach all hosts."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import pytest

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.sharing import (
    MAX_MISSED_REPORTS,
    POLL_PERIOD_SECONDS,
    POLLERS,
    pack,
    unpack,
)
from azureswitch.core import HostName, Incarnation, PlaceName, ServiceName, TargetName
from azureswitch.entry._polls import Poller
from azureswitch.entry._targets import Targets
from azureswitch.exceptions import TargetRefusedError
from azureswitch.inventory import Inventory, Rules, Service, ServiceKind, Snapshot, Target
from azureswitch.ports import LoadReport
from azureswitch.serving import LoadReported, ServingEvent, TargetUnreachable
from azureswitch_standins.peers import PeersNetworkFake

ENGINES = 12
POOL = ServiceName("pool")


def report(name: str, sequence: int = 1) -> LoadReport:
    """Return a report of an engine."""
    return LoadReport(
        target=TargetName(name),
        started=5,
        sequence=sequence,
        running=1,
        waiting=2,
        waiting_tokens=3,
        urgent_tokens=4,
        memory_used=6,
        memory_total=7,
        models=("base",),
        draining=True,
    )


@dataclass(kw_only=True)
class EngineFake:
    """An engine that counts its polls."""

    polls: Counter[str]
    name: str
    down: set[str] = field(default_factory=set)

    async def load(self) -> LoadReport:
        """Count a poll."""
        self.polls[self.name] += 1
        if self.name in self.down:
            raise TargetRefusedError(target=self.name)
        # Its own name differs from that in the inventory.
        return report("self")


class Fleet:
    """Hosts with a poller each, in virtual time."""

    def __init__(self, hosts: int) -> None:
        self.now = 0.0
        self.polls: Counter[str] = Counter()
        self.down: set[str] = set()
        self.network = PeersNetworkFake(delay=0.0, jitter=0.0)
        self.members = tuple(
            Member(
                incarnation=Incarnation(host=HostName(f"entry-{index}"), started=1),
                place=PlaceName("north-1"),
                address=f"10.0.0.{index}:1",
                status=MemberStatus.ALIVE,
            )
            for index in range(hosts)
        )
        self.heard: list[list[ServingEvent]] = [[] for _ in self.members]
        self.pollers = [self._poller(index) for index in range(hosts)]

    def _poller(self, index: int) -> Poller:
        member = self.members[index]
        targets = Targets(engine=self._engine, plain=lambda target: None)  # type: ignore[arg-type,return-value]
        names = [TargetName(f"engine-{number}") for number in range(ENGINES)]
        items = tuple(
            Target(name=name, service=POOL, place=member.place, address="a:1", models=("base",))
            for name in names
        )
        service = Service(name=POOL, kind=ServiceKind.MODEL)
        inventory = Inventory(services=(service,), targets=items)
        targets.adopt(Snapshot(revision=1, inventory=inventory, rules=Rules()))
        return Poller(
            host=member.incarnation.host,
            targets=targets,
            peers=self.network.peers(address=member.address),
            members=lambda: self.members,
            dispatch=self.heard[index].append,
            clock=lambda: self.now,
            seed=index,
        )

    def _engine(self, target: Target) -> EngineFake:
        return EngineFake(polls=self.polls, name=str(target.name), down=self.down)

    async def step(self, pollers: list[Poller] | None = None) -> None:
        """Let hosts poll once, half a second later."""
        self.now += POLL_PERIOD_SECONDS
        for poller in self.pollers if pollers is None else pollers:
            poller.step()
        for _ in range(20):
            await asyncio.sleep(0)
        await asyncio.sleep(0.005)

    def reported(self, index: int) -> set[TargetName]:
        """Return the engines of which a host has reports."""
        events = self.heard[index]
        return {event.report.target for event in events if isinstance(event, LoadReported)}


class TestPolls:
    """`Poller`."""

    @pytest.mark.parametrize(("hosts", "pollers"), [(1, 1), (2, 2), (9, POLLERS)])
    def test_few_polls(self, hosts: int, pollers: int) -> None:
        """Each engine is polled by few hosts, and every host has reports of every engine."""

        async def scenario() -> None:
            fleet = Fleet(hosts)
            for _ in range(2):
                await fleet.step()
            assert set(fleet.polls.values()) == {2 * pollers}
            for index in range(hosts):
                assert len(fleet.reported(index)) == ENGINES

        asyncio.run(scenario())

    def test_silence(self) -> None:
        """A host without reports of an engine polls it itself."""

        async def scenario() -> None:
            fleet = Fleet(9)
            for _ in range(MAX_MISSED_REPORTS + 3):
                await fleet.step(fleet.pollers[:1])
            assert len(fleet.reported(0)) == ENGINES

        asyncio.run(scenario())

    def test_unreachable(self) -> None:
        """Each host detects by itself that an engine does not answer."""

        async def scenario() -> None:
            fleet = Fleet(9)
            fleet.down.add("engine-3")
            for _ in range(MAX_MISSED_REPORTS + 3):
                await fleet.step()
            for events in fleet.heard:
                lost = {event.target for event in events if isinstance(event, TargetUnreachable)}
                assert lost == {"engine-3"}

        asyncio.run(scenario())

    def test_packed(self) -> None:
        """A decoded report equals the encoded one."""
        assert unpack(pack(report("engine-1"), age=0.2)) == report("engine-1")
