"""The members of a set of engines, and the events and effects of running on it."""

from msgspec import Struct

from azureswitch.core import Effect, Event, TargetName
from azureswitch.exceptions import AzureswitchError
from azureswitch.ports import Holding

NEWCOMER_PAUSE = 0.2
"""Seconds that a run may wait at random before its first reservation.

A run that was refused tries again each `POLL_PERIOD`, so that it mostly comes first when memory is
freed, and nobody is passed over again and again."""

POLL_PERIOD = 0.05
"""Seconds between two tries to reserve memory that was refused."""

HOLD_LIMIT = 3.0
"""Seconds that the first attempt keeps the memory that it has while it is refused more.

The limit doubles with every attempt: memory that is kept serves nobody meanwhile, but a request
that never waits as long as the run of another may be passed over for ever."""

HOLD_LONGEST = 60.0
"""Seconds that any attempt keeps memory while it is refused more, at most."""


class SpanMember(Struct, frozen=True, kw_only=True):
    """One engine's part of a prompt.

    Attributes:
        target: The engine.
        holding: The reservation for its span, and at the last engine for the output as well.
        start: Where its span starts, in prompt tokens.
    """

    target: TargetName
    holding: Holding
    start: int


class SpanEvent(Event, frozen=True, kw_only=True):
    """Base of the events of a run."""


class SpanBegan(SpanEvent, frozen=True, kw_only=True):
    """The run begins."""


class StepDone(SpanEvent, frozen=True, kw_only=True):
    """The last effect was carried out.

    Attributes:
        address: Where exported KV can be read; empty after all other effects.
    """

    address: str = ""


class StepFailed(SpanEvent, frozen=True, kw_only=True):
    """The last effect failed."""

    error: AzureswitchError


class Pause(Effect, frozen=True, kw_only=True):
    """Wait; answer by StepDone.

    Attributes:
        seconds: How long.
    """

    seconds: float


class Reserve(Effect, frozen=True, kw_only=True):
    """Reserve a member's memory."""

    member: SpanMember


class Prefill(Effect, frozen=True, kw_only=True):
    """Prefill a member's span."""

    member: SpanMember


class Export(Effect, frozen=True, kw_only=True):
    """Let other engines read a member's span."""

    member: SpanMember


class Fetch(Effect, frozen=True, kw_only=True):
    """Link an earlier span to a member.

    Attributes:
        member: The member that reads.
        holding: What it is held as there.
        source: The address of the span.
    """

    member: SpanMember
    holding: Holding
    source: str


class Decode(Effect, frozen=True, kw_only=True):
    """Run the request on the last member; nothing follows."""

    member: SpanMember


class Fail(Effect, frozen=True, kw_only=True):
    """Give up; nothing follows."""

    error: AzureswitchError
