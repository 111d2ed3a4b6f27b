"""What members send each other."""

from dataclasses import dataclass

from azureswitch.coordination.membership._model import MemberStatus
from azureswitch.core import HostName, PlaceName

_RANKS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}

_FIELD_NAME_BYTES = 96
"""Bytes of an encoded update beside its names and its address, about."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Update:
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
        """Bytes that the update takes in a datagram, about."""
        names = len(self.host) + len(self.place) + len(self.address) + len(self.accuser)
        return _FIELD_NAME_BYTES + names


@dataclass(frozen=True, slots=True, kw_only=True)
class RevisionReport:
    """Hosts on which at least a revision is in force.

    Attributes:
        revision: The newest revision that the sender has heard of.
        hosts: Some of the hosts on which it is in force.
    """

    revision: int = 0
    hosts: tuple[HostName, ...] = ()


NO_REPORT = RevisionReport()


@dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Asks a member whether it is alive.

    Attributes:
        sequence: Returned in the answer.
        source: The sender, as it says of itself.
        updates: News of other members.
        report: News of revisions.
    """

    sequence: int
    source: Update
    updates: tuple[Update, ...] = ()
    report: RevisionReport = NO_REPORT


@dataclass(frozen=True, slots=True, kw_only=True)
class Ack:
    """Answers a `Ping`.

    Attributes:
        sequence: The number of the ping.
        source: The member that was probed, as it says of itself.
        updates: News of other members.
        report: News of revisions.
    """

    sequence: int
    source: Update
    updates: tuple[Update, ...] = ()
    report: RevisionReport = NO_REPORT


@dataclass(frozen=True, slots=True, kw_only=True)
class PingRequest:
    """Asks a member to probe another.

    Attributes:
        sequence: Returned in the answer.
        source: The sender.
        target: The member to probe.
        updates: News of other members.
    """

    sequence: int
    source: Update
    target: Update
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Nack:
    """Says that a member probed on request has not answered, and that the request arrived."""

    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Gossip:
    """News that cannot wait for the next probe."""

    updates: tuple[Update, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncRequest:
    """Asks a member for what differs.

    Attributes:
        source: The sender.
        digests: The digest of each bucket of members.
    """

    source: Update
    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncReply:
    """Answers a `SyncRequest`.

    Attributes:
        source: The answering member.
        updates: Members of the buckets that differ.
        complete: Whether there are no more of them.
        report: News of revisions.
    """

    source: Update
    updates: tuple[Update, ...]
    complete: bool
    report: RevisionReport = NO_REPORT


Message = Ping | Ack | PingRequest | Nack | Gossip
