"""What became of calls."""

from enum import Enum

from msgspec import Struct

from azureswitch_load._calls import PlannedCall


class End(Enum):
    """How an attempt ended for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    WRONG = "wrong"
    UNREACHED = "unreached"


class Attempt(Struct, frozen=True, kw_only=True):
    """One request of a call.

    Attributes:
        request: The id that the entry gave it; empty where none arrived.
        entry: The address that it was sent to.
        end: How it ended.
        code: The failure's name; empty for a whole answer.
        ran: What the answer says of whether it ran: ``not_run``, ``ran``, ``unknown`` or empty.
        sent: When it was sent, in seconds from the start of the run.
        first_token: Seconds until the first token, or None.
        timeout: Seconds that it was given.
        seconds: Seconds until its end.
        retry_after: Seconds after which the answer asks to come back, or None.
        tokens: Output tokens that arrived.
    """

    request: str
    entry: str
    end: End
    code: str = ""
    ran: str = ""
    sent: float
    first_token: float | None = None
    timeout: float
    seconds: float
    retry_after: float | None = None
    tokens: int = 0


class Outcome(Struct, frozen=True, kw_only=True):
    """What became of a call.

    Attributes:
        call: The call.
        key: The Idempotency-Key that it was sent with; empty for none.
        attempts: Its requests in order; at least one.
    """

    call: PlannedCall
    key: str
    attempts: tuple[Attempt, ...]

    @property
    def last(self) -> Attempt:
        """The request that decided it."""
        return self.attempts[-1]

    @property
    def first_token(self) -> float | None:
        """Seconds from the first request to the first token of the whole answer, or None."""
        if self.last.first_token is None:
            return None
        return self.last.sent - self.attempts[0].sent + self.last.first_token

    @property
    def whole(self) -> bool:
        """Whether the caller got its whole answer."""
        return self.last.end is End.WHOLE
