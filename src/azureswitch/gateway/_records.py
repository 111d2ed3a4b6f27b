"""The state of one admitted request."""

import asyncio

from msgspec import Struct, field

from azureswitch.client import HttpAnswer
from azureswitch.gateway._model import RequestInfo, Route
from azureswitch.server import Exchange
from azureswitch.serving import Call


class CallRecord(Struct, kw_only=True):
    """One admitted request.

    Attributes:
        call: The call as the reducer knows it.
        arrival: Its headers, decoded.
        route: Its route.
        exchange: The HTTP exchange that receives the answer.
        started: When it was read, in seconds of the monotonic clock.
        last_event: The id of the last event that the caller has.
        first_event: When the first event or the answer arrived, or None.
        newest_event: When the latest one arrived.
        longest_pause: The most seconds between two events, including a switch of targets.
        fallback: A target's failure answer, sent to the caller if no retry succeeds.
        tasks: The running attempts, by number.
        begun: The attempts that their targets had begun to answer, by number.
        targets: The targets that attempts were sent to, in order.
        sent_at: When each attempt was sent, by number.
    """

    call: Call
    arrival: RequestInfo
    route: Route
    exchange: Exchange
    started: float
    last_event: int
    first_event: float | None = None
    newest_event: float = 0.0
    longest_pause: float = 0.0
    fallback: HttpAnswer | None = None
    tasks: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    begun: set[int] = field(default_factory=set)
    targets: list[str] = field(default_factory=list)
    sent_at: dict[int, float] = field(default_factory=dict)
