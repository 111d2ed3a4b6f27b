"""A fleet of hosts with claims over one store, in virtual time."""

import asyncio
from collections import Counter

from msgspec.structs import replace

from azureswitch.coordination.claims import Claims, Granted
from azureswitch.coordination.claims._model import key_digest, shard_of
from azureswitch.coordination.claims._owners import owners
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import CallId, CustomerName, HostName, Incarnation, PlaceName
from azureswitch.exceptions import AzureswitchError
from azureswitch.ports import PlainAnswer
from azureswitch.serving import ClaimOutcome
from azureswitch_standins.peers import PeersNetworkFake
from azureswitch_standins.store import StoreFake, StoreFaults, StoreModel

ANSWER = PlainAnswer(status=201, headers=(("X-Receipt", "7"),), body=b"booked")
START = 1_700_000_000
"""The wall clock at the start, in seconds."""


class Host:
    """One process of a fleet."""

    def __init__(self, *, name: str, fleet: "Fleet", started: int = 1) -> None:
        self.address = name
        self.incarnation = Incarnation(host=HostName(name), started=started)
        self.store = StoreFake(model=fleet.model)
        self._fleet = fleet
        self._calls = 0
        self.claims = Claims(
            myself=self.incarnation,
            store=self.store,
            peers=fleet.network.peers(address=name),
            members=lambda: fleet.views.get(name, fleet.members),
            retention=fleet.retention,
            wall=lambda: START + asyncio.get_running_loop().time(),
        )
        self.task = asyncio.create_task(self.claims.run())

    def stop(self) -> None:
        """Kill the process: none of its work continues."""
        self.task.cancel()
        self._fleet.network.stop(address=self.address)
        self.store.faults = StoreFaults(down=True)

    async def claim(self, key: str, *, customer: str = "ruamjai", mark: str = "a", wait=10.0):
        """Claim a key; return the call's id with the result or the failure's type."""
        self._calls += 1
        call = CallId(f"{self.address}/{self._calls}")
        deadline = asyncio.get_running_loop().time() + wait
        try:
            result = await self.claims.claim(
                customer=CustomerName(customer),
                key=key,
                fingerprint=mark,
                call=call,
                deadline=deadline,
            )
        except AzureswitchError as error:
            return call, type(error)
        return call, result

    async def serve(self, key, *, outcome=ClaimOutcome.DONE, body: int | None = None, **options):
        """Claim a key, send the call if the claim is granted, and report the outcome."""
        call, result = await self.claim(key, **options)
        if isinstance(result, Granted):
            self._fleet.sent[key] += outcome is not ClaimOutcome.NOT_RUN
            answer = ANSWER if body is None else replace(ANSWER, body=bytes(body))
            answer = answer if outcome is ClaimOutcome.DONE else None
            await self.claims.settle(call=call, outcome=outcome, answer=answer)
        return result


class Fleet:
    """Hosts that are members of one fleet; `sent` counts calls that reached the target, by key.

    Args:
        size: Number of hosts.
        retention: Seconds for which keys are remembered.
    """

    def __init__(self, *, size: int = 3, retention: float = 86_400.0) -> None:
        self.model = StoreModel()
        self.network = PeersNetworkFake()
        self.retention = retention
        self.sent: Counter[str] = Counter()
        self.hosts = [Host(name=f"10.0.0.{index}:70", fleet=self) for index in range(1, size + 1)]
        self.members = tuple(self.member(host) for host in self.hosts)
        self.views: dict[str, tuple[Member, ...]] = {}

    def member(self, host: Host) -> Member:
        """Return the member of a host."""
        return Member(
            incarnation=host.incarnation,
            place=PlaceName("a"),
            address=host.address,
            status=MemberStatus.ALIVE,
        )

    def declare_dead(self, host: Host) -> None:
        """Set the status of a host's member to dead."""
        self.members = tuple(
            (
                replace(member, status=MemberStatus.DEAD)
                if member.incarnation == host.incarnation
                else member
            )
            for member in self.members
        )

    def isolate_hosts(self) -> None:
        """Partition all hosts from each other, each with itself as the only member."""
        self.views = {host.address: (self.member(host),) for host in self.hosts}
        self.network.partition(*([host.address] for host in self.hosts))

    def owner(self, key: str, *, customer: str = "ruamjai") -> Host:
        """Return the owner of a key's shard."""
        shard = shard_of(key_digest(customer=CustomerName(customer), key=key))
        first = owners(shard=shard, members=self.members)[0]
        return next(host for host in self.hosts if host.incarnation == first.incarnation)

    def set_faults(self, faults: StoreFaults) -> None:
        """Set the same faults of the store for all hosts."""
        for host in self.hosts:
            host.store.faults = faults
