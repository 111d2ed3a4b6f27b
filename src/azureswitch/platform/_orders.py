"""Orders to engines that set memory aside and free it."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from azureswitch.client import Headers, HttpClient, HttpHead
from azureswitch.exceptions import (
    HttpBrokenError,
    HttpNotSentError,
    TargetBrokenError,
    TargetRefusedError,
)

ORDER_PATH = "/api/order"

ORDER_TIMEOUT = 0.6
"""Seconds that an order may take; a round trip between failure domains takes 2 ms."""

CONNECT_TIMEOUT = 0.35
"""Seconds that a connection for it may take."""

JSON_HEADERS: Headers = (("content-type", "application/json"),)


class WireReserve(msgspec.Struct, frozen=True, kw_only=True):
    """Sets memory aside, or renews what was, without waiting for it."""

    operation: str = msgspec.field(name="Operation", default="reserve")
    ticket: str = msgspec.field(name="Id")
    tokens: int = msgspec.field(name="Tokens")
    milliseconds: int = msgspec.field(name="HoldMs")
    wait: bool = msgspec.field(name="Wait", default=False)


class WireRelease(msgspec.Struct, frozen=True, kw_only=True):
    """Frees what was set aside."""

    operation: str = msgspec.field(name="Operation", default="release")
    ticket: str = msgspec.field(name="Id")


class HttpReservations:
    """The `azureswitch.gateway.Reservations` over HTTP.

    Its failures name an engine by its address.

    Args:
        on_answer: Takes the address of an engine, the ticket and the head of each answer, in which
            the engine also speaks of itself.
    """

    def __init__(self, *, on_answer: Callable[[str, str, HttpHead], None]) -> None:
        self._on_answer = on_answer

    async def reserve(self, *, address: str, ticket: str, tokens: int, seconds: float) -> None:
        """Set memory aside."""
        body = WireReserve(ticket=ticket, tokens=tokens, milliseconds=int(seconds * 1_000.0))
        status = await self._order(address, ticket, msgspec.json.encode(body))
        if status != HTTPStatus.OK:
            raise TargetRefusedError(target=address)

    async def release(self, *, address: str, ticket: str) -> None:
        """Free what was set aside."""
        await self._order(address, ticket, msgspec.json.encode(WireRelease(ticket=ticket)))

    async def _order(self, address: str, ticket: str, body: bytes) -> int:
        client = HttpClient(address=address, connect_timeout=CONNECT_TIMEOUT, pool_limit=0)
        try:
            answer = await client.request(
                method="POST",
                path=ORDER_PATH,
                headers=JSON_HEADERS,
                body=body,
                timeout=ORDER_TIMEOUT,
                fresh=True,
            )
        except HttpNotSentError as error:
            raise TargetRefusedError(target=address) from error
        except HttpBrokenError as error:
            raise TargetBrokenError(target=address) from error
        self._on_answer(address, ticket, answer.head)
        return answer.head.status
