"""Pages beside the callers' requests: whether the process is ready, its metrics and its status."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from http import HTTPStatus

from msgspec.json import encode

from azureswitch.exceptions import AzureswitchError, NotConfiguredError, UnknownPathError
from azureswitch.gateway._failures import respond_failure
from azureswitch.gateway._ports import Dialect
from azureswitch.metrics import Metrics
from azureswitch.server import CallerLimits, Exchange
from azureswitch.status import HostStatus


class Page(ABC):
    """Base of the pages.

    Args:
        dialect: The form of failures.
    """

    def __init__(self, *, dialect: Dialect) -> None:
        self._dialect = dialect

    @property
    def limits(self) -> CallerLimits:
        """What a connection may ask."""
        return CallerLimits()

    @property
    def closing(self) -> bool:
        """Connections are kept."""
        return False

    @abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Answer a request."""

    def refuse(self, exchange: Exchange, error: AzureswitchError) -> None:
        """Answer with the failure's status."""
        respond_failure(exchange, error, dialect=self._dialect)


class ReadinessPage(Page):
    """Answers whether this process takes new connections.

    Args:
        ready: Returns whether it does.
        dialect: The form of failures.
    """

    def __init__(self, *, ready: Callable[[], bool], dialect: Dialect) -> None:
        super().__init__(dialect=dialect)
        self._ready = ready

    def handle(self, exchange: Exchange) -> None:
        """Answer without a failure where new connections are taken."""
        if self._ready():
            exchange.respond(status=HTTPStatus.OK, headers=(), body=b"")
            return
        self.refuse(exchange, NotConfiguredError())


class MetricsPage(Page):
    """Shows the metrics.

    Args:
        metrics: What is shown.
        dialect: The form of failures.
    """

    def __init__(self, *, metrics: Metrics, dialect: Dialect) -> None:
        super().__init__(dialect=dialect)
        self._metrics = metrics

    def handle(self, exchange: Exchange) -> None:
        """Answer with all metrics."""
        text, headers = self._metrics.text()
        exchange.respond(
            status=HTTPStatus.OK,
            headers=tuple((name.lower(), value) for name, value in headers.items()),
            body=text,
        )


class StatusPage(Page):
    """Shows what this host knows of the fleet.

    Args:
        status: Returns what it knows now.
        dialect: The form of failures.
    """

    def __init__(self, *, status: Callable[[], HostStatus], dialect: Dialect) -> None:
        super().__init__(dialect=dialect)
        self._status = status

    def handle(self, exchange: Exchange) -> None:
        """Answer with JSON."""
        exchange.respond(
            status=HTTPStatus.OK,
            headers=(("content-type", "application/json"),),
            body=encode(self._status()),
        )


class PathPages(Page):
    """Several pages, each at its path.

    Args:
        pages: The pages by their paths.
        dialect: The form of failures.
    """

    def __init__(self, *, pages: Mapping[str, Page], dialect: Dialect) -> None:
        super().__init__(dialect=dialect)
        self._pages = pages

    def handle(self, exchange: Exchange) -> None:
        """Answer by the page of the path."""
        page = self._pages.get(exchange.request.target.partition("?")[0])
        if page is None:
            self.refuse(exchange, UnknownPathError())
            return
        page.handle(exchange)
