"""The servers of a gateway's pages: readiness for the platform, the others for operators."""

from collections.abc import Callable

from azureswitch.core import CustomerName
from azureswitch.gateway._pages import MetricsPage, PathPages, ReadinessPage, StatusPage
from azureswitch.gateway._ports import Dialect
from azureswitch.gateway._release import ReleasePage
from azureswitch.logs import Log
from azureswitch.metrics import Metrics
from azureswitch.server import HttpServer
from azureswitch.status import RELEASE_PATH, STATUS_PATH, HostStatus

METRICS_PATH = "/metrics"


def readiness_server(*, ready: Callable[[], bool], dialect: Dialect) -> HttpServer:
    """Return the server of the readiness page.

    Args:
        ready: Returns whether this process accepts new connections.
        dialect: Encodes errors.
    """
    return HttpServer(handler=ReadinessPage(ready=ready, dialect=dialect))


def operator_server(
    *,
    metrics: Metrics,
    status: Callable[[], HostStatus],
    release: Callable[[CustomerName, str], bool],
    log: Log,
    dialect: Dialect,
) -> HttpServer:
    """Return the server of the pages of operators.

    Args:
        metrics: The metrics to show.
        status: Returns the state of the fleet as this host knows it.
        release: Ends a quarantine, and returns whether it was known.
        log: Receives the log entries.
        dialect: Encodes errors.
    """
    pages = {
        METRICS_PATH: MetricsPage(metrics=metrics, dialect=dialect),
        STATUS_PATH: StatusPage(status=status, dialect=dialect),
        RELEASE_PATH: ReleasePage(release=release, log=log, dialect=dialect),
    }
    return HttpServer(handler=PathPages(pages=pages, dialect=dialect))
