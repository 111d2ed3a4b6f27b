"""Messages between hosts about claims."""

from enum import Enum

from msgspec import Struct

from azureswitch.coordination.claims._model import Answer
from azureswitch.core import CallId, Incarnation
from azureswitch.serving import ClaimOutcome


class Verdict(Enum):
    """The result of a request.

    UNAVAILABLE means that nothing was written, UNCERTAIN that a write may yet take effect.
    """

    GRANTED = "granted"
    REPLAYED = "replayed"
    IN_PROGRESS = "in_progress"
    MISMATCH = "mismatch"
    LOST = "lost"
    ABANDONED = "abandoned"
    RECORDED = "recorded"
    UNAVAILABLE = "unavailable"
    UNCERTAIN = "uncertain"


class ClaimAsk(Struct, frozen=True, kw_only=True):
    """Requests a claim from the owner of a shard, which replies once it is committed.

    Attributes:
        shard: The shard of the key.
        key: Digest of customer and key.
        mark: Digest of the fingerprint of the caller's request.
        holder: The process that will send the call.
        call: The call; with the holder it identifies the claim.
        wait: Seconds after which the claimer abandons the claim.
    """

    shard: int
    key: bytes
    mark: bytes
    holder: Incarnation
    call: CallId
    wait: float


class SettleAsk(Struct, frozen=True, kw_only=True):
    """Requests that the owner of a shard record an outcome; it replies once that is committed."""

    shard: int
    key: bytes
    mark: bytes
    holder: Incarnation
    call: CallId
    outcome: ClaimOutcome
    answer: Answer | None = None


Request = ClaimAsk | SettleAsk


class ClaimReply(Struct, frozen=True, kw_only=True):
    """The owner's reply to a request."""

    verdict: Verdict
    answer: Answer | None = None


class HoldAsk(Struct, frozen=True, kw_only=True):
    """Asks a claimer whether it may still send a call."""

    holder: Incarnation
    call: CallId


class HoldReply(Struct, frozen=True, kw_only=True):
    """A claimer's answer; if ``held`` is false, it has not sent the call and never will."""

    held: bool
