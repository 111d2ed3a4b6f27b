"""Messages between members."""

from collections.abc import Iterator, Sequence

from msgspec import Struct

from azureswitch.coordination.membership._model import MemberStatus
from azureswitch.core import HostName, PlaceName

_RANKS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}

_NUMBER_BYTES = 28
"""Upper bound of the bytes of an update in `Updates`, without its names and its address."""


class Update(Struct, frozen=True, kw_only=True):
    """A statement on the status of one member.

    Attributes:
        host: The member's host.
        started: Its start, as in `azureswitch.core.Incarnation`.
        version: A number that the member increments to refute updates on itself.
        place: The failure domain that it runs in.
        address: ``IP:PORT`` on which it is reached.
        status: Its status.
        revision: The last known revision of the configuration in force on it.
        accuser: The host that suspects it; empty if none does.
    """

    host: HostName
    started: int
    version: int
    place: PlaceName
    address: str
    status: MemberStatus = MemberStatus.ALIVE
    revision: int = 0
    accuser: str = ""

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The order of two updates on one host; the greater one takes precedence."""
        return (self.started, self.version, _RANKS[self.status])

    @property
    def size(self) -> int:
        """Upper bound of the bytes that the update adds to a datagram."""
        names = len(self.host) + len(self.place) + len(self.address) + len(self.accuser)
        return _NUMBER_BYTES + names


class Updates(Struct, frozen=True, kw_only=True):
    """Updates by column, so that a datagram contains the name of each field once.

    Attributes:
        hosts: As `Update.host`, and so on for the others.
        started: As `Update.started`.
        versions: As `Update.version`.
        places: As `Update.place`.
        addresses: As `Update.address`.
        statuses: As `Update.status`.
        revisions: As `Update.revision`.
        accusers: As `Update.accuser`.
    """

    hosts: tuple[HostName, ...]
    started: tuple[int, ...]
    versions: tuple[int, ...]
    places: tuple[PlaceName, ...]
    addresses: tuple[str, ...]
    statuses: tuple[MemberStatus, ...]
    revisions: tuple[int, ...]
    accusers: tuple[str, ...]


def pack(updates: Sequence[Update]) -> Updates | None:
    """Return updates by column, or None if there are none, which takes no bytes."""
    if not updates:
        return None
    return Updates(
        hosts=tuple(item.host for item in updates),
        started=tuple(item.started for item in updates),
        versions=tuple(item.version for item in updates),
        places=tuple(item.place for item in updates),
        addresses=tuple(item.address for item in updates),
        statuses=tuple(item.status for item in updates),
        revisions=tuple(item.revision for item in updates),
        accusers=tuple(item.accuser for item in updates),
    )


def unpack(updates: Updates | None) -> Iterator[Update]:
    """Yield the updates that were packed."""
    if updates is None:
        return
    rows = zip(
        updates.hosts,
        updates.started,
        updates.versions,
        updates.places,
        updates.addresses,
        updates.statuses,
        updates.revisions,
        updates.accusers,
        strict=False,
    )
    for host, started, version, place, address, status, revision, accuser in rows:
        yield Update(
            host=host,
            started=started,
            version=version,
            place=place,
            address=address,
            status=status,
            revision=revision,
            accuser=accuser,
        )


class RevisionReport(Struct, frozen=True, kw_only=True):
    """Hosts on which at least a revision is in force.

    Attributes:
        revision: The newest revision known to the sender.
        hosts: Some of the hosts on which it is in force.
    """

    revision: int = 0
    hosts: tuple[HostName, ...] = ()


NO_REPORT = RevisionReport()


class Ping(Struct, frozen=True, kw_only=True):
    """Probes a member.

    Attributes:
        sequence: A number that the answer repeats.
        source: The sender's update on itself.
        updates: Gossiped updates on members.
        report: Gossiped hosts with the newest revision.
    """

    sequence: int
    source: Update
    updates: Updates | None = None
    report: RevisionReport = NO_REPORT


class Ack(Struct, frozen=True, kw_only=True):
    """Answers a `Ping`.

    Attributes:
        sequence: The sequence number of the ping.
        source: The probed member's update on itself.
        updates: Gossiped updates on members.
        report: Gossiped hosts with the newest revision.
    """

    sequence: int
    source: Update
    updates: Updates | None = None
    report: RevisionReport = NO_REPORT


class PingRequest(Struct, frozen=True, kw_only=True):
    """Asks a member to probe another: an indirect probe.

    Attributes:
        sequence: A number that the answer repeats.
        source: The sender's update on itself.
        target: The member to probe.
    """

    sequence: int
    source: Update
    target: Update


class Nack(Struct, frozen=True, kw_only=True):
    """Answers a `PingRequest` whose target has not answered; it shows that the helper is alive."""

    sequence: int


class Gossip(Struct, frozen=True, kw_only=True):
    """Urgent updates, which are sent without waiting for the next probe."""

    updates: Updates | None


class SyncRequest(Struct, frozen=True, kw_only=True):
    """Requests the updates of the buckets whose digests differ.

    Attributes:
        source: The sender's update on itself.
        digests: The digest of each bucket of members.
    """

    source: Update
    digests: tuple[int, ...]


class SyncReply(Struct, frozen=True, kw_only=True):
    """Answers a `SyncRequest`.

    Attributes:
        source: The answering member's update on itself.
        updates: Updates on the members of the buckets that differ.
        complete: Whether these are all of them.
        report: Gossiped hosts with the newest revision.
    """

    source: Update
    updates: Updates | None
    complete: bool
    report: RevisionReport = NO_REPORT


Message = Ping | Ack | PingRequest | Nack | Gossip
