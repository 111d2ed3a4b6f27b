"""What hosts ask each other about claims."""

from enum import Enum

from msgspec import Struct

from azureswitch.coordination.claims._model import Answer
from azureswitch.core import CallId, Incarnation
from azureswitch.serving import ClaimOutcome


class Verdict(Enum):
    """What became of an ask.

    UNAVAILABLE means that nothing was written; UNCERTAIN that a write may yet take effect.
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
    """Asks the owner of a shard for a claim; answered by ClaimReply once it is committed.

    Attributes:
        shard: The shard of the key.
        key: Digest of customer and key.
        mark: Digest of the request's fingerprint.
        holder: The process that will send the call.
        call: The call; with the holder it identifies the claim.
        wait: Seconds after which the asker has given up.
    """

    shard: int
    key: bytes
    mark: bytes
    holder: Incarnation
    call: CallId
    wait: float


class SettleAsk(Struct, frozen=True, kw_only=True):
    """Asks the owner of a shard to record an outcome; answered once it is committed."""

    shard: int
    key: bytes
    mark: bytes
    holder: Incarnation
    call: CallId
    outcome: ClaimOutcome
    answer: Answer | None = None


Ask = ClaimAsk | SettleAsk


class ClaimReply(Struct, frozen=True, kw_only=True):
    """The owner's reply to an ask."""

    verdict: Verdict
    answer: Answer | None = None


class HoldAsk(Struct, frozen=True, kw_only=True):
    """Asks a claimer whether it may still send a call."""

    holder: Incarnation
    call: CallId


class HoldReply(Struct, frozen=True, kw_only=True):
    """A claimer's word: where ``held`` is false it has not sent the call and never will."""

    held: bool
