"""Hands requests to a handler, which may fail."""

from collections.abc import Callable

from absl import logging

from azureswitch.exceptions import AzureswitchError
from azureswitch.server._exchange import Exchange, Handler
from azureswitch.server._model import CloseReason


class Handover:
    """Hands requests over; what the handler fails at is logged, and its request ends.

    Args:
        handler: Takes the requests.
    """

    def __init__(self, *, handler: Handler) -> None:
        self._handler = handler

    def take(self, exchange: Exchange) -> None:
        """Hand over a request."""
        try:
            self._handler.handle(exchange)
        except Exception:
            logging.exception("server: Request to %s failed.", exchange.request.target)
            if not exchange.over:
                self._fail(exchange)

    def refuse(self, exchange: Exchange, error: AzureswitchError) -> None:
        """Have what is no acceptable request refused."""
        try:
            self._handler.refuse(exchange, error)
        except Exception:
            logging.exception("server: Refusal by %s failed.", error.code)
            # A connection whose answer we cannot give ends, rather than hang.
            exchange.abort(CloseReason.FAULT)

    def contain(self, act: Callable[[], None], *, step: str) -> None:
        """Run a step, and log an exception that it raises, so that those behind it are run."""
        try:
            act()
        except Exception:
            logging.exception("server: %s failed.", step)

    def _fail(self, exchange: Exchange) -> None:
        """Tell a caller that its request may have run, and the handler that it is over."""
        if not exchange.started:
            self.refuse(exchange, AzureswitchError())
        exchange.abort(CloseReason.FAULT)
        self.contain(exchange.release, step=f"Release of {exchange.request.target}")
