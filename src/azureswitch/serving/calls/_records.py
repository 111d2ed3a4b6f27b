"""The admitted calls and their attempts."""

from enum import Enum

from msgspec import Struct, field
from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.serving._cost import Cost
from azureswitch.serving._digests import TargetStart
from azureswitch.serving._events import Call
from azureswitch.serving._length import Level
from azureswitch.serving._target import Work
from azureswitch.serving.targets import Pool


class Phase(Enum):
    """The phase of an admitted call."""

    CLAIMING = "claiming"
    WAITING = "waiting"
    BACKING_OFF = "backing_off"
    RUNNING = "running"


class Attempt(Struct, kw_only=True):
    """One attempt at one target, or at several for a prompt that is split over engines.

    Attributes:
        number: Its number among the attempts of the call.
        targets: The targets that it was sent to; the first one answers.
        started: When it was sent.
        work: The load on each of its targets.
        cached_tokens: Tokens that were expected to be in the target's prefix cache.
        priority: Its priority; smaller runs first.
        alone: Whether its target had no other work.
        start: The start of its first target when it was sent, or zero where it is unknown.
        first_token: When its first token arrived, or None.
        continued: Whether its output has continued for `ONSET_SECONDS`.
        silent: Whether its target was found silent and has sent no output since.
        restarted: Those of its targets that have restarted since.
    """

    number: int
    targets: tuple[TargetName, ...]
    started: float
    work: Work
    cached_tokens: int
    priority: int
    alone: bool
    start: int = 0
    first_token: float | None = None
    continued: bool = False
    silent: bool = False
    restarted: set[TargetName] = field(default_factory=set)

    @property
    def target_start(self) -> TargetStart:
        """The start of the target that answers."""
        return TargetStart(target=self.targets[0], started=self.start)

    def output_seconds(self, now: float) -> float:
        """Return the seconds since its first token, or zero where there is none yet."""
        return 0.0 if self.first_token is None else now - self.first_token

    @property
    def counted(self) -> tuple[TargetName, ...]:
        """The targets to whose load it counts: all but those that have restarted since."""
        if not self.restarted:
            return self.targets
        return tuple(name for name in self.targets if name not in self.restarted)

    @property
    def lost(self) -> bool:
        """Whether one of its targets has restarted before the first token.

        After the first token the connection decides instead: a restart may be reported late,
        and the attempt may be running on the restarted target.
        """
        return self.first_token is None and bool(self.restarted)


class CallRecord(Struct, kw_only=True):
    """One admitted call.

    Attributes:
        heard_at: When its caller last got output, or when it arrived.
    """

    call: Call
    arrived: float
    heard_at: float
    pool: Pool
    cost: Cost
    level: Level
    phase: Phase = Phase.WAITING
    claimed: bool = False
    caller_left: bool = False
    attempts: dict[int, Attempt] = field(default_factory=dict)
    attempt_count: int = 0
    retry_count: int = 0
    run_count: int = 0
    may_have_run: bool = False
    tokens: int = 0
    first_token: float | None = None
    held_since: float | None = None
    failed: set[TargetName] = field(default_factory=set)

    def bind(self) -> None:
        """Permit no further attempt: none could go on with the part that the caller has."""
        self.call = replace(self.call, repeatable=False, cancellable=True)

    def may_run_beside(self, running: int) -> bool:
        """Return whether one more run is permitted besides ``running`` ones.

        Args:
            running: Attempts that are running or are being cancelled now.
        """
        return self.call.repeatable and self.run_count + running < self.call.runs
