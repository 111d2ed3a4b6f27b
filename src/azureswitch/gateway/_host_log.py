"""The log entries on a host, its process and the other hosts."""

from typing import ClassVar

from azureswitch.logs import Entry, Level


class PeersKnown(Entry, frozen=True, kw_only=True):
    """The set of hosts that accept work changed.

    Only the changes are logged: the names of 195 hosts take 4 KB, and each host would log them
    whenever another one joins or leaves.

    Attributes:
        added: Those that were added.
        gone: Those that were removed.
        hosts: Total number of hosts.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Hosts changed."
    added: str
    gone: str
    hosts: int


class Started(Entry, frozen=True, kw_only=True):
    """The process is listening.

    Attributes:
        callers: The address for callers.
        readiness: The address of the readiness endpoint.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Started."
    callers: str
    readiness: str


class _OpenRequestsEntry(Entry, frozen=True, kw_only=True):
    """Base of the entries that include the number of open requests.

    Attributes:
        open_requests: Requests that have not been answered.
    """

    part: ClassVar[str] = "gateway"
    open_requests: int


class Leaving(_OpenRequestsEntry, frozen=True):
    """The process began a stop and will soon accept no new connections."""

    sentence: ClassVar[str] = "Leaving."


class ListenerClosed(_OpenRequestsEntry, frozen=True):
    """The leaving process accepts no new connections any more."""

    sentence: ClassVar[str] = "Listening no more."


class HostSuspended(_OpenRequestsEntry, frozen=True, kw_only=True):
    """The host was suspended; timers that expired meanwhile fire now.

    Attributes:
        seconds: Duration of the suspension, in seconds.
    """

    sentence: ClassVar[str] = "Host was suspended."
    level: ClassVar[Level] = Level.WARNING
    seconds: float


class LoopHeld(_OpenRequestsEntry, frozen=True, kw_only=True):
    """One turn of the event loop took so long that callers and readiness checks waited.

    Attributes:
        seconds: Duration of the turn, in seconds.
    """

    sentence: ClassVar[str] = "The event loop was held."
    level: ClassVar[Level] = Level.WARNING
    seconds: float


class MemoryShort(_OpenRequestsEntry, frozen=True, kw_only=True):
    """The process has used a share of its memory limit, beyond which the platform kills it.

    Attributes:
        bytes: The most memory that it has used.
        limit: The limit, in bytes.
        share: The share of the limit that was reached.
    """

    sentence: ClassVar[str] = "Memory is short."
    level: ClassVar[Level] = Level.WARNING
    bytes: int
    limit: int
    share: float


class HostsLost(Entry, frozen=True, kw_only=True):
    """Hosts have started again, and this one heard of no stop of the process before.

    Attributes:
        hosts: Their names.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Hosts ended without a stop."
    level: ClassVar[Level] = Level.WARNING
    hosts: str


class GraceOver(_OpenRequestsEntry, frozen=True):
    """The grace period is over; all open requests are ended now."""

    sentence: ClassVar[str] = "The time of grace is over."


class Stopped(Entry, frozen=True, kw_only=True):
    """The process exits.

    Attributes:
        seconds: Seconds since the stop was ordered.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Stopped."
    seconds: float
