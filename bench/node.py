"""One host with membership and configuration alone, as a process of its own.

``bench.configuration`` starts up to a few hundred of them on one machine.
"""

import argparse
from asyncio import gather, get_running_loop, run
from random import Random
from resource import RUSAGE_SELF, getrusage
from time import monotonic, process_time, time

from msgspec import Struct

from azureswitch.coordination.configuration import Configuration
from azureswitch.coordination.membership import Membership
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.peers import PeerNetwork
from azureswitch.platform import HttpHostList, HttpStore


class NodeStarted(Struct, frozen=True, kw_only=True):
    """Tells the benchmark where a node listens."""

    name: HostName
    place: PlaceName
    address: str


class NodeNoted(Struct, frozen=True, kw_only=True):
    """Answers `NodeStarted`."""


class NodeAdopted(Struct, frozen=True, kw_only=True):
    """Tells the benchmark that a revision is in force on a node.

    Attributes:
        name: The node.
        revision: The revision.
        at: When, on the machine's monotonic clock.
    """

    name: HostName
    revision: int
    at: float


class NodeAsk(Struct, frozen=True, kw_only=True):
    """Asks a node for its `NodeFigures`."""


class NodeFigures(Struct, frozen=True, kw_only=True):
    """What a node has used since it started.

    Attributes:
        at: When, on the machine's monotonic clock.
        processor: Seconds of processor time.
        memory: The most memory that it held, in bytes.
        sent: Bytes sent to peers.
        received: Bytes received from peers.
        members: Hosts that it knows.
        in_force: Hosts on which it knows its own revision to be in force.
        revision: The revision in force.
        watching: Whether it watches the store.
        connections: Connections that it keeps to peers.
    """

    at: float
    processor: float
    memory: int
    sent: int
    received: int
    members: int
    in_force: int
    revision: int
    watching: bool
    connections: int


class Node:
    """The parts of one host."""

    def __init__(self, *, options: argparse.Namespace) -> None:
        self._options = options
        self._peers = PeerNetwork(address="127.0.0.1:0")
        self._hosts = HttpHostList(address=options.hosts)
        self._store = HttpStore(address=options.store)
        self._peers.handle(NodeAsk, self._answer)

    async def run(self) -> None:
        """Take part until the process is ended."""
        await self._peers.start()
        name = HostName(self._options.name)
        place = PlaceName(self._options.place)
        myself = Incarnation(host=name, started=int(time() * 1000))
        seed = Random(name).getrandbits(32)
        address = self._peers.address
        self._membership = Membership(
            myself=myself,
            place=place,
            address=address,
            peers=self._peers,
            hosts=self._hosts,
            seed=seed,
        )
        self._configuration = Configuration(
            store=self._store,
            peers=self._peers,
            members=lambda: self._membership.members,
            myself=myself,
            place=place,
            address=address,
            hosts=self._hosts,
            seed=seed,
        )
        self._configuration.on_adopt(self._adopt)
        started = NodeStarted(name=name, place=place, address=address)
        await self._peers.call(
            address=self._options.report, request=started, reply=NodeNoted, timeout=30.0
        )
        await gather(self._membership.run(), self._configuration.run())

    def _adopt(self, revision: int, body: bytes) -> None:
        self._membership.set_revision(revision)
        adopted = NodeAdopted(name=HostName(self._options.name), revision=revision, at=monotonic())
        self._peers.cast(address=self._options.report, message=adopted)

    async def _answer(self, ask: NodeAsk) -> NodeFigures:
        members = self._membership.members
        revision = self._configuration.revision
        traffic = self._peers.traffic
        return NodeFigures(
            at=get_running_loop().time(),
            processor=process_time(),
            memory=getrusage(RUSAGE_SELF).ru_maxrss * 1024,
            sent=sum(item.sent_bytes for item in traffic),
            received=sum(item.received_bytes for item in traffic),
            members=len(members),
            in_force=sum(item.revision == revision for item in members),
            revision=revision,
            watching=self._configuration.watching,
            connections=self._peers.connections,
        )


def main() -> None:
    """Run one node until the process is ended."""
    parser = argparse.ArgumentParser(description="One host of a benchmark.")
    for option in ("name", "place", "store", "hosts", "report"):
        parser.add_argument(f"--{option}", required=True)
    run(Node(options=parser.parse_args()).run())


if __name__ == "__main__":
    main()
