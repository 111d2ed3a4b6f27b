"""What hosts tell operators of the fleet on their page ``/status``.

A host encodes these forms and ``azureswitch status`` decodes them, perhaps in another version:
fields are added with a default, and none is taken away.
"""

from time import time
from typing import Annotated, TypeAlias

from msgspec import Meta, Struct

from azureswitch.coordination.membership import Member
from azureswitch.core import CustomerName
from azureswitch.serving import EvacuatedPlace, QuarantinedCause

STATUS_PATH = "/status"

RELEASE_PATH = "/quarantine/release"
"""Where a host takes a `ReleaseOrder`."""

MILLISECONDS = 1_000.0
"""Milliseconds in a second."""

Count: TypeAlias = Annotated[int, Meta(ge=0)]


class MemberReport(Struct, frozen=True, kw_only=True):
    """One host as another one, or itself, knows it.

    Attributes:
        host: Its name.
        place: Its failure domain.
        address: Where other hosts reach it.
        status: ``alive``, ``suspect``, ``leaving`` or ``dead``.
        revision: The revision in force on it; zero for none.
        started: When its process started, in milliseconds of the wall clock.
    """

    host: str
    place: str
    address: str
    status: str
    revision: int
    started: int


class TargetStatus(Struct, frozen=True, kw_only=True):
    """A target as a host knows it.

    Attributes:
        name: Its name.
        place: Its failure domain.
        state: ``serving`` or ``draining``.
        started: When its process started, in milliseconds of its wall clock; zero where it does not
            say.
        limit: Requests a second that it takes from all hosts together, or None where it names no
            limit.
        cold: Seconds for which it stays cold, or None where it is not cold.
        path_lost: Seconds since the host lost its direct path to it, or None where it has one.
    """

    name: str
    place: str
    state: str
    started: Count
    limit: float | None = None
    cold: float | None = None
    path_lost: float | None = None


class ForeignEntry(Struct, frozen=True, kw_only=True):
    """An entry of the store that does not hold what its collection says, and is not used.

    Attributes:
        name: Its name, cut off where it is long.
        version: Its version.
        fault: What is wrong, by the label of the metric.
        detail: What is wrong, in words, cut off where they are many.
    """

    name: str
    version: Count
    fault: str
    detail: str


class ForeignCollection(Struct, frozen=True, kw_only=True):
    """The foreign entries of one collection of the store.

    Attributes:
        collection: Its name.
        total: How many there are, those without a name included.
        unnamed: How many have no name or version that can be read.
        entries: Those that have a name, in its order, up to a bound.
    """

    collection: str
    total: Count
    unnamed: Count
    entries: tuple[ForeignEntry, ...]


class EvacuationStatus(Struct, frozen=True, kw_only=True):
    """An evacuated failure domain as a host knows it.

    Attributes:
        place: Its name.
        since: When it was evacuated, or the host first saw it, in milliseconds of the wall clock.
        author: Who requested it; empty where that is unknown.
        reason: Why; empty where no reason was given.
        until: When it is expected to end, in milliseconds of the wall clock; zero if unknown.
        running: Attempts of the host that still run there.
        empty: Since when none of them has, in milliseconds of the wall clock; zero while some do.
    """

    place: str
    since: int
    author: str = ""
    reason: str = ""
    until: int = 0
    running: Count = 0
    empty: int = 0


class QuarantineStatus(Struct, frozen=True, kw_only=True):
    """A request, or a part of prompts, under which targets crashed, as a host knows it.

    Attributes:
        customer: The customer.
        fingerprint: The fingerprint, by which it is released.
        kind: ``request`` or ``part``.
        stage: ``suspected`` or ``held``.
        crashes: Number of crashes that speak against it.
        answers: Number of answers that the host saw, which speak for it.
        seconds: Seconds for which the host refuses it, zero where it does not.
    """

    customer: str
    fingerprint: str
    kind: str
    stage: str
    crashes: Count
    answers: Count = 0
    seconds: float = 0.0


class ReleaseOrder(Struct, frozen=True, kw_only=True):
    """An operator's order to end a quarantine.

    Attributes:
        customer: The customer.
        fingerprint: The fingerprint of the request or part.
        author: Who gives it.
        reason: Why; empty if no reason is given.
    """

    customer: CustomerName
    fingerprint: str
    author: str = ""
    reason: str = ""


class HostStatus(Struct, frozen=True, kw_only=True):
    """What a host knows.

    Attributes:
        host: The host.
        place: Its failure domain.
        revision: The revision in force on it; zero for none.
        leaving: Whether it takes no new work.
        open_calls: Requests that have not ended.
        members: All hosts that it knows, itself included.
        engines: The engines in force on it, where it does not tell of targets.
        unreadable: The accepted revision that it could not read; zero for none.
        targets: The targets that it knows, or None where it does not tell.
        foreign: The collections of the store that hold foreign entries, or None where it does not
            tell.
        evacuations: The evacuated failure domains, or None where it does not tell.
        quarantines: What it suspects or holds as targets crashed under it, or None where it does
            not tell.
    """

    host: str
    place: str
    revision: int
    leaving: bool
    open_calls: int
    members: tuple[MemberReport, ...]
    engines: tuple[str, ...] = ()
    unreadable: int = 0
    targets: tuple[TargetStatus, ...] | None = None
    foreign: tuple[ForeignCollection, ...] | None = None
    evacuations: tuple[EvacuationStatus, ...] | None = None
    quarantines: tuple[QuarantineStatus, ...] | None = None


def member_report(member: Member) -> MemberReport:
    """Return what is told of a host."""
    return MemberReport(
        host=member.incarnation.host,
        place=member.place,
        address=member.address,
        status=member.status.value,
        revision=member.revision,
        started=member.incarnation.started,
    )


def evacuation_status(known: EvacuatedPlace, *, now: float) -> EvacuationStatus:
    """Return what is told of an evacuated failure domain.

    Args:
        known: The failure domain.
        now: Seconds of the monotonic clock.
    """
    return EvacuationStatus(
        place=known.place,
        since=known.evacuation.since,
        author=known.evacuation.author,
        reason=known.evacuation.reason,
        until=known.evacuation.until,
        running=known.running,
        empty=0 if known.empty_at is None else _wall_clock(known.empty_at, now=now),
    )


def quarantine_status(known: QuarantinedCause) -> QuarantineStatus:
    """Return what is told of a suspected or quarantined cause."""
    return QuarantineStatus(
        customer=known.customer,
        fingerprint=known.fingerprint,
        kind="part" if known.shared else "request",
        stage=known.stage.value,
        crashes=known.crashes,
        answers=known.answers,
        seconds=round(known.seconds, 3),
    )


def _wall_clock(at: float, *, now: float) -> int:
    """Return a time of the monotonic clock in milliseconds of the wall clock."""
    return int((time() - (now - at)) * MILLISECONDS)
