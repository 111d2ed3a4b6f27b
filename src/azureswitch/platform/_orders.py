"""Sends engines the orders that reserve and release memory."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from azureswitch.client import Connector, Headers, HttpClient, HttpHead
from azureswitch.exceptions import (
    HttpBrokenError,
    HttpNotSentError,
    TargetBrokenError,
    TargetRefusedError,
)

ORDER_PATH = "/api/order"

ORDER_TIMEOUT_SECONDS = 0.6
"""Timeout of an order, in seconds; a round trip between failure domains takes 2 ms."""

CONNECT_TIMEOUT_SECONDS = 0.45
"""Timeout of opening a connection for an order, in seconds, by whatever route."""

JSON_HEADERS: Headers = (("content-type", "application/json"),)


class WireReserve(msgspec.Struct, frozen=True, kw_only=True):
    """Reserves memory or renews a reservation, without waiting for memory to become free."""

    operation: str = msgspec.field(name="Operation", default="reserve")
    ticket: str = msgspec.field(name="Id")
    tokens: int = msgspec.field(name="Tokens")
    milliseconds: int = msgspec.field(name="HoldMs")
    wait: bool = msgspec.field(name="Wait", default=False)


class WireRelease(msgspec.Struct, frozen=True, kw_only=True):
    """Releases reserved memory."""

    operation: str = msgspec.field(name="Operation", default="release")
    ticket: str = msgspec.field(name="Id")


class HttpReservations:
    """Implements `azureswitch.gateway.Reservations` over HTTP.

    Its errors identify an engine by its address.

    Args:
        on_answer: Called with the engine's address, the ticket and the head of each response; its
            headers may also report the state of the engine.
        connector: Returns what opens the connection for an order about a ticket, or None to open it
            straight to the engine.
    """

    def __init__(
        self,
        *,
        on_answer: Callable[[str, str, HttpHead], None],
        connector: Callable[[str], Connector | None] = lambda ticket: None,
    ) -> None:
        self._on_answer = on_answer
        self._connector = connector

    async def reserve(self, *, address: str, ticket: str, tokens: int, seconds: float) -> None:
        """Reserve memory for a number of seconds.

        Raises:
            TargetRefusedError: The engine refused, or the order was not sent.
            TargetBrokenError: The connection failed after the order was sent.
        """
        body = WireReserve(ticket=ticket, tokens=tokens, milliseconds=int(seconds * 1_000.0))
        status = await self._order(address, ticket, msgspec.json.encode(body))
        if status != HTTPStatus.OK:
            raise TargetRefusedError(target=address)

    async def release(self, *, address: str, ticket: str) -> None:
        """Release reserved memory.

        Raises:
            TargetRefusedError: The order was not sent.
            TargetBrokenError: The connection failed after the order was sent.
        """
        await self._order(address, ticket, msgspec.json.encode(WireRelease(ticket=ticket)))

    async def _order(self, address: str, ticket: str, body: bytes) -> int:
        client = HttpClient(
            address=address,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            pool_limit=0,
            connector=self._connector(ticket),
        )
        try:
            answer = await client.request(
                method="POST",
                path=ORDER_PATH,
                headers=JSON_HEADERS,
                body=body,
                timeout=ORDER_TIMEOUT_SECONDS,
                fresh=True,
            )
        except HttpNotSentError as error:
            raise TargetRefusedError(target=address) from error
        except HttpBrokenError as error:
            raise TargetBrokenError(target=address) from error
        self._on_answer(address, ticket, answer.head)
        return answer.head.status
