"""What members send each other."""

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
"""Bytes of an update in a column of updates beside its names and its address, at most."""


class Update(Struct, frozen=True, kw_only=True):
    """What somebody says of one member.

    Attributes:
        host: The member's host.
        started: Its start, as in `azureswitch.core.Incarnation`.
        version: Grows whenever the member speaks against what is said of it.
        place: The failure domain that it runs in.
        address: ``IP:PORT`` on which it is reached.
        status: What is said of it.
        revision: The configuration in force on it, as last heard.
        accuser: Who suspects it; empty otherwise.
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
        """What orders two updates on one host; the greater one holds."""
        return (self.started, self.version, _RANKS[self.status])

    @property
    def size(self) -> int:
        """Bytes that the update takes among others in a datagram, at most."""
        names = len(self.host) + len(self.place) + len(self.address) + len(self.accuser)
        return _NUMBER_BYTES + names


class Updates(Struct, frozen=True, kw_only=True):
    """Updates by column, so that a datagram names each field once and not once for each update.

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
    """Put updates into columns; none take no bytes."""
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
    """Take updates out of their columns."""
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
        revision: The newest revision that the sender has heard of.
        hosts: Some of the hosts on which it is in force.
    """

    revision: int = 0
    hosts: tuple[HostName, ...] = ()


NO_REPORT = RevisionReport()


class Ping(Struct, frozen=True, kw_only=True):
    """Asks a member whether it is alive.

    Attributes:
        sequence: Returned in the answer.
        source: The sender, as it says of itself.
        updates: News of other members.
        report: News of revisions.
    """

    sequence: int
    source: Update
    updates: Updates | None = None
    report: RevisionReport = NO_REPORT


class Ack(Struct, frozen=True, kw_only=True):
    """Answers a `Ping`.

    Attributes:
        sequence: The number of the ping.
        source: The member that was probed, as it says of itself.
        updates: News of other members.
        report: News of revisions.
    """

    sequence: int
    source: Update
    updates: Updates | None = None
    report: RevisionReport = NO_REPORT


class PingRequest(Struct, frozen=True, kw_only=True):
    """Asks a member to probe another.

    Attributes:
        sequence: Returned in the answer.
        source: The sender.
        target: The member to probe.
    """

    sequence: int
    source: Update
    target: Update


class Nack(Struct, frozen=True, kw_only=True):
    """Says that a member probed on request has not answered, and that the request arrived."""

    sequence: int


class Gossip(Struct, frozen=True, kw_only=True):
    """News that cannot wait for the next probe."""

    updates: Updates | None


class SyncRequest(Struct, frozen=True, kw_only=True):
    """Asks a member for what differs.

    Attributes:
        source: The sender.
        digests: The digest of each bucket of members.
    """

    source: Update
    digests: tuple[int, ...]


class SyncReply(Struct, frozen=True, kw_only=True):
    """Answers a `SyncRequest`.

    Attributes:
        source: The answering member.
        updates: Members of the buckets that differ.
        complete: Whether there are no more of them.
        report: News of revisions.
    """

    source: Update
    updates: Updates | None
    complete: bool
    report: RevisionReport = NO_REPORT


Message = Ping | Ack | PingRequest | Nack | Gossip
