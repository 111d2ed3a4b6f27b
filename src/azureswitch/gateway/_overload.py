"""The log entry and the metrics of overload control."""

from math import isinf
from typing import ClassVar

from azureswitch.logs import Entry, Level
from azureswitch.metrics import Metrics
from azureswitch.serving import AnnounceOverload, ObserveRank, Rank

MAX_PRIORITY = 9
"""Highest priority with a label of its own, which bounds the labels; higher ones share it."""


class RequestOverloaded(Entry, frozen=True, kw_only=True):
    """A request was refused because of overload; it did not run, or is not sent again.

    Attributes:
        id: The caller's id of this attempt.
        customer: Its customer.
        rank: The priorities of its customer and of its route.
        above: Whether its customer has used more than its share.
        again: Whether it had been sent before.
        reason: Why it was refused.
        retry_after: Seconds after which its caller is told to come back.
        first: Predicted seconds to its first output, or None if no target could take it.
        limit: Seconds to the first output up to which it would have been on time.
        slots: Slots of the usable targets.
        taken: Requests at these targets, by what was known.
        reserved: Calls that more urgent ranks were expected to send within their objectives.
        hosts: Hosts that share the targets.
        known: Hosts of these whose load was known.
        age: Seconds since the oldest report on which this rests.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Request refused because of overload."
    level: ClassVar[Level] = Level.WARNING
    id: str
    customer: str
    rank: str
    above: bool
    again: bool
    reason: str
    retry_after: float
    first: float | None
    limit: float
    slots: int
    taken: float
    reserved: float
    hosts: int
    known: int
    age: float

    @property
    def request(self) -> str | None:
        """The id of the request."""
        return self.id


def overload_entry(effect: AnnounceOverload) -> RequestOverloaded:
    """Return the log entry of a refusal because of overload."""
    return RequestOverloaded(
        id=effect.call,
        customer=effect.customer,
        rank=_label(effect.rank),
        above=effect.above,
        again=effect.retry,
        reason=effect.reason,
        retry_after=round(effect.seconds, 3),
        first=None if isinf(effect.first) else round(effect.first, 3),
        limit=round(effect.limit, 3),
        slots=effect.slots,
        taken=round(effect.taken, 1),
        reserved=round(effect.reserved, 1),
        hosts=effect.hosts,
        known=effect.known,
        age=round(effect.age, 3),
    )


def count_rank(metrics: Metrics, effect: ObserveRank) -> None:
    """Count a call that was admitted or refused, by its rank."""
    if effect.reason:
        metrics.count(
            name="overload_refused",
            help="Calls refused because of overload, by rank and reason.",
            rank=_label(effect.rank),
            reason=effect.reason,
        )
    else:
        metrics.count(
            name="overload_admitted",
            help="Calls admitted while overload is controlled, by rank.",
            rank=_label(effect.rank),
        )


def _label(rank: Rank) -> str:
    return "-".join(str(min(MAX_PRIORITY, max(0, part))) for part in (rank.customer, rank.route))
