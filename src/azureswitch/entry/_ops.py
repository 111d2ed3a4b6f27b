"""The interface for operators: health, status and metrics."""

from collections.abc import Callable, Iterable

from blacksheep import Application, Content, Request, Response
from msgspec import Struct
from msgspec.json import encode

from azureswitch.coordination.membership import Member
from azureswitch.core import HostName, PlaceName
from azureswitch.entry._handlers import untyped
from azureswitch.entry._shell import Shell
from azureswitch.metrics import Metrics
from azureswitch.status import STATUS_PATH, HostStatus, evacuation_status, member_report


class HealthBody(Struct, kw_only=True):
    """Whether a host is alive or ready, and the reason if not."""

    ok: bool
    reason: str = ""


class OperatorApi:
    """Answers operators, the load balancer and the metrics collector.

    Args:
        host: This host.
        place: Its failure domain.
        shell: Runs requests.
        metrics: The metrics.
        members: Returns the current members.
        unreadable: Returns the accepted revision that could not be read, or zero.
    """

    def __init__(
        self,
        *,
        host: HostName,
        place: PlaceName,
        shell: Shell,
        metrics: Metrics,
        members: Callable[[], Iterable[Member]],
        unreadable: Callable[[], int],
    ) -> None:
        self._host = host
        self._record_job = place
        self._shell = shell
        self._metrics = metrics
        self._members = members
        self._unreadable = unreadable

    def install_health(self, app: Application) -> None:
        """Add the health checks for a load balancer."""
        app.router.add_get("/livez", untyped(self._alive))
        app.router.add_get("/readyz", untyped(self._ready))

    def install(self, app: Application) -> None:
        """Add all routes."""
        self.install_health(app)
        app.router.add_get("/metrics", untyped(self._show_metrics))
        app.router.add_get(STATUS_PATH, untyped(self._show_status))

    @property
    def _unready(self) -> str:
        if self._shell.leaving:
            return "leaving"
        return "" if self._shell.directory.revision else "not_configured"

    async def _alive(self, request: Request) -> Response:
        return _json(HealthBody(ok=True))

    async def _ready(self, request: Request) -> Response:
        reason = self._unready
        return _json(HealthBody(ok=not reason, reason=reason), status=503 if reason else 200)

    async def _show_metrics(self, request: Request) -> Response:
        accepts = tuple(value.decode("latin-1") for value in request.get_headers(b"accept"))
        body, headers = self._metrics.text(accepts)
        return Response(200, None, Content(headers["Content-Type"].encode(), body))

    async def _show_status(self, request: Request) -> Response:
        shell = self._shell
        body = HostStatus(
            host=self._host,
            place=self._record_job,
            revision=shell.directory.revision,
            leaving=shell.leaving,
            open_calls=shell.open_calls,
            members=tuple(map(member_report, self._members())),
            engines=tuple(sorted(shell.targets.engines)),
            unreadable=self._unreadable(),
            evacuations=tuple(
                evacuation_status(known, now=shell.now) for known in shell.evacuations
            ),
        )
        return _json(body)


def _json(body: HealthBody | HostStatus, *, status: int = 200) -> Response:
    return Response(status, None, Content(b"application/json", encode(body)))
