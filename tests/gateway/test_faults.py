"""Tests that an internal error fails only the request it occurs in, which gets an answer."""

import asyncio
from http import HTTPStatus

import pytest

from azureswitch.core import CallId
from azureswitch.exceptions import AzureswitchError
from azureswitch.serving import Call, ServingState, _arriving
from tests.gateway.fixtures import PATIENCE, Act, serve, usual_headers

MILLISECONDS_LEFT = "500"
"""Milliseconds until the first request exceeds its deadline."""

refusal = _arriving.refusal


def failing_refusal(state: ServingState, call: Call, *, now: float) -> AzureswitchError | None:
    """Raise for the second request."""
    if call.id == CallId("r2"):
        raise RuntimeError
    return refusal(state, call, now=now)


def request(id: str, **more: str) -> bytes:
    """Return the bytes of a request with a short deadline."""
    headers = {**dict(usual_headers(id)), "x-azureswitch-time-remaining": MILLISECONDS_LEFT, **more}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"GET /read/ HTTP/1.1\r\n{lines}\r\n".encode()


class TestBehindAnother:
    """Requests pipelined behind another one on the same connection."""

    def test_fault(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An internal error while a pipelined request is dispatched is answered."""

        async def scenario() -> None:
            async with asyncio.timeout(PATIENCE), serve(acts=(Act.HANG, Act.HANG)) as bed:
                monkeypatch.setattr(_arriving, "refusal", failing_refusal)
                host, port = bed.gateway.callers_address.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(request("r1") + request("r2", connection="close"))
                async with asyncio.timeout(PATIENCE / 4):
                    answers = await reader.read()
                assert answers.count(b"HTTP/1.1 ") == 2
                assert f"HTTP/1.1 {HTTPStatus.INTERNAL_SERVER_ERROR}".encode() in answers
                assert bed.gateway.shell.open_calls == 0
                writer.close()

        asyncio.run(scenario())
