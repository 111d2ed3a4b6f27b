"""HTTP pages for the platform and operators: readiness, metrics and status."""

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

PAGE_LIMITS = CallerLimits(body_bytes=65_536)
"""What a connection to a page may ask; orders of operators are short."""


class Page(ABC):
    """Base of the pages.

    Args:
        dialect: Encodes errors.
    """

    def __init__(self, *, dialect: Dialect) -> None:
        self._dialect = dialect

    @property
    def limits(self) -> CallerLimits:
        """The limits on connections."""
        return PAGE_LIMITS

    @property
    def closing(self) -> bool:
        """Whether connections are closed after an answer; always False."""
        return False

    @abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Answer a request."""

    def refuse(self, exchange: Exchange, error: AzureswitchError) -> None:
        """Answer with the status of an error."""
        respond_failure(exchange, error, dialect=self._dialect)


class ReadinessPage(Page):
    """Reports whether this process accepts new connections.

    Args:
        ready: Returns whether it does.
        dialect: Encodes errors.
    """

    def __init__(self, *, ready: Callable[[], bool], dialect: Dialect) -> None:
        super().__init__(dialect=dialect)
        self._ready = ready

    def handle(self, exchange: Exchange) -> None:
        """Answer 200 if new connections are accepted, otherwise an error."""
        if self._ready():
            exchange.respond(status=HTTPStatus.OK, headers=(), body=b"")
            return
        self.refuse(exchange, NotConfiguredError())


class MetricsPage(Page):
    """Shows the metrics.

    Args:
        metrics: The metrics to show.
        dialect: Encodes errors.
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
    """Shows the state of the fleet as this host knows it.

    Args:
        status: Returns the current status.
        dialect: Encodes errors.
    """

    def __init__(self, *, status: Callable[[], HostStatus], dialect: Dialect) -> None:
        super().__init__(dialect=dialect)
        self._status = status

    def handle(self, exchange: Exchange) -> None:
        """Answer with the status as JSON."""
        exchange.respond(
            status=HTTPStatus.OK,
            headers=(("content-type", "application/json"),),
            body=encode(self._status()),
        )


class PathPages(Page):
    """Dispatches requests to pages by path.

    Args:
        pages: The pages by their paths.
        dialect: Encodes errors.
    """

    def __init__(self, *, pages: Mapping[str, Page], dialect: Dialect) -> None:
        super().__init__(dialect=dialect)
        self._pages = pages

    def handle(self, exchange: Exchange) -> None:
        """Answer with the page at the request's path."""
        page = self._pages.get(exchange.request.target.partition("?")[0])
        if page is None:
            self.refuse(exchange, UnknownPathError())
            return
        page.handle(exchange)
