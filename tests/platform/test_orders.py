"""The headers of engines' responses to orders."""

import asyncio

import pytest

from azureswitch.client import Headers, HttpHead
from azureswitch.exceptions import TargetRefusedError
from azureswitch.platform._orders import HttpReservations
from azureswitch.server import CallerLimits, Exchange, HttpServer
from tests.gateway.fixtures import serve
from tests.gateway.test_leaving import READ, reached


class Engine:
    """An engine that responds to every order in the same way."""

    def __init__(self, *, status: int, headers: Headers) -> None:
        self._status = status
        self._headers = headers

    @property
    def limits(self) -> CallerLimits:
        """Limits on a connection."""
        return CallerLimits()

    @property
    def closing(self) -> bool:
        """Whether connections are closed after a response: never."""
        return False

    def refuse(self, exchange: Exchange, error: Exception) -> None:
        """Respond to an invalid request."""
        exchange.respond(status=400, headers=(), body=b"")

    def handle(self, exchange: Exchange) -> None:
        """Respond to an order."""
        exchange.respond(status=self._status, headers=self._headers, body=b"{}")


class TestAnswers:
    """Responses to orders that reserve and release memory."""

    @pytest.mark.parametrize("status", [200, 409])
    def test_head_of_each_response_is_passed_on(self, status: int) -> None:
        """The head of each response is passed on, also that of a refusal."""

        async def scenario() -> None:
            server = HttpServer(handler=Engine(status=status, headers=(("server-limit", "2"),)))
            await server.start(address="127.0.0.1:0")
            heard: list[tuple[str, str, HttpHead]] = []
            orders = HttpReservations(on_answer=lambda *answer: heard.append(answer))
            try:
                await orders.reserve(address=server.address, ticket="t", tokens=9, seconds=1.0)
            except TargetRefusedError:
                assert status != 200
            await orders.release(address=server.address, ticket="t")
            assert [(address, ticket) for address, ticket, _ in heard] == [
                (server.address, "t"),
                (server.address, "t"),
            ]
            assert {head.header(name="server-limit") for *_, head in heard} == {"2"}
            server.stop_listening()
            server.abort()

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        ("header", "limits"),
        [(("server-leaving", "1"), {}), (("server-limit", "0.5"), {"s0": 0.5})],
        ids=["leaving", "limit"],
    )
    def test_headers_of_a_response_take_effect(
        self, header: tuple[str, str], limits: dict[str, float]
    ) -> None:
        """A header in the response to an order has the same effect as in that to a request."""

        async def scenario() -> None:
            async with serve() as bed:
                head = HttpHead(status=200, headers=(header,))
                bed.gateway.handle_order_answer(
                    address=bed.targets[3].address, order="t", head=head
                )
                assert bed.gateway.shell.limits == limits
                assert "s0" not in await reached(bed, READ)

        asyncio.run(scenario())
