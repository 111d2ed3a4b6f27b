"""Messages, events and effects of the sweep of engine memory."""

from msgspec import Struct

from azureswitch.coordination.membership import Member
from azureswitch.core import CallId, Effect, Event, Incarnation, TargetName
from azureswitch.ports import Holding

SWEEP_PERIOD_SECONDS = 1.5
"""Mean seconds between two reads of an engine's holdings by one host."""

SWEEPERS_PER_ENGINE = 2
"""Number of hosts that sweep each engine, so that a host that hangs delays nothing."""

DEAD_GRACE_SECONDS = 1.0
"""Seconds after a member is known to be dead before its memory is released."""

SUCCEEDED_GRACE_SECONDS = 2.0
"""Seconds before the memory of a process is released if a newer one runs on its host.

In that time, another host may take over its long work.
"""

UNKNOWN_GRACE_SECONDS = 4.0
"""Seconds before the memory of an owner that is not in the member list is released."""

QUERY_INTERVAL_SECONDS = 3.0
"""Minimum age in seconds of a queried holding, and minimum time between queries of a live owner."""

WITNESSES = 2
"""Number of other hosts that are asked to reach an owner that does not answer this host."""


class HeldAttempt(Struct, frozen=True, kw_only=True, order=True):
    """The attempt that a holding belongs to."""

    call: CallId
    attempt: int


class OwnerQuery(Struct, frozen=True, kw_only=True):
    """Requests from a process which of its attempts have ended.

    Attributes:
        owner: The process.
        attempts: The attempts.
        relayed: Whether the query was relayed already and must not be relayed again.
    """

    owner: Incarnation
    attempts: tuple[HeldAttempt, ...]
    relayed: bool = False


class OwnerReply(Struct, frozen=True, kw_only=True):
    """The answer to an OwnerQuery.

    Attributes:
        present: The process that runs on the owner's host, or None if it was not reached.
        ended: The attempts that do not run in it.
    """

    present: Incarnation | None
    ended: tuple[HeldAttempt, ...]


class KeptQuery(Struct, frozen=True, kw_only=True):
    """Requests from a process which attempts of a dead one it has taken over."""

    attempts: tuple[HeldAttempt, ...]


class KeptReply(Struct, frozen=True, kw_only=True):
    """The answer to a KeptQuery."""

    kept: tuple[HeldAttempt, ...]


class SweepCounts(Struct, frozen=True, kw_only=True):
    """Counters of a sweeper since its start.

    Attributes:
        reads: Reads of an engine's holdings.
        questions: Queries of owners, directly or through witnesses.
        released: Released holdings.
        kept: Answers of owners that were presumed dead.
    """

    reads: int = 0
    questions: int = 0
    released: int = 0
    kept: int = 0


class SweepEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the sweep."""


class SweepTicked(SweepEvent, frozen=True, kw_only=True):
    """A sweep period has passed.

    Attributes:
        members: The known members, this host included.
        targets: All engines.
    """

    members: tuple[Member, ...]
    targets: tuple[TargetName, ...]


class HoldingsRead(SweepEvent, frozen=True, kw_only=True):
    """An engine returned its holdings."""

    target: TargetName
    holdings: tuple[Holding, ...]


class HoldingsReadFailed(SweepEvent, frozen=True, kw_only=True):
    """An engine's holdings could not be read."""

    target: TargetName


class OwnerAnswered(SweepEvent, frozen=True, kw_only=True):
    """An owner answered.

    Attributes:
        owner: The owner.
        ended: Its attempts that have ended.
    """

    owner: Incarnation
    ended: tuple[HeldAttempt, ...]


class OwnerUnreachable(SweepEvent, frozen=True, kw_only=True):
    """An owner did not answer.

    Attributes:
        owner: The owner.
        proven: Whether a later process on its host answered instead.
        witnesses: Number of witnesses that could not reach it either.
        asked: The queried attempts.
        kept: Those of them that the owner's successor has taken over.
    """

    owner: Incarnation
    proven: bool
    witnesses: int
    asked: tuple[HeldAttempt, ...]
    kept: tuple[HeldAttempt, ...]


class ReadHoldings(Effect, frozen=True, kw_only=True):
    """Read the holdings of an engine; `HoldingsRead` or `HoldingsReadFailed` follows."""

    target: TargetName


class QueryOwner(Effect, frozen=True, kw_only=True):
    """Query an owner about its attempts; `OwnerAnswered`, `OwnerUnreachable` or nothing follows.

    Attributes:
        query: The query.
        address: The owner's address; empty if it is unknown.
        witnesses: Addresses of hosts that relay the query if the owner does not answer.
        successor: The address of the host that takes over the owner's long work.
    """

    query: OwnerQuery
    address: str
    witnesses: tuple[str, ...]
    successor: str


class ReleaseHolding(Effect, frozen=True, kw_only=True):
    """Release a holding; idempotent, and repeated after the next read if the call fails."""

    target: TargetName
    holding: Holding
