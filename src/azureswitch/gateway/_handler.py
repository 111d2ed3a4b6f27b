"""Handles callers' requests: finds route and customer, and submits them to the shell."""

from random import Random

from azureswitch.core import CustomerName
from azureswitch.exceptions import (
    AzureswitchError,
    IdempotencyInProgressError,
    NotConfiguredError,
    UnauthenticatedError,
    UnknownPathError,
)
from azureswitch.fingerprints import fingerprint, part_fingerprint
from azureswitch.gateway._failures import respond_failure
from azureswitch.gateway._log import (
    LOGGED_DIGITS,
    RequestAdmitted,
    RequestDropped,
    RequestRefused,
    RequestUnserved,
)
from azureswitch.gateway._model import Deployment, RequestInfo, Route, RouteKind
from azureswitch.gateway._outcomes import count_without_answer
from azureswitch.gateway._ports import Dialect
from azureswitch.gateway._prepared import Prepared
from azureswitch.gateway._records import CallRecord
from azureswitch.gateway._routes import Routes, pick_service
from azureswitch.gateway._shell import Shell
from azureswitch.logs import Log
from azureswitch.metrics import REFUSALS_HELP, Metrics
from azureswitch.server import CallerLimits, CloseReason, ConnectionClosed, Exchange
from azureswitch.serving import Call

_LOGGED_BY_SHELL = frozenset((CloseReason.CALLER, CloseReason.BROKEN_OFF))
"""Reasons for which a connection ends with a failure of its request that the shell logs."""


class RequestHandler:
    """Handles callers' requests according to the configuration in force.

    Args:
        shell: Runs the requests.
        dialect: Encodes and decodes the headers exchanged with callers.
        log: Receives the log entries.
        metrics: Counts refusals.
        random: Picks among a route's services.
    """

    def __init__(
        self, *, shell: Shell, dialect: Dialect, log: Log, metrics: Metrics, random: Random
    ) -> None:
        self._shell = shell
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._random = random
        self._deployment: Deployment | None = None
        self._routes = Routes(routes=())
        self._closing = False

    @property
    def deployment(self) -> Deployment | None:
        """The configuration in force, or None before the first."""
        return self._deployment

    @property
    def limits(self) -> CallerLimits:
        """The limits on callers' connections."""
        return self._deployment.limits if self._deployment else CallerLimits()

    @property
    def closing(self) -> bool:
        """Whether answers ask callers to close the connection."""
        return self._closing

    def adopt(self, prepared: Prepared) -> bool:
        """Activate a configuration and return True, or False if it is not newer."""
        if not self.is_newer(prepared.deployment):
            return False
        self._deployment = prepared.deployment
        self._routes = prepared.routes
        return True

    def is_newer(self, deployment: Deployment) -> bool:
        """Return whether a configuration is newer than the one in force."""
        return self._deployment is None or deployment.version > self._deployment.version

    def close(self) -> None:
        """Ask callers to close their connections from now on."""
        self._closing = True

    def handle(self, exchange: Exchange) -> None:
        """Admit a request or refuse it."""
        try:
            record = self._admit(exchange)
        except AzureswitchError as error:
            self.refuse(exchange, error)
            return
        self._log.write(_admitted(record, self._version))
        if not self._shell.submit(record):
            self.refuse(exchange, IdempotencyInProgressError())

    def refuse(self, exchange: Exchange, error: AzureswitchError) -> None:
        """Refuse a request with an error, and log and count it."""
        respond_failure(exchange, error, dialect=self._dialect)
        refused = RequestRefused(
            id=self._dialect.id_of(exchange.request),
            code=error.code,
            status=int(error.status),
            version=self._version,
        )
        self._log.write(refused)
        self._metrics.count(
            name="refusals",
            help=REFUSALS_HELP,
            code=error.code,
        )

    def closed(self, closed: ConnectionClosed) -> None:
        """Count a closed connection, and log the requests that got no complete answer on it.

        Submitted requests whose answer the shell broke off are logged by the shell.
        """
        reason = closed.reason
        for request in closed.unserved:
            self._log.write(RequestUnserved(id=self._dialect.id_of(request), reason=reason.value))
        without_answer = len(closed.unserved)
        if closed.unanswered is not None and reason not in _LOGGED_BY_SHELL:
            id = self._dialect.id_of(closed.unanswered)
            self._log.write(RequestDropped(id=id, reason=reason.value))
            without_answer += 1
        if reason is not CloseReason.CALLER:
            for _ in range(without_answer):
                count_without_answer(self._metrics, reason=reason.value)
        self._metrics.count(
            name="connections_closed",
            help="Callers' connections that ended, by reason.",
            reason=reason.value,
        )

    @property
    def _version(self) -> int:
        return self._deployment.version if self._deployment else 0

    def _admit(self, exchange: Exchange) -> CallRecord:
        deployment = self._deployment
        if deployment is None:
            raise NotConfiguredError()
        request = exchange.request
        arrival = self._dialect.read(request)
        host = request.header("host") or ""
        route = self._routes.find(host=host, target=request.target)
        if route is None:
            raise UnknownPathError()
        customer = _customer(deployment, route, arrival)
        now = self._shell.now
        service = pick_service(route, random=self._random)
        call = Call(
            id=arrival.id,
            customer=customer,
            service=service,
            model=arrival.model,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_tokens,
            deadline=now + _timeout_seconds(arrival, route),
            repeatable=route.repeatable,
            fingerprint=fingerprint(
                method=request.method, scope=host, path=request.target, body=request.body
            ),
            parts=tuple(
                part_fingerprint(service=service, model=arrival.model, part=part.id)
                for part in arrival.shared_parts
            ),
            offset=arrival.last_event,
            objective=route.objective,
            gap_objective=route.gap_objective,
            runs=max(1, route.runs),
            cancellable=route.kind is RouteKind.STREAMING,
            unshared=True,
        )
        return CallRecord(
            call=call,
            arrival=arrival,
            route=route,
            exchange=exchange,
            started=now,
            last_event=arrival.last_event,
        )


def _admitted(record: CallRecord, version: int) -> RequestAdmitted:
    call = record.call
    return RequestAdmitted(
        id=record.arrival.id,
        route=record.route.name,
        service=call.service,
        customer=call.customer,
        fingerprint=call.fingerprint[:LOGGED_DIGITS],
        parts=",".join(call.parts),
        prompt=call.prompt_tokens,
        output=call.output_tokens,
        left=round(call.deadline - record.started, 3),
        after=record.last_event,
        version=version,
    )


def _customer(deployment: Deployment, route: Route, arrival: RequestInfo) -> CustomerName:
    if not deployment.customers or route.anonymous:
        return CustomerName("")
    customer = deployment.customers.get(arrival.key or "")
    if customer is None:
        raise UnauthenticatedError()
    return customer


def _timeout_seconds(arrival: RequestInfo, route: Route) -> float:
    """Return the request's timeout in seconds: the caller's, capped by the route's."""
    if arrival.seconds_left is None:
        return route.timeout
    return min(arrival.seconds_left, route.timeout)
