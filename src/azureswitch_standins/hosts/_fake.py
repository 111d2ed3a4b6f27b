"""The host list as an object for tests, with its lag."""

import asyncio
from collections import deque
from collections.abc import Iterable

from azureswitch.exceptions import HostListError
from azureswitch.ports import ListedHost

DEFAULT_LAG = 2.0
"""Seconds by which the list is behind the truth."""


class HostListFake:
    """The `azureswitch.ports.HostList` port over a list that lags.

    Time is that of the running event loop.
    """

    def __init__(self, *, hosts: Iterable[ListedHost] = (), lag: float = 0.0) -> None:
        self._lag = lag
        self._down = False
        self._truth = {host.name: host for host in hosts}
        self._shown = tuple(self._truth.values())
        self._pending: deque[tuple[float, tuple[ListedHost, ...]]] = deque()

    @property
    def down(self) -> bool:
        """Whether the list cannot be read; set it to change that."""
        return self._down

    @down.setter
    def down(self, down: bool) -> None:
        self._down = down

    @property
    def truth(self) -> tuple[ListedHost, ...]:
        """The hosts as they are, before the lag."""
        return tuple(self._truth.values())

    def put(self, *, host: ListedHost) -> None:
        """Add a host or change its status; readers see that after the lag."""
        self._truth[host.name] = host
        self._publish()

    def remove(self, *, name: str) -> None:
        """Take a host off the list; readers see that after the lag."""
        self._truth = {key: host for key, host in self._truth.items() if key != name}
        self._publish()

    async def hosts(self) -> tuple[ListedHost, ...]:
        """Return live and leaving hosts as they were a lag ago."""
        if self._down:
            raise HostListError()
        now = asyncio.get_running_loop().time()
        while self._pending and self._pending[0][0] <= now:
            self._shown = self._pending.popleft()[1]
        return self._shown

    def _publish(self) -> None:
        if self._lag <= 0.0:
            self._shown = self.truth
            return
        due = asyncio.get_running_loop().time() + self._lag
        self._pending.append((due, self.truth))
