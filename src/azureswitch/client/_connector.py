"""Opens the connections of a client."""

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from azureswitch.client._reasons import reason_of
from azureswitch.exceptions import HttpNotSentError


class Abortable(asyncio.Protocol):
    """A protocol whose connection can be closed at once."""

    def abort(self) -> None:
        """Close the connection at once."""


P = TypeVar("P", bound=Abortable)


class Connector(Protocol):
    """Opens connections to ``IP:PORT`` addresses."""

    async def connect(self, *, address: str, protocol: Callable[[], P], timeout: float) -> P:
        """Open a connection and return its protocol.

        Args:
            address: The ``IP:PORT``.
            protocol: Returns a new protocol.
            timeout: Seconds that it may take.

        Raises:
            HttpNotSentError: No connection could be made.
        """


class DirectConnector:
    """Opens connections straight to their addresses."""

    async def connect(self, *, address: str, protocol: Callable[[], P], timeout: float) -> P:
        """Open a connection; arguments and failures as for `Connector.connect`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(protocol, host, int(port))
        except OSError as error:
            # TimeoutError is an OSError.
            raise HttpNotSentError(address=address, reason=reason_of(error)) from error
        return connection
