"""Messages, events and effects of the sweep of engine memory."""

from msgspec import Struct

from azureswitch.coordination.membership import Member
from azureswitch.core import CallId, Effect, Event, Incarnation, TargetName
from azureswitch.ports import Holding

SWEEP_PERIOD = 1.5
"""Seconds between two reads of an engine's holdings by one host."""

SWEEPERS = 2
"""How many hosts sweep each engine, so that one that hangs delays nothing."""

DEAD_GRACE = 1.0
"""Seconds for which a member has been dead here before its memory is released."""

SUCCEEDED_GRACE = 2.0
"""Seconds after which the memory of a process is released that another one succeeded.

Long work of it may be taken over by another host in that time."""

UNKNOWN_GRACE = 4.0
"""Seconds for which an owner that no member list shows is left alone."""

ASK_AGE = 3.0
"""Seconds after which, and in between which, a living owner is asked which attempts run."""

WITNESSES = 2
"""How many other hosts try to reach an owner that does not answer here."""


class HeldAttempt(Struct, frozen=True, kw_only=True, order=True):
    """The attempt that a holding belongs to."""

    call: CallId
    attempt: int


class OwnerQuery(Struct, frozen=True, kw_only=True):
    """Asks a process which of its attempts have ended.

    Attributes:
        owner: The process.
        attempts: The attempts.
        relayed: Whether the receiver may not pass the question on.
    """

    owner: Incarnation
    attempts: tuple[HeldAttempt, ...]
    relayed: bool = False


class OwnerReply(Struct, frozen=True, kw_only=True):
    """The answer to an OwnerQuery.

    Attributes:
        present: The process that runs on the owner's host, or None where it was not reached.
        ended: Those of the attempts that do not run in it.
    """

    present: Incarnation | None
    ended: tuple[HeldAttempt, ...]


class KeptQuery(Struct, frozen=True, kw_only=True):
    """Asks a process which attempts of a dead one it has taken over."""

    attempts: tuple[HeldAttempt, ...]


class KeptReply(Struct, frozen=True, kw_only=True):
    """The answer to a KeptQuery."""

    kept: tuple[HeldAttempt, ...]


class SweepCounts(Struct, frozen=True, kw_only=True):
    """What a sweeper has done since it started.

    Attributes:
        reads: Reads of an engine's holdings.
        questions: Owners asked, directly or through witnesses.
        released: Holdings released.
        kept: Times that an owner thought to be dead turned out to be alive.
    """

    reads: int = 0
    questions: int = 0
    released: int = 0
    kept: int = 0


class SweepEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the sweep."""


class SweepTicked(SweepEvent, frozen=True, kw_only=True):
    """A period has passed.

    Attributes:
        members: What this host knows of the members, itself included.
        targets: All engines.
    """

    members: tuple[Member, ...]
    targets: tuple[TargetName, ...]


class HoldingsRead(SweepEvent, frozen=True, kw_only=True):
    """An engine returned its holdings."""

    target: TargetName
    holdings: tuple[Holding, ...]


class HoldingsUnread(SweepEvent, frozen=True, kw_only=True):
    """An engine did not return its holdings."""

    target: TargetName


class OwnerAnswered(SweepEvent, frozen=True, kw_only=True):
    """An owner answered.

    Attributes:
        owner: The owner.
        ended: Its attempts that do not run.
    """

    owner: Incarnation
    ended: tuple[HeldAttempt, ...]


class OwnerGone(SweepEvent, frozen=True, kw_only=True):
    """An owner did not answer.

    Attributes:
        owner: The owner.
        proven: Whether a later process of its host answered instead.
        witnesses: How many witnesses said that they did not reach it either.
        asked: The attempts asked about.
        kept: Those of them that the owner's heir has taken over.
    """

    owner: Incarnation
    proven: bool
    witnesses: int
    asked: tuple[HeldAttempt, ...]
    kept: tuple[HeldAttempt, ...]


class ReadHoldings(Effect, frozen=True, kw_only=True):
    """Read the holdings of an engine; answer by HoldingsRead or HoldingsUnread."""

    target: TargetName


class AskOwner(Effect, frozen=True, kw_only=True):
    """Ask an owner about its attempts; answer by OwnerAnswered, OwnerGone or not at all.

    Attributes:
        query: The question.
        address: The owner's address; empty where this host does not know it.
        witnesses: Addresses of hosts that try as well where the owner does not answer.
        heir: The address of the host that takes over the owner's long work.
    """

    query: OwnerQuery
    address: str
    witnesses: tuple[str, ...]
    heir: str


class ReleaseHolding(Effect, frozen=True, kw_only=True):
    """Release a holding; harmless when it is gone, and read again where the call fails."""

    target: TargetName
    holding: Holding
