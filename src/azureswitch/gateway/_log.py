"""What a gateway logs."""

from typing import ClassVar

from azureswitch.logs import Entry, Level

LOGGED_DIGITS = 16
"""Digits of a request's fingerprint that are logged."""


class _RequestEntry(Entry, frozen=True, kw_only=True):
    """Base of the entries about a request.

    Attributes:
        id: The caller's id of this one try.
    """

    part: ClassVar[str] = "gateway"
    id: str

    @property
    def request(self) -> str | None:
        """The id of the request."""
        return self.id


class RequestRefused(_RequestEntry, frozen=True, kw_only=True):
    """A request was refused before it was admitted.

    Attributes:
        code: The failure.
        status: The status that its caller gets.
        version: The configuration that decided, or zero for none.
    """

    sentence: ClassVar[str] = "Request refused."
    level: ClassVar[Level] = Level.WARNING
    code: str
    status: int
    version: int


class RequestUnserved(_RequestEntry, frozen=True, kw_only=True):
    """A request was read whole and not begun, as its connection ended.

    Attributes:
        reason: Why the connection ended.
    """

    sentence: ClassVar[str] = "Request not served."
    level: ClassVar[Level] = Level.WARNING
    reason: str


class RequestAdmitted(_RequestEntry, frozen=True, kw_only=True):
    """A request was admitted.

    Attributes:
        route: Its route.
        service: The service that it goes to.
        customer: Whose it is.
        fingerprint: Begins alike for tries that ask for the same.
        prompt: Tokens of its prompt.
        output: The most tokens of its answer.
        left: Seconds that it has.
        after: The id of the last event that its caller has.
        version: The configuration that decided.
    """

    sentence: ClassVar[str] = "Request admitted."
    route: str
    service: str
    customer: str
    fingerprint: str
    prompt: int
    output: int
    left: float
    after: int
    version: int


class AttemptSent(_RequestEntry, frozen=True, kw_only=True):
    """An attempt is sent.

    Attributes:
        attempt: Its number.
        targets: The target that answers, and those that help.
        held: Tokens of memory that are set aside on helpers.
        predicted: Seconds to the first token that were predicted; zero where nothing was.
        peers: How many peers' accounts the choice knew of.
        held_back: Targets that were left aside, as their limits permitted no more requests.
        after: The id of the last event that the caller has.
    """

    sentence: ClassVar[str] = "Attempt sent."
    attempt: int
    targets: str
    held: int
    predicted: float
    peers: int
    held_back: int
    after: int


class TargetSilent(_RequestEntry, frozen=True, kw_only=True):
    """An attempt's target writes nothing; it is called off next, or waited for.

    Attributes:
        attempt: Its number.
        target: The target.
        seconds: How long ago the attempt was sent.
        events: The id of the last event that the caller has.
    """

    sentence: ClassVar[str] = "Target silent."
    attempt: int
    target: str
    seconds: float
    events: int


class TargetLeaves(_RequestEntry, frozen=True, kw_only=True):
    """A target says in an answer that it is about to leave.

    Attributes:
        target: The target.
    """

    sentence: ClassVar[str] = "Target leaves."
    target: str


class AttemptOver(_RequestEntry, frozen=True, kw_only=True):
    """An attempt ended.

    Attributes:
        attempt: Its number.
        end: How.
        error: The failure, or nothing.
        status: The status that the target gave; zero for none.
        at_fault: The target that failed, where another than the first is known to have.
        seconds: How long it took.
        events: The id of the last event that the caller has.
    """

    sentence: ClassVar[str] = "Attempt over."
    attempt: int
    end: str
    error: str
    status: int
    at_fault: str
    seconds: float
    events: int


class RequestAnswered(_RequestEntry, frozen=True, kw_only=True):
    """A request has its whole answer.

    Attributes:
        seconds: How long it took.
        first: Seconds to the first event, or to the answer.
        pause: The most seconds between two events.
        on_time: Whether both were within the route's objectives.
        attempts: How many attempts it took.
    """

    sentence: ClassVar[str] = "Request answered."
    seconds: float
    first: float
    pause: float
    on_time: bool
    attempts: int


class RequestFailed(_RequestEntry, frozen=True, kw_only=True):
    """A request failed.

    Attributes:
        code: The failure.
        status: The status of the answer; zero where an answer that had begun was broken off.
        ran: Whether it ran at a target.
        seconds: How long it took.
        attempts: How many attempts were made.
        targets: The targets that they were sent to.
    """

    sentence: ClassVar[str] = "Request failed."
    level: ClassVar[Level] = Level.WARNING
    code: str
    status: int
    ran: str
    seconds: float
    attempts: int
    targets: str


