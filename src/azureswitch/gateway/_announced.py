"""The log entries for what the reducer announces: quarantines, limits and evacuations."""

from functools import singledispatch
from typing import ClassVar

from azureswitch.core import Effect
from azureswitch.gateway._log import LOGGED_DIGITS
from azureswitch.logs import Entry, Level
from azureswitch.serving import (
    AnnounceEvacuation,
    AnnounceLimit,
    AnnounceQuarantine,
    CrashReport,
    EvacuationPhase,
    QuarantineStage,
)


class RequestQuarantined(Entry, frozen=True, kw_only=True):
    """Targets crashed while running a request, which is sent to no target while in quarantine.

    Attributes:
        customer: The customer that it belongs to.
        fingerprint: As at `RequestAdmitted`.
        targets: Some of the targets that crashed.
        seen_here: Whether an attempt of this host was among them.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Request quarantined."
    level: ClassVar[Level] = Level.WARNING
    customer: str
    fingerprint: str
    targets: str
    seen_here: bool


class QuarantineEnded(RequestQuarantined, frozen=True):
    """A target answered a quarantined request, which is now sent like any other."""

    sentence: ClassVar[str] = "Quarantine ended."
    level: ClassVar[Level] = Level.INFO


class _PartEntry(Entry, frozen=True, kw_only=True):
    """Base of the entries about a part of prompts under which targets crashed.

    Attributes:
        customer: The customer whose prompts share it.
        fingerprint: The part, by one of the fingerprints in ``parts`` at `RequestAdmitted`.
        targets: Some of the targets that crashed.
        crashes: Number of crashes that speak against it.
        answers: Number of answers that this host saw since, which speak for it.
        seen_here: Whether this host observed one of the crashes or answers.
    """

    part: ClassVar[str] = "gateway"
    level: ClassVar[Level] = Level.WARNING
    customer: str
    fingerprint: str
    targets: str
    crashes: int
    answers: int
    seen_here: bool


class PartSuspected(_PartEntry, frozen=True):
    """Targets crashed under requests with a part; they are sent one at a time to find the cause."""

    sentence: ClassVar[str] = "Part of prompts suspected."


class PartQuarantined(_PartEntry, frozen=True):
    """Requests with a part are refused, as it crashes targets, and tried again at times."""

    sentence: ClassVar[str] = "Part of prompts quarantined."


class PartReleased(_PartEntry, frozen=True):
    """A target answered a request with a suspected part; requests with it are sent again."""

    sentence: ClassVar[str] = "Part of prompts released."
    level: ClassVar[Level] = Level.INFO


_PART_ENTRIES: dict[QuarantineStage, type[_PartEntry]] = {
    QuarantineStage.SUSPECTED: PartSuspected,
    QuarantineStage.HELD: PartQuarantined,
    QuarantineStage.FREE: PartReleased,
}


class TargetLimited(Entry, frozen=True, kw_only=True):
    """A target advertised a rate limit that applies to all hosts together.

    Attributes:
        target: The target.
        rate: The limit that is applied, in requests per second.
        before: The previous limit; zero if there was none.
        said: The header value received by this host; empty if a peer reported the limit.
        age: Seconds since a host received it.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Target limits its requests."
    target: str
    rate: float
    before: float
    said: str
    age: float


class LimitUnreadable(TargetLimited, frozen=True):
    """A target advertised a limit that is not a decimal number."""

    sentence: ClassVar[str] = "Target limits its requests in a way that cannot be read."
    level: ClassVar[Level] = Level.WARNING


class LimitEnded(Entry, frozen=True, kw_only=True):
    """A target no longer advertises a rate limit.

    Attributes:
        target: The target.
        before: The previous limit, in requests per second.
        age: Seconds since a host observed that it ended.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Target limits its requests no more."
    target: str
    before: float
    age: float


class _EvacuationEntry(Entry, frozen=True, kw_only=True):
    """Base of the entries about an evacuation; they are warnings so that none is sampled out.

    Attributes:
        place: The failure domain.
        since: When it was evacuated, or this host first saw it, in milliseconds of the wall clock.
        author: Who requested it; empty if unknown.
        reason: Why; empty if no reason was given.
    """

    part: ClassVar[str] = "gateway"
    level: ClassVar[Level] = Level.WARNING
    place: str
    since: int
    author: str
    reason: str


class PlaceEvacuated(_EvacuationEntry, frozen=True, kw_only=True):
    """A failure domain is evacuated; its targets get nothing new from this host.

    Attributes:
        running: Attempts of this host that run there and continue.
    """

    sentence: ClassVar[str] = "Failure domain evacuated."
    running: int


class PlaceEmpty(_EvacuationEntry, frozen=True):
    """The last attempt of this host in an evacuated failure domain has ended."""

    sentence: ClassVar[str] = "Failure domain empty."


class PlaceRestored(_EvacuationEntry, frozen=True):
    """The evacuation of a failure domain has ended; its targets get new work."""

    sentence: ClassVar[str] = "Failure domain restored."


class EvacuationsUnknown(Entry, frozen=True, kw_only=True):
    """No evacuations were read in time, from the store or a peer; requests are served without them.

    Attributes:
        seconds: How long requests were refused meanwhile.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Evacuations unknown."
    level: ClassVar[Level] = Level.WARNING
    seconds: float


@singledispatch
def announcement(effect: Effect) -> Entry:
    """Return the log entry for an announcement of the reducer."""
    raise TypeError(effect)


@announcement.register
def _(effect: AnnounceQuarantine) -> Entry:
    change = effect.change
    report = change.report
    if change.shared:
        return _PART_ENTRIES[change.stage](
            customer=report.customer,
            fingerprint=report.fingerprint,
            targets=_crashed(report),
            crashes=len(report.crashes),
            answers=change.answers,
            seen_here=change.keep,
        )
    kind = QuarantineEnded if change.ended else RequestQuarantined
    return kind(
        customer=report.customer,
        fingerprint=report.fingerprint[:LOGGED_DIGITS],
        targets=_crashed(report),
        seen_here=change.keep,
    )


def _crashed(report: CrashReport) -> str:
    return ",".join(start.target for start in report.crashes)


@announcement.register
def _(effect: AnnounceLimit) -> Entry:
    change = effect.change
    before = change.before or 0.0
    age = round(change.age, 3)
    if change.rate is None:
        return LimitEnded(target=change.target, before=before, age=age)
    kind = TargetLimited if effect.readable else LimitUnreadable
    return kind(
        target=change.target, rate=change.rate, before=before, said=effect.text or "", age=age
    )


@announcement.register
def _(effect: AnnounceEvacuation) -> Entry:
    change = effect.change
    evacuation = change.evacuation
    if change.phase is EvacuationPhase.BEGUN:
        return PlaceEvacuated(
            place=change.place,
            since=evacuation.since,
            author=evacuation.author,
            reason=evacuation.reason,
            running=change.running,
        )
    kind = PlaceEmpty if change.phase is EvacuationPhase.EMPTY else PlaceRestored
    return kind(
        place=change.place,
        since=evacuation.since,
        author=evacuation.author,
        reason=evacuation.reason,
    )
