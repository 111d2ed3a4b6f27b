"""Data model of the gateway: routes, configuration, and decoded headers."""

from collections.abc import Mapping
from enum import Enum

from msgspec import Struct, field

from azureswitch.core import CallId, CustomerName, ServiceName
from azureswitch.inventory import Service
from azureswitch.server import CallerLimits


class RouteKind(Enum):
    """How the requests of a route may be retried and answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Share(Struct, frozen=True, kw_only=True):
    """A service's share of a route's requests.

    Attributes:
        service: The service.
        weight: Its weight relative to those of the other services.
    """

    service: ServiceName
    weight: float = 1.0


class Route(Struct, frozen=True, kw_only=True):
    """Routing and policy for the requests of one host and path prefix.

    Attributes:
        name: Its name.
        host: The ``Host`` value that it matches, in lower case.
        prefix: The path prefix that it matches.
        kind: How its requests may be retried and answered.
        shares: The services that its requests are split among.
        timeout: Seconds within which a request must have its final answer.
        objective: Maximum seconds to the answer, or its first event, to count as on time.
        gap_objective: Maximum seconds between two events to count as on time.
        runs: Maximum number of targets that may run one request.
        priority: Its priority among routes; smaller goes first.
        anonymous: Whether requests need no key.
        resumable: Whether a broken stream may be resumed at another target.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout: float
    objective: float = 0.0
    gap_objective: float = 0.0
    runs: int = 1
    priority: int = 0
    anonymous: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        streaming = self.kind is RouteKind.STREAMING
        return self.kind is RouteKind.IDEMPOTENT or (streaming and self.resumable)


class Deployment(Struct, frozen=True, kw_only=True):
    """One accepted configuration of the gateway.

    Attributes:
        version: Its version; newer ones are greater.
        routes: The routes.
        services: The services behind them.
        customers: Customers by API key; empty if no keys are required.
        limits: The limits on callers' connections.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    customers: Mapping[str, CustomerName] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)


class PromptPart(Struct, frozen=True, kw_only=True):
    """A part of a prompt.

    Attributes:
        id: Identifies its content, in lower case hexadecimal digits.
        tokens: Its tokens.
    """

    id: str
    tokens: int


class RequestInfo(Struct, frozen=True, kw_only=True):
    """The decoded headers of a request.

    Attributes:
        id: The caller's id of this attempt.
        key: The API key, or None.
        seconds_left: How long the caller will wait, or None if not given.
        model: The requested model; empty for plain services.
        prompt_tokens: Tokens of the prompt.
        output_tokens: The maximum output tokens.
        last_event: The id of the last event that the caller has received; zero for none.
        parts: The parts of the prompt in order; empty if not given.
    """

    id: CallId
    key: str | None = None
    seconds_left: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share: all but the last one."""
        return self.parts[:-1]


class Helper(Struct, frozen=True, kw_only=True):
    """An engine that helps another one to process a prompt.

    Attributes:
        address: ``IP:PORT`` of the engine.
        ticket: The id of the memory reservation there, or None.
    """

    address: str
    ticket: str | None = None


class AttemptInfo(Struct, frozen=True, kw_only=True):
    """What the headers of one attempt add to a request.

    Attributes:
        arrival: The request's headers, decoded.
        customer: The customer; empty if no keys are required.
        target: The only target that may run it, even if another one has the same address.
        seconds_left: How long the caller still waits.
        last_event: The id of the last event that the caller has received; zero for none.
        urgency: The admission priority; smaller goes first.
        helpers: The engines that help to process the prompt.
    """

    arrival: RequestInfo
    customer: CustomerName
    target: str
    seconds_left: float
    last_event: int
    urgency: int
    helpers: tuple[Helper, ...] = ()


class AdvertisedLimit(Struct, frozen=True, kw_only=True):
    """A rate limit in a target's answer, which applies to all hosts together.

    Attributes:
        text: The header value.
        rate: Requests per second, or None if the text is not a valid number.
    """

    text: str
    rate: float | None = None


class AnswerInfo(Struct, frozen=True, kw_only=True):
    """The decoded head of a target's answer.

    Attributes:
        not_run: Whether the target promises that it did not run and will not.
        id: The id of the request that it answers, or None if not given.
        retry_after: Seconds after which the target may accept the request, if given.
        at_fault: Address of the helping engine that failed, if given.
        sealed: Whether the answer has the seal header of the target's program.
        readable: Whether the body has no additional content encoding.
        leaving: Whether the target announces that it is about to leave.
        limit: The rate limit that the target advertises, or None.
    """

    not_run: bool
    id: str | None = None
    retry_after: float | None = None
    at_fault: str | None = None
    sealed: bool = False
    readable: bool = True
    leaving: bool = False
    limit: AdvertisedLimit | None = None
