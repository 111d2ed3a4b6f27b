"""The page on which an operator ends a quarantine."""

from collections.abc import Callable
from http import HTTPStatus
from typing import ClassVar

from msgspec.json import decode

from azureswitch.core import CustomerName
from azureswitch.decoding import UNDECODED
from azureswitch.exceptions import AzureswitchError, MalformedBodyError, QuarantineNotFoundError
from azureswitch.gateway._pages import Page
from azureswitch.gateway._ports import Dialect
from azureswitch.logs import Entry, Level, Log
from azureswitch.server import Exchange
from azureswitch.status import ReleaseOrder


class QuarantineReleased(Entry, frozen=True, kw_only=True):
    """An operator ended a quarantine; requests are sent again until targets crash anew.

    Attributes:
        customer: The customer.
        fingerprint: The request or part of prompts that was held.
        author: Who ended it.
        reason: Why; empty if no reason was given.
    """

    part: ClassVar[str] = "gateway"
    sentence: ClassVar[str] = "Quarantine released by an operator."
    level: ClassVar[Level] = Level.WARNING
    customer: str
    fingerprint: str
    author: str
    reason: str


class ReleasePage(Page):
    """Ends the quarantine of a request or of a part of prompts.

    Args:
        release: Ends it and returns whether it was known.
        log: Receives the log entries.
        dialect: Encodes errors.
    """

    def __init__(
        self, *, release: Callable[[CustomerName, str], bool], log: Log, dialect: Dialect
    ) -> None:
        super().__init__(dialect=dialect)
        self._release = release
        self._log = log

    def handle(self, exchange: Exchange) -> None:
        """Answer 204 once the quarantine is ended on this host, which tells the others."""
        try:
            self._carry_out(_decode(exchange.request.body))
        except AzureswitchError as error:
            self.refuse(exchange, error)
            return
        exchange.respond(status=HTTPStatus.NO_CONTENT, headers=(), body=b"")

    def _carry_out(self, order: ReleaseOrder) -> None:
        if not self._release(order.customer, order.fingerprint):
            raise QuarantineNotFoundError(customer=order.customer, fingerprint=order.fingerprint)
        self._log.write(
            QuarantineReleased(
                customer=order.customer,
                fingerprint=order.fingerprint,
                author=order.author,
                reason=order.reason,
            )
        )


def _decode(body: bytes) -> ReleaseOrder:
    try:
        return decode(body, type=ReleaseOrder)
    except UNDECODED as error:
        raise MalformedBodyError(detail=str(error)) from error
