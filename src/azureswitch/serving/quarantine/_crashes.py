"""Decides which calls are held, and exchanges the evidence with other hosts."""

from collections.abc import Callable, Iterable
from heapq import nlargest

from msgspec import Struct

from azureswitch.core import HostName
from azureswitch.serving._digests import CrashReport, TargetStart
from azureswitch.serving._events import Call
from azureswitch.serving.quarantine._attribution import (
    is_open,
    is_suspicious,
    rivals,
)
from azureswitch.serving.quarantine._causes import Cause, causes_of, part_causes, request_cause
from azureswitch.serving.quarantine._changes import (
    QuarantineChange,
    QuarantinedCause,
    QuarantineStage,
)
from azureswitch.serving.quarantine._reports import report_of
from azureswitch.serving.quarantine._schedule import (
    QUARANTINE_SECONDS,
    first_of_incidents,
    quarantine_seconds,
    turn_seconds,
)
from azureswitch.serving.quarantine._silences import Silence, Silences
from azureswitch.serving.quarantine._suspects import Suspect, Suspects

NO_HOST = HostName("")
"""Default name of this host; it is no live host's, so that retries do not wait for a turn."""

ONSET_SECONDS = 0.5
"""Seconds of output after which a request has shown that its parts do not crash the target.

A part crashes its target as the answer begins; a target writes every 50 ms.
"""

SETTLE_SECONDS = 0.3
"""Seconds after a crash for which a suspected part is not tried.

Streams that share it and run elsewhere write meanwhile, and clear it.
"""

TRIAL_SECONDS = 5.0
"""Seconds for which hosts await the outcome of a trial."""

REPORT_REPEATS = 3
"""Number of digests that report each change, as any of them may be lost."""

MAX_REPEATED_QUARANTINES = 16
"""Suspicious causes in each regular digest, for hosts that started after the crashes."""


class Hold(Struct, frozen=True, kw_only=True):
    """Why a call is not sent now.

    Attributes:
        seconds: Seconds until it may be sent.
        brief: Whether the outcome of a trial decides soon, so that the call may wait for it.
    """

    seconds: float
    brief: bool


