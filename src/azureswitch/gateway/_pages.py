"""Pages beside the callers' requests: whether the process is ready, and its metrics."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from http import HTTPStatus

from azureswitch.exceptions import AzureswitchError, NotConfiguredError, UnknownPathError
from azureswitch.gateway._failures import respond_failure
from azureswitch.gateway._ports import Dialect
from azureswitch.metrics import Metrics
from azureswitch.server import CallerLimits, Exchange


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
        path: The path at which it is.
        dialect: The form of failures.
    """

    def __init__(self, *, metrics: Metrics, path: str, dialect: Dialect) -> None:
        super().__init__(dialect=dialect)
        self._metrics = metrics
        self._path = path

    def handle(self, exchange: Exchange) -> None:
        """Answer with all metrics."""
        if exchange.request.target.partition("?")[0] != self._path:
            self.refuse(exchange, UnknownPathError())
            return
        text, headers = self._metrics.text()
        exchange.respond(
            status=HTTPStatus.OK,
            headers=tuple((name.lower(), value) for name, value in headers.items()),
            body=text,
        )
