"""What the gateway serves by: routes, keys, limits, and one request as it was read."""

from collections.abc import Mapping
from enum import Enum

from msgspec import Struct, field

from azureswitch.core import CallId, CustomerName, ServiceName
from azureswitch.inventory import Service
from azureswitch.server import CallerLimits


class RouteKind(Enum):
    """What may be done with the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Share(Struct, frozen=True, kw_only=True):
    """A service's part of a route's requests.

    Attributes:
        service: The service.
        weight: Its part beside the weights of the other services.
    """

    service: ServiceName
    weight: float = 1.0


class Route(Struct, frozen=True, kw_only=True):
    """Where requests of one host and path go, and how they are treated.

    Attributes:
        name: Its name.
        host: The value of ``Host`` that it serves, in lower case.
        prefix: The path prefix that it serves.
        kind: What may be done with its requests.
        shares: The services that it goes to.
        timeout: Seconds within which a request must have its final answer.
        objective: Seconds to the answer, or its first event, for it to be on time.
        gap_objective: Seconds between two events for it to stay so.
        runs: Targets that may run one request, at most.
        priority: Its rank beside other routes; smaller goes first.
        anonymous: Whether requests need no key.
        resumable: Whether a broken stream may go on at another target.
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
    """One accepted configuration, as the gateway serves by it.

    Attributes:
        version: Its number; later ones are greater.
        routes: The routes.
        services: The services behind them.
        customers: Who holds each key; empty where no keys are asked for.
        limits: What a caller's connection may ask.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    customers: Mapping[str, CustomerName] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)


class RequestInfo(Struct, frozen=True, kw_only=True):
    """What a request's headers say, decoded.

    Attributes:
        id: The caller's id of this one try.
        key: The API key, or None.
        seconds_left: How long the caller will wait, or None where it does not say.
        model: The model asked for; empty for plain services.
        prompt_tokens: Tokens of the prompt.
        output_tokens: The most output tokens.
        last_event: The id of the last event that the caller has; zero for none.
    """

    id: CallId
    key: str | None = None
    seconds_left: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event: int = 0


class Helper(Struct, frozen=True, kw_only=True):
    """An engine that helps another one to read a prompt.

    Attributes:
        address: ``IP:PORT`` of the engine.
        ticket: The memory set aside there for the prompt, or None.
    """

    address: str
    ticket: str | None = None


class AttemptInfo(Struct, frozen=True, kw_only=True):
    """What one attempt adds to a request.

    Attributes:
        arrival: The request's headers, decoded.
        customer: Whose request it is; empty where no keys are asked for.
        target: The target that must run it, and no other at the same address.
        seconds_left: How long the caller still waits.
        last_event: The id of the last event that the caller has; zero for none.
        urgency: Smaller is admitted first.
        helpers: The engines that help to read the prompt.
    """

    arrival: RequestInfo
    customer: CustomerName
    target: str
    seconds_left: float
    last_event: int
    urgency: int
    helpers: tuple[Helper, ...] = ()


class AdvertisedLimit(Struct, frozen=True, kw_only=True):
    """What a target says in an answer of the requests that it takes from all hosts together.

    Attributes:
        text: What it says.
        rate: Requests a second, or None where the text is no such number.
    """

    text: str
    rate: float | None = None


class AnswerInfo(Struct, frozen=True, kw_only=True):
    """What the head of a target's answer says of the request.

    Attributes:
        not_run: Whether the target promises that it did not run and will not.
        id: The id of the request that it answers, or None where it does not say.
        retry_after: Seconds after which the target may take the request, where it says so.
        at_fault: Address of the helping engine that failed, where it says so.
        sealed: Whether the answer bears the mark of the target's program.
        readable: Whether the body is as the target's program made it, in no further encoding.
        leaving: Whether the target says that it is about to leave.
        limit: How many requests the target says that it takes, or None where it does not say so.
    """

    not_run: bool
    id: str | None = None
    retry_after: float | None = None
    at_fault: str | None = None
    sealed: bool = False
    readable: bool = True
    leaving: bool = False
    limit: AdvertisedLimit | None = None