class Crashes:
    """The requests and parts of prompts that were interrupted at targets.

    Args:
        host: This host.
        unique_names: Whether each start of a target has a name of its own.
    """

    def __init__(self, *, host: HostName = NO_HOST, unique_names: bool = False) -> None:
        self._host = host
        self._unique_names = unique_names
        self._hosts: tuple[HostName, ...] = ()
        self._suspects = Suspects()
        self._silences = Silences()
        self._changed_causes: set[Cause] = set()
        self._unreported: dict[Cause, int] = {}
        self._changed = False

    @property
    def changed(self) -> bool:
        """Whether this host has new reports since the last digest."""
        return self._changed

    @property
    def has_unreported(self) -> bool:
        """Whether the next digest reports something that some hosts may not have received yet."""
        return bool(self._unreported)

    @property
    def has_changes(self) -> bool:
        """Whether `pop_changes` may return a change."""
        return bool(self._changed_causes)

    def set_hosts(self, hosts: Iterable[HostName]) -> None:
        """Replace the live hosts, which take turns to retry a cause after its quarantine."""
        self._hosts = tuple(hosts)

    def record_crash(
        self, call: Call, start: TargetStart, *, now: float, output_seconds: float = 0.0
    ) -> None:
        """Record that a target failed while it ran a call.

        Args:
            call: The call.
            start: The start of the target.
            now: The time.
            output_seconds: Seconds since the first output of the attempt, zero without output.
        """
        begins = output_seconds <= ONSET_SECONDS
        for cause in causes_of(call) if begins else request_cause(call):
            suspect = self._suspects.find_or_add(cause, now=now)
            if self._suspects.add(cause, suspect, start, at=now):
                suspect.newest = max(suspect.newest, now)
                suspect.seen_here = True
                self._changed_causes.add(cause)
                self._mark_unreported(cause)

    def record_silence(
        self, call: Call, start: TargetStart, *, now: float, output_seconds: float
    ) -> None:
        """Record that a target fell silent while it ran a call, which may be a crash."""
        self._silences.add(Silence(call=call, start=start, at=now, output_seconds=output_seconds))

    def resumed(self, start: TargetStart) -> None:
        """Forget the silences of a target that has sent output again."""
        self._silences.discard(start)

    def confirm_silences(self, listed: Callable[[TargetStart], bool], *, now: float) -> None:
        """Count the crashes of silent targets that are not listed any more."""
        for silence in self._silences.pop_lost(listed, now=now):
            self.record_crash(
                silence.call, silence.start, now=silence.at, output_seconds=silence.output_seconds
            )

    def answered(self, call: Call) -> None:
        """Clear a request and its parts of their crashes so far, as a target has answered it."""
        self._clear_all(causes_of(call))

    def output_continues(self, call: Call) -> None:
        """Clear the parts of a call whose output has continued for `ONSET_SECONDS`."""
        self._clear_all(part_causes(call))

    def refute(self, start: TargetStart, *, sent: float) -> None:
        """Discard a crash of a target that answers a request sent to it later.

        What broke the connections then was a path, and not the target.
        """
        if not start.started and not self._unique_names:
            # Another start of the target may have answered.
            return
        self._silences.discard(start)
        for cause in self._suspects.interrupted_by(start):
            suspect = self._suspects.get(cause)
            if suspect is not None and suspect.crashes[start] < sent:
                self._clear(cause, suspect, (start,))
                self._mark_unreported(cause)

    def sent(self, call: Call, *, now: float) -> None:
        """Record that a call is sent; where it is suspected, others await its outcome."""
        if not len(self._suspects):
            return
        for cause in causes_of(call):
            suspect = self._suspects.get(cause)
            if suspect is not None and is_suspicious(self._suspects, suspect):
                suspect.trial_at = now
                self._mark_unreported(cause)

    def merge(self, reports: Iterable[CrashReport], *, now: float) -> None:
        """Merge reports from another host or from the store."""
        for report in reports:
            if report.age < QUARANTINE_SECONDS:
                self._merge(report, now=now)

    def hold(self, call: Call, *, now: float) -> Hold | None:
        """Return why a call is not sent now, or None where it may be."""
        if not len(self._suspects):
            return None
        causes = frozenset(causes_of(call))
        holds = [self._hold(cause, causes, now=now) for cause in causes]
        found = [hold for hold in holds if hold is not None]
        return max(found, key=lambda hold: (not hold.brief, hold.seconds), default=None)

    def quarantine_seconds(self, call: Call, *, now: float) -> float:
        """Return the seconds for which a call is refused, or zero where it is not."""
        hold = self.hold(call, now=now)
        return 0.0 if hold is None or hold.brief else hold.seconds

    def quarantined(self, *, shared: bool = False) -> int:
        """Return the number of requests that are held, or of parts if ``shared`` is set."""
        return sum(
            cause.shared is shared and self._stage(cause, suspect) is QuarantineStage.HELD
            for cause, suspect in self._suspects
        )

    def known(self, *, now: float) -> tuple[QuarantinedCause, ...]:
        """Return the suspected and held causes, for operators."""
        found = []
        for cause, suspect in self._suspicious():
            hold = self._hold(cause, self._companions(cause, suspect), now=now)
            found.append(
                QuarantinedCause(
                    customer=cause.customer,
                    fingerprint=cause.fingerprint,
                    shared=cause.shared,
                    stage=self._stage(cause, suspect),
                    crashes=len(suspect.crashes),
                    answers=suspect.answers,
                    seconds=0.0 if hold is None or hold.brief else hold.seconds,
                )
            )
        return tuple(found)

    def release(self, cause: Cause) -> bool:
        """Clear a cause of its crashes for an operator and return whether it had any."""
        suspect = self._suspects.get(cause)
        if suspect is None or not suspect.crashes:
            return False
        self._clear_all((cause,))
        return True

    def pop_changes(self, *, now: float) -> list[QuarantineChange]:
        """Return the quarantines that began, were extended or ended since this last ran."""
        found = []
        for cause in self._changed_causes:
            suspect = self._suspects.get(cause)
            change = None if suspect is None else self._change(cause, suspect, now=now)
            if change is not None:
                found.append(change)
        self._changed_causes.clear()
        return found

    def collect_reports(self, *, now: float, regular: bool) -> tuple[CrashReport, ...]:
        """Return the reports of a digest: new ones, and in a regular one also quarantines."""
        self._changed = False
        if not len(self._suspects):
            return ()
        known = {cause: self._suspects.get(cause) for cause in self._unreported}
        reported = {cause: suspect for cause, suspect in known.items() if suspect is not None}
        self._unreported = {cause: left - 1 for cause, left in self._unreported.items() if left > 1}
        if regular:
            reported.update(
                nlargest(
                    MAX_REPEATED_QUARANTINES, self._suspicious(), key=lambda item: item[1].newest
                )
            )
        return tuple(
            report_of(self._suspects, cause, suspect, now=now)
            for cause, suspect in reported.items()
        )

    def expire(self, now: float) -> None:
        """Forget the causes whose last crash is too old to count."""
        for cause in self._suspects.expired(now):
            self._unreported.pop(cause, None)
            self._suspects.forget(cause)

    def _merge(self, report: CrashReport, *, now: float) -> None:
        at = now - report.age
        cause = Cause(customer=report.customer, fingerprint=report.fingerprint)
        suspect = self._suspects.find_or_add(cause, now=at)
        if report.trial_age is not None:
            suspect.trial_at = max(suspect.trial_at, now - report.trial_age)
        self._clear(cause, suspect, report.cleared)
        ages = report.ages or (report.age,) * len(report.crashes)
        fresh = [
            start
            for start, age in zip(report.crashes, ages, strict=False)
            if self._suspects.add(cause, suspect, start, at=now - age)
        ]
        if fresh:
            suspect.newest = max(suspect.newest, at)
            self._changed_causes.add(cause)

    def _clear_all(self, causes: Iterable[Cause]) -> None:
        if not len(self._suspects):
            return
        for cause in causes:
            suspect = self._suspects.get(cause)
            if suspect is not None and suspect.crashes:
                self._clear(cause, suspect, tuple(suspect.crashes))
                suspect.answered_here = True
                suspect.answers += 1
                self._mark_unreported(cause)

    def _clear(self, cause: Cause, suspect: Suspect, starts: Iterable[TargetStart]) -> None:
        if self._suspects.clear(cause, suspect, starts):
            self._changed_causes.add(cause)

    def _hold(self, cause: Cause, causes: frozenset[Cause], *, now: float) -> Hold | None:
        suspect = self._suspects.get(cause)
        if suspect is None or not is_suspicious(self._suspects, suspect):
            return None
        brief = is_open(self._suspects, cause, suspect, among=causes)
        if brief:
            until = suspect.newest + (SETTLE_SECONDS if cause.shared else 0.0)
        else:
            turn = turn_seconds(cause, host=self._host, hosts=self._hosts)
            incidents = len(first_of_incidents(suspect.crashes))
            until = suspect.newest + quarantine_seconds(incidents) + turn
        if suspect.trial_outstanding:
            until = max(until, suspect.trial_at + TRIAL_SECONDS)
        return Hold(seconds=until - now, brief=brief) if until > now else None

    def _stage(self, cause: Cause, suspect: Suspect) -> QuarantineStage:
        """Return what is done with requests that contain a cause and all that came with it.

        Parts that always came together are held together, until requests with one of them come.
        """
        if not is_suspicious(self._suspects, suspect):
            return QuarantineStage.FREE
        among = self._companions(cause, suspect)
        undecided = is_open(self._suspects, cause, suspect, among=among)
        return QuarantineStage.SUSPECTED if undecided else QuarantineStage.HELD

    def _companions(self, cause: Cause, suspect: Suspect) -> frozenset[Cause]:
        """Return a part with its rivals that one request may contain, or a request alone."""
        others = rivals(self._suspects, cause, suspect) if cause.shared else ()
        return frozenset((cause, *(other for other in others if other.customer == cause.customer)))

    def _suspicious(self) -> list[tuple[Cause, Suspect]]:
        return [item for item in self._suspects if is_suspicious(self._suspects, item[1])]

    def _change(self, cause: Cause, suspect: Suspect, *, now: float) -> QuarantineChange | None:
        """Return the change of a cause since the last one that was announced, if there is any."""
        stage = self._stage(cause, suspect)
        if stage is QuarantineStage.SUSPECTED and not cause.shared:
            # One of several requests beside each other, which are sent like any other.
            stage = QuarantineStage.FREE
        held = stage is QuarantineStage.HELD
        incidents = len(first_of_incidents(suspect.crashes)) if held else 0
        if stage is suspect.stage and incidents <= suspect.incidents:
            return None
        before, suspect.stage, suspect.incidents = suspect.stage, stage, incidents
        free = stage is QuarantineStage.FREE
        was_held = before is QuarantineStage.HELD
        return QuarantineChange(
            report=report_of(self._suspects, cause, suspect, now=now),
            shared=cause.shared,
            stage=stage,
            answers=suspect.answers,
            keep=(free and was_held and suspect.answered_here) or (held and suspect.seen_here),
        )

    def _mark_unreported(self, cause: Cause) -> None:
        self._unreported[cause] = REPORT_REPEATS
        self._changed = True
