"""The log entries of a gateway."""

from typing import ClassVar

from azureswitch.logs import Entry, Level

LOGGED_DIGITS = 16
"""Digits of a request's fingerprint that are logged."""


class _RequestEntry(Entry, frozen=True, kw_only=True):
    """Base of the entries about a request.

    Attributes:
        id: The caller's id of this attempt.
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
        version: The version of the configuration in force, or zero for none.
    """

    sentence: ClassVar[str] = "Request refused."
    level: ClassVar[Level] = Level.WARNING
    code: str
    status: int
    version: int


class RequestUnserved(_RequestEntry, frozen=True, kw_only=True):
    """A request was read completely but not started, because its connection closed.

    Attributes:
        reason: Why the connection closed.
    """

    sentence: ClassVar[str] = "Request not served."
    level: ClassVar[Level] = Level.WARNING
    reason: str


class RequestDropped(_RequestEntry, frozen=True, kw_only=True):
    """This host closed the connection of a request before its answer was complete.

    Answers that are broken off because the request failed are logged as `RequestFailed`.

    Attributes:
        reason: Why the connection closed.
    """

    sentence: ClassVar[str] = "Request dropped."
    level: ClassVar[Level] = Level.ERROR
    reason: str


class RequestAdmitted(_RequestEntry, frozen=True, kw_only=True):
    """A request was admitted.

    Attributes:
        route: Its route.
        service: The service that it is sent to.
        customer: The customer that it belongs to.
        fingerprint: The start of the fingerprint, equal for retries of the same request.
        parts: Fingerprints of the parts of its prompt that other requests may share.
        prompt: Tokens of its prompt.
        output: The maximum output tokens.
        left: Seconds until its deadline.
        after: The id of the last event that its caller has received.
        version: The version of the configuration in force.
    """

    sentence: ClassVar[str] = "Request admitted."
    route: str
    service: str
    customer: str
    fingerprint: str
    parts: str
    prompt: int
    output: int
    left: float
    after: int
    version: int


class AttemptSent(_RequestEntry, frozen=True, kw_only=True):
    """An attempt is sent.

    Attributes:
        attempt: Its number.
        targets: The target that answers, and the helping engines.
        held: Tokens of memory that are reserved for the prompt.
        predicted: Predicted seconds to the first token; zero if there is no prediction.
        peers: Number of peers whose sends the choice took into account.
        held_back: Number of targets excluded, as their rate limits were used up or they are cold.
        evacuated: Number of targets excluded because their failure domain is evacuated.
        after: The id of the last event that the caller has received.
    """

    sentence: ClassVar[str] = "Attempt sent."
    attempt: int
    targets: str
    held: int
    predicted: float
    peers: int
    held_back: int
    evacuated: int
    after: int


class TargetSilent(_RequestEntry, frozen=True, kw_only=True):
    """An attempt's target is silent; it is waited for, beside another attempt where one may follow.

    Attributes:
        attempt: Its number.
        target: The target.
        seconds: How long ago the attempt was sent.
        events: The id of the last event that the caller has received.
    """

    sentence: ClassVar[str] = "Target silent."
    attempt: int
    target: str
    seconds: float
    events: int


class TargetResumed(_RequestEntry, frozen=True, kw_only=True):
    """An attempt's target was silent and has sent output again.

    Attributes:
        attempt: Its number.
        target: The target.
        seconds: How long it was silent.
        events: The id of the last event that the caller has received.
    """

    sentence: ClassVar[str] = "Target resumed."
    attempt: int
    target: str
    seconds: float
    events: int


class TargetLeaves(_RequestEntry, frozen=True, kw_only=True):
    """A target announced in an answer that it is about to leave.

    Attributes:
        target: The target.
    """

    sentence: ClassVar[str] = "Target leaves."
    target: str


class AttemptOver(_RequestEntry, frozen=True, kw_only=True):
    """An attempt ended.

    Attributes:
        attempt: Its number.
        end: How it ended.
        error: The error code, or empty.
        status: The status of the target's answer; zero for none.
        at_fault: The target known to have failed, if it is not the first one.
        begun: Whether the target had begun to answer.
        broke: Why its answer did not arrive whole, by `azureswitch.exceptions.Breakage`; empty if
            it did.
        via: The host through whose tunnel it was sent; empty for a direct connection.
        not_sent: Why it was not sent, by `azureswitch.exceptions.NotSent`; empty if it was.
        seconds: How long it took.
        events: The id of the last event that the caller has received.
    """

    sentence: ClassVar[str] = "Attempt over."
    attempt: int
    end: str
    error: str
    status: int
    at_fault: str
    begun: bool
    broke: str
    not_sent: str
    via: str
    seconds: float
    events: int


class RequestAnswered(_RequestEntry, frozen=True, kw_only=True):
    """A request was answered completely.

    Attributes:
        seconds: How long it took.
        first: Seconds to the first event, or to the answer.
        pause: The longest pause between two events, in seconds.
        on_time: Whether ``first`` and ``pause`` were within the route's objectives.
        attempts: Number of attempts.
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
        status: The status of the answer; zero if an answer that had begun was aborted.
        ran: Whether it ran on a target.
        seconds: How long it took.
        attempts: Number of attempts.
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
    """A request was still open when the process exited; its caller gets no answer.

    Attributes:
        sent: Whether an attempt is running.
        begun: Whether its caller has received part of the answer.
        seconds: How long ago it was read.
        attempts: Number of attempts.
        targets: The targets that they were sent to.
    """

    sentence: ClassVar[str] = "Request cut off."
    level: ClassVar[Level] = Level.ERROR
    sent: bool
    begun: bool
    seconds: float
    attempts: int
    targets: str


class ConfigurationAdopted(Entry, frozen=True, kw_only=True):
    """A configuration is in force.

    Attributes:
        version: Its version.
        before: The previous version; zero for none.
        routes: Number of routes.
        services: Number of services.
        keys: Number of API keys.
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
        added: Those that were added.
        gone: Those that were removed.
        restarted: Those that restarted under the same name.
        draining: Those that are draining.
        serving: Number of targets that accept new requests.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Targets changed."
    added: str
    gone: str
    restarted: str
    draining: str
    serving: int
