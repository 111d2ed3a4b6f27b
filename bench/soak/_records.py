"""What is known of a run: calls, faults and changes, all by one clock."""

from collections.abc import Iterable
from enum import Enum
from time import monotonic

from msgspec import Struct, field

from azureswitch_standins.target import Note

EVERYWHERE = "everywhere"
"""Subject of what concerns all."""

STORE = "store"

AWAY = "host away"
"""Kind of the time between a planned stop of a host and its next start."""

AFTERMATH = 3.0
"""Seconds after a fault in which bounds of time are not held against its subject.

The platform's own rules give as much.
"""


class CallKind(Enum):
    """The kinds of call."""

    ASK = "ask"
    REVIEW = "review"
    ONCE = "once"
    BOOK = "book"
    LOOK = "look"
    LONG = "long"
    SLOW = "slow"


REPEATABLE = frozenset((CallKind.ASK, CallKind.REVIEW, CallKind.LOOK, CallKind.SLOW))
STREAMS = frozenset((CallKind.ASK, CallKind.REVIEW, CallKind.ONCE, CallKind.LONG))
LENGTHY = (CallKind.LONG, CallKind.SLOW)
"""Kinds that outlast the time of grace: a stream, and a plain call."""


class CallRecord(Struct, kw_only=True):
    """One call and what became of it.

    Attributes:
        id: Its id.
        kind: Its kind.
        host: The host that it was sent to.
        key: Its key.
        digest: Of its method, path and body.
        sent: When it was sent, in seconds of the monotonic clock.
        deadline: When it must be over.
        tokens: Tokens of its prompt; zero for plain calls.
        ended: When it was over.
        status: The answer's status; zero where there was no whole answer.
        seal: The answer's seal.
        body: The answer's body, as far as it came.
        reached: Whether the host took the connection.
        left: When its caller left, or None.
        begun: Whether the head of an answer arrived.
        ending: How its connection ended without a whole answer, where that is known.
        told: Whether its connection was known to close when it was sent.
    """

    id: str
    kind: CallKind
    host: str
    key: str
    digest: str
    sent: float
    deadline: float
    tokens: int = 0
    ended: float = 0.0
    status: int = 0
    seal: str = ""
    body: bytes = b""
    reached: bool = True
    left: float | None = None
    begun: bool = False
    ending: str = ""
    told: bool = False


class Window(Struct, frozen=True, kw_only=True):
    """One fault.

    Attributes:
        kind: Its kind.
        subject: What it happened to.
        begin: When it began.
        end: When it was over.
        silent: Whether it held bytes or answers back and broke nothing.
    """

    kind: str
    subject: str
    begin: float
    end: float
    silent: bool = False


class Change(Struct, frozen=True, kw_only=True):
    """One configuration that the store has accepted.

    Attributes:
        version: Its version.
        at: When it was accepted.
        extra: Whether the extra key is valid by it.
    """

    version: int
    at: float
    extra: bool


class Sample(Struct, frozen=True, kw_only=True):
    """The version that a host had in force.

    Attributes:
        host: The host.
        start: Counts the host's processes.
        at: When the question was sent.
        version: The version; zero for none.
    """

    host: str
    start: int
    at: float
    version: int


class Evacuated(Struct, frozen=True, kw_only=True):
    """One evacuation of a failure domain.

    Attributes:
        place: The failure domain.
        begin: When the store had acknowledged it.
        end: When its removal was first asked for.
    """

    place: str
    begin: float
    end: float


class Partition(Struct, frozen=True, kw_only=True):
    """One cut between some hosts and all targets.

    Attributes:
        hosts: The hosts.
        mode: What became of their connections.
        begin: When it began.
        end: When it was over.
    """

    hosts: tuple[str, ...]
    mode: str
    begin: float
    end: float


class Silent(Struct, frozen=True, kw_only=True):
    """One silence of a target, which is no fault.

    Attributes:
        target: The target.
        begin: When it was told to fall silent.
        end: When it went on, at the latest.
    """

    target: str
    begin: float
    end: float


class Records(Struct, kw_only=True):
    """All of a run.

    Attributes:
        calls: The calls, by id.
        notes: What targets did.
        windows: Faults and planned work.
        changes: Configurations.
        samples: What hosts had in force.
        findings: Broken promises that were seen at once.
        services: The services of targets, by name.
        places: The failure domains of targets, by name.
        evacuations: Evacuations of failure domains.
        partitions: Cuts between hosts and targets.
        silences: Silences of targets.
        read: Hosts with the ids of requests that their logs name.
        broken: The targets at which answers to failed requests had begun and ended themselves,
            by host and id, where logs say so.
        admitted: The seconds that requests had as they were admitted, by host and id.
    """

    calls: dict[str, CallRecord] = field(default_factory=dict)
    notes: list[Note] = field(default_factory=list)
    windows: list[Window] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    services: dict[str, str] = field(default_factory=dict)
    places: dict[str, str] = field(default_factory=dict)
    evacuations: list[Evacuated] = field(default_factory=list)
    partitions: list[Partition] = field(default_factory=list)
    silences: list[Silent] = field(default_factory=list)
    read: set[tuple[str, str]] = field(default_factory=set)
    broken: dict[str, tuple[str, ...]] = field(default_factory=dict)
    admitted: dict[str, float] = field(default_factory=dict)

    def carriers(self, call: CallRecord) -> set[str]:
        """Return the hosts whose tunnels carried a call, as their logs name it too."""
        return {host for host, id in self.read if id == call.id and host != call.host}

    def note(self, kind: str, subject: str, begin: float, *, silent: bool = False) -> None:
        """Note a fault that has lasted until now, and whether it broke nothing."""
        self.windows.append(
            Window(kind=kind, subject=subject, begin=begin, end=monotonic(), silent=silent)
        )

    def disturbed(
        self, subjects: Iterable[str], *, begin: float, end: float, after: float = AFTERMATH
    ) -> bool:
        """Return whether any of some subjects had a fault in a span, or shortly before it."""
        names = {*subjects, EVERYWHERE}
        return any(
            window.subject in names and window.begin <= end and begin <= window.end + after
            for window in self.windows
        )

    def were_silent(self, targets: Iterable[str], *, begin: float, end: float) -> bool:
        """Return whether any of some targets was silent in a span."""
        names = frozenset(targets)
        return any(
            silent.target in names and silent.begin <= end and begin <= silent.end
            for silent in self.silences
        )
