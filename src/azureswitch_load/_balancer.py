"""What stands before the entries: it asks for readiness and spreads requests."""

import asyncio
from collections.abc import Sequence
from http import HTTPStatus

from azureswitch.client import HttpClient
from azureswitch.exceptions import HttpError

PROBE_PERIOD = 0.25
"""Seconds between two readiness probes of an entry."""

PROBE_TIMEOUT = 1.0
"""Seconds that a probe may take."""


class Balancer:
    """Picks a ready entry for each request, in turn."""

    def __init__(self, *, addresses: Sequence[str]) -> None:
        self._clients = {address: HttpClient(address=address) for address in addresses}
        self._ready = list(addresses)
        self._turn = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def ready(self) -> tuple[str, ...]:
        """The entries that are ready, as last probed."""
        return tuple(self._ready)

    async def start(self) -> None:
        """Probe all entries once and go on probing."""
        await self._probe_all()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop probing and close idle connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for client in self._clients.values():
            client.close()

    def pick(self) -> HttpClient:
        """Return the client of the next ready entry; of any entry where none is ready."""
        addresses = self._ready or list(self._clients)
        self._turn += 1
        return self._clients[addresses[self._turn % len(addresses)]]

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PROBE_PERIOD)
            await self._probe_all()

    async def _probe_all(self) -> None:
        answers = await asyncio.gather(*(self._probe(client) for client in self._clients.values()))
        self._ready = [
            address for address, ready in zip(self._clients, answers, strict=True) if ready
        ]

    async def _probe(self, client: HttpClient) -> bool:
        try:
            answer = await client.request(method="GET", path="/readyz", timeout=PROBE_TIMEOUT)
        except HttpError:
            return False
        return answer.head.status == HTTPStatus.OK
