"""What a target is, what it holds, and what goes wrong with it."""

from collections import deque
from enum import Enum
from random import Random

import msgspec


class Act(Enum):
    """What a target does with a request."""

    ANSWER = "answers"
    FAIL = "runs it and answers with a failure of its own"
    SHED = "says that it did not run it"
    HANG = "runs it and does not answer"
    MUTE = "neither runs nor answers it"
    LOSE = "runs it and closes the connection without an answer"
    BREAK = "breaks off in the middle of the answer"
    EXTRA = "sends the last event of a stream once more"
    CROSS = "sends the answer of another request"


SILENT_ACTS = (Act.HANG, Act.MUTE)
"""Acts by which a request gets nothing, on a connection that stays."""


class TargetFaults(msgspec.Struct, frozen=True, kw_only=True):
    """What goes wrong.

    Attributes:
        share: The share of the requests that it happens to.
        act: What happens to them.
    """

    share: float = 0.0
    act: Act = Act.ANSWER


class TargetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What a target is started with.

    Attributes:
        name: Its id, new for each start.
        service: Its service.
        place: Its failure domain.
        store: ``IP:PORT`` of the platform's store.
        address: ``IP:PORT`` that is listed for it, where it is not its own.
        streams: Whether it is a model engine and answers by events.
        slots: Requests that it runs at once.
        queue: Requests that wait for a place, before others are refused.
        work: Seconds that a request takes, or that pass between two events.
        memory: Tokens that it holds.
        read_rate: Prompt tokens that it reads in a second.
        cold_seconds: Seconds for which it is cold after its start.
        cold_rate: Requests per second that it sustains while cold; zero for any number.
        cold_excess: Factor on that rate in the bound above which it crashes while cold.
        cold_slack: Requests in any one second that the bound permits in addition.
    """

    name: str
    service: str
    place: str
    store: str
    address: str = ""
    streams: bool = False
    slots: int = 8
    queue: int = 8
    work: float = 0.02
    memory: int = 405_000
    read_rate: float = 1_540_000.0
    cold_seconds: float = 0.0
    cold_rate: float = 0.0
    cold_excess: float = 1.5
    cold_slack: float = 5.0


class Slots:
    """The places of a target, which requests wait for in the order of their arrival."""

    def __init__(self, *, count: int, queue: int) -> None:
        self._free = count
        self._queue = queue
        self._waiting: deque[object] = deque()

    @property
    def full(self) -> bool:
        """Whether a further request is refused."""
        return len(self._waiting) >= self._free + self._queue

    def wait(self, ticket: object) -> None:
        """Stand in line."""
        self._waiting.append(ticket)

    def take(self, ticket: object) -> bool:
        """Take a place if one is free and it is this one's turn."""
        if not self._free or not self._waiting or self._waiting[0] is not ticket:
            return False
        self._waiting.popleft()
        self._free -= 1
        return True

    def leave(self, ticket: object) -> None:
        """Leave the line."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def free(self) -> None:
        """Give a place back."""
        self._free += 1


class Memory:
    """Memory set aside under tickets, each for a time."""

    def __init__(self, *, tokens: int) -> None:
        self._tokens = tokens
        self._tickets: dict[str, tuple[int, float]] = {}

    def held(self, now: float) -> dict[str, int]:
        """Return what is set aside, by ticket."""
        self._tickets = {k: (n, until) for k, (n, until) in self._tickets.items() if now < until}
        return {ticket: tokens for ticket, (tokens, _) in self._tickets.items()}

    def reserve(self, ticket: str, tokens: int, *, until: float, now: float) -> bool:
        """Set memory aside, or renew it, and return whether there was enough."""
        others = sum(n for name, n in self.held(now).items() if name != ticket)
        if others + tokens > self._tokens:
            return False
        self._tickets[ticket] = (tokens, until)
        return True

    def release(self, ticket: str) -> None:
        """Free what is set aside."""
        self._tickets.pop(ticket, None)


def draw(faults: TargetFaults, *, random: Random) -> Act:
    """Return what is done with the next request."""
    return faults.act if random.random() < faults.share else Act.ANSWER
