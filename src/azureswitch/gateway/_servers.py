"""The servers of a gateway: for callers, for the platform's readiness check and for operators."""

from collections.abc import Callable

from azureswitch.buffers import BufferBudget
from azureswitch.core import CustomerName
from azureswitch.gateway._handler import RequestHandler
from azureswitch.gateway._pages import MetricsPage, PathPages, ReadinessPage, StatusPage
from azureswitch.gateway._ports import Dialect
from azureswitch.gateway._release import ReleasePage
from azureswitch.logs import Log
from azureswitch.metrics import Metrics
from azureswitch.server import HttpServer
from azureswitch.shedding import DescriptorShares
from azureswitch.status import RELEASE_PATH, STATUS_PATH, HostStatus

METRICS_PATH = "/metrics"


def caller_server(
    *, handler: RequestHandler, budget: BufferBudget, shares: DescriptorShares
) -> HttpServer:
    """Return the server for callers.

    Args:
        handler: Takes their requests.
        budget: Counts the memory of requests and answers.
        shares: Bounds the connections.
    """
    return HttpServer(
        handler=handler, closed=handler.closed, budget=budget, max_connections=shares.callers
    )


def readiness_server(
    *, ready: Callable[[], bool], dialect: Dialect, shares: DescriptorShares
) -> HttpServer:
    """Return the server of the readiness page.

    Args:
        ready: Returns whether this process accepts new connections.
        dialect: Encodes errors.
        shares: Bounds the connections.
    """
    page = ReadinessPage(ready=ready, dialect=dialect)
    return HttpServer(handler=page, max_connections=shares.pages)


def operator_server(
    *,
    metrics: Metrics,
    status: Callable[[], HostStatus],
    release: Callable[[CustomerName, str], bool],
    log: Log,
    dialect: Dialect,
    shares: DescriptorShares,
) -> HttpServer:
    """Return the server of the pages of operators.

    Args:
        metrics: The metrics to show.
        status: Returns the state of the fleet as this host knows it.
        release: Ends a quarantine, and returns whether it was known.
        log: Receives the log entries.
        dialect: Encodes errors.
        shares: Bounds the connections.
    """
    pages = {
        METRICS_PATH: MetricsPage(metrics=metrics, dialect=dialect),
        STATUS_PATH: StatusPage(status=status, dialect=dialect),
        RELEASE_PATH: ReleasePage(release=release, log=log, dialect=dialect),
    }
    handler = PathPages(pages=pages, dialect=dialect)
    return HttpServer(handler=handler, max_connections=shares.pages)
