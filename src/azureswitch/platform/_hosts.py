"""The host list over HTTP and JSON."""

from http import HTTPStatus

import msgspec

from azureswitch.client import HttpClient
from azureswitch.exceptions import HostListError, HttpError
from azureswitch.platform._wire import HOSTS_PATH, WireHosts
from azureswitch.ports import ListedHost

DEFAULT_TIMEOUT_SECONDS = 2.0
"""Timeout of a call, in seconds."""


class HttpHostList:
    """Implements the `azureswitch.ports.HostList` port over HTTP."""

    def __init__(self, *, address: str, timeout: float = DEFAULT_TIMEOUT_SECONDS) -> None:
        self._client = HttpClient(address=address)
        self._timeout = timeout

    async def hosts(self) -> tuple[ListedHost, ...]:
        """Return the live and the leaving hosts.

        Raises:
            HostListError: The host list is unavailable or its response is invalid.
        """
        try:
            answer = await self._client.request(
                method="GET", path=HOSTS_PATH, timeout=self._timeout
            )
            if answer.head.status != HTTPStatus.OK:
                raise HostListError()
            return msgspec.json.decode(answer.body, type=WireHosts).items
        except (HttpError, ValueError) as error:
            raise HostListError() from error

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
