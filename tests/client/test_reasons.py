"""Tests that the reason for which nothing was sent is told apart."""

import asyncio
from errno import EHOSTUNREACH
from socket import socket

import pytest

from azureswitch.client import HttpClient
from azureswitch.client._reasons import reason_of
from azureswitch.exceptions import HttpNotSentError, NotSent


class TestReason:
    """An error of the operating system becomes a reason that logs can carry."""

    @pytest.mark.parametrize(
        ("error", "reason"),
        [
            (ConnectionRefusedError(), NotSent.REFUSED),
            (ConnectionResetError(), NotSent.RESET),
            (TimeoutError(), NotSent.TIMED_OUT),
            (OSError(EHOSTUNREACH, "no route"), NotSent.NO_ROUTE),
            (OSError(), NotSent.OTHER),
        ],
    )
    def test_reason(self, error: OSError, reason: NotSent) -> None:
        """Each kind of error has its reason."""
        assert reason_of(error) is reason

    def test_refused_connection(self) -> None:
        """A client tells that its connection was refused."""

        async def scenario() -> None:
            with socket() as unused:
                unused.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{unused.getsockname()[1]}"
                with pytest.raises(HttpNotSentError) as caught:
                    await HttpClient(address=address).request(method="GET", path="/", timeout=5.0)
            assert caught.value.reason is NotSent.REFUSED

        asyncio.run(scenario())