class RequestCutOff(_RequestEntry, frozen=True, kw_only=True):
    """A request has no end as the process ends; its caller gets neither answer nor refusal.

    Attributes:
        sent: Whether an attempt is under way.
        begun: Whether its caller has a part of the answer.
        seconds: How long ago it was read.
        attempts: How many attempts were made.
        targets: The targets that they were sent to.
    """

    sentence: ClassVar[str] = "Request cut off."
    level: ClassVar[Level] = Level.ERROR
    sent: bool
    begun: bool
    seconds: float
    attempts: int
    targets: str


class RequestQuarantined(Entry, frozen=True, kw_only=True):
    """Targets crashed under tries at one request, which is sent to no more of them.

    Attributes:
        customer: Whose it is.
        fingerprint: As at `RequestAdmitted`.
        targets: Some of the targets.
        seen_here: Whether a try of this host was among them.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Request quarantined."
    level: ClassVar[Level] = Level.WARNING
    customer: str
    fingerprint: str
    targets: str
    seen_here: bool


class QuarantineEnded(RequestQuarantined, frozen=True):
    """A target has answered a request that was quarantined, which is sent as others are."""

    sentence: ClassVar[str] = "Quarantine ended."
    level: ClassVar[Level] = Level.INFO


class TargetLimited(Entry, frozen=True, kw_only=True):
    """A target takes so many requests a second from all hosts together.

    Attributes:
        target: The target.
        rate: Requests a second that are kept to.
        before: The same before; zero where it named no limit.
        said: What it said to this host, or nothing where a peer told it.
        age: Seconds since a host heard it.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Target limits its requests."
    target: str
    rate: float
    before: float
    said: str
    age: float


class LimitUnreadable(TargetLimited, frozen=True):
    """What a target says of its limit is no decimal number."""

    sentence: ClassVar[str] = "Target limits its requests in a way that cannot be read."
    level: ClassVar[Level] = Level.WARNING


class LimitEnded(Entry, frozen=True, kw_only=True):
    """A target names no limit any more.

    Attributes:
        target: The target.
        before: Requests a second that it took.
        age: Seconds since a host heard it.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Target limits its requests no more."
    target: str
    before: float
    age: float


class ConfigurationAdopted(Entry, frozen=True, kw_only=True):
    """A configuration is in force.

    Attributes:
        version: Its number.
        before: The number of the one before it; zero for none.
        routes: How many routes it has.
        services: How many services.
        keys: How many keys.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Configuration adopted."
    version: int
    before: int
    routes: int
    services: int
    keys: int


class TargetsChanged(Entry, frozen=True, kw_only=True):
    """The list of targets changed.

    Attributes:
        added: Those that came.
        gone: Those that went.
        restarted: Those that started again under their name.
        draining: Those that leave.
        serving: How many take new work.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Targets changed."
    added: str
    gone: str
    restarted: str
    draining: str
    serving: int


class PeersKnown(Entry, frozen=True, kw_only=True):
    """The set of hosts that take work changed.

    Only what changed is named: the names of 195 hosts take 4 KB, and each host would write them as
    often as one of the others comes or goes.

    Attributes:
        added: Those that came.
        gone: Those that went.
        hosts: How many there are.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Hosts changed."
    added: str
    gone: str
    hosts: int


class Started(Entry, frozen=True, kw_only=True):
    """The process listens.

    Attributes:
        callers: Where callers are served.
        readiness: Where it says whether it takes connections.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Started."
    callers: str
    readiness: str


class _StepEntry(Entry, frozen=True, kw_only=True):
    """Base of the entries about a process with requests that are open.

    Attributes:
        open_requests: Requests that have not been answered.
    """

    part: ClassVar[str] = "gateway"
    open_requests: int


class Leaving(_StepEntry, frozen=True):
    """The process takes no new connections soon."""

    sentence: ClassVar[str] = "Leaving."


class ListenerClosed(_StepEntry, frozen=True):
    """The process that leaves takes no new connections from now on."""

    sentence: ClassVar[str] = "Listening no more."


class HostSuspended(_StepEntry, frozen=True, kw_only=True):
    """The host was suspended, and what was due meanwhile is done now.

    Attributes:
        seconds: For how long.
    """

    sentence: ClassVar[str] = "Host was suspended."
    level: ClassVar[Level] = Level.WARNING
    seconds: float


class GraceOver(_StepEntry, frozen=True):
    """The time of grace is over, and what is open is decided now."""

    sentence: ClassVar[str] = "The time of grace is over."


class Stopped(Entry, frozen=True, kw_only=True):
    """The process ends.

    Attributes:
        seconds: How long after it was told to.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Stopped."
    seconds: float
