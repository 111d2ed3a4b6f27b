"""A fault of this program at one request costs that request alone, which is told of it."""

import asyncio
from http import HTTPStatus

import pytest

from azureswitch.core import CallId
from azureswitch.exceptions import AzureswitchError
from azureswitch.serving import Call, ServingState, _reduce
from tests.gateway.fixtures import PATIENCE, Act, serve, usual_headers

MILLISECONDS_LEFT = "500"
"""Milliseconds that the first caller has, after which its request is answered as out of time."""

refusal = _reduce.refusal


def faulty(state: ServingState, call: Call, *, now: float) -> AzureswitchError | None:
    """Fail at the second request."""
    if call.id == CallId("r2"):
        raise RuntimeError
    return refusal(state, call, now=now)


def request(id: str, **more: str) -> bytes:
    """Return the bytes of a lookup with little time."""
    headers = {**dict(usual_headers(id)), "x-azureswitch-time-remaining": MILLISECONDS_LEFT, **more}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"GET /read/ HTTP/1.1\r\n{lines}\r\n".encode()


class TestBehindAnother:
    """Requests that stand behind another one on their connection."""

    def test_fault(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """One that cannot be taken as the one before it fails is answered, and not left open."""

        async def scenario() -> None:
            async with asyncio.timeout(PATIENCE), serve(acts=(Act.HANG, Act.HANG)) as bed:
                monkeypatch.setattr(_reduce, "refusal", faulty)
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
