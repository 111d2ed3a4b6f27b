"""Callers, who keep their connections open until these are gone."""

import asyncio
from collections.abc import Callable
from random import Random
from time import monotonic

from azureswitch.client import Headers, HttpClient
from azureswitch.exceptions import HttpBrokenError, HttpNotSentError
from azureswitch.platform import header_names
from bench.soak._documents import EXTRA_KEY, KEYS
from bench.soak._drafts import draft, method_of, prompt_headers
from bench.soak._keepers import OVERTIME
from bench.soak._records import STREAMS, CallKind, CallRecord, Records

DEADLINE = 5.0
"""Seconds that a caller gives a request."""

PATHS = {
    CallKind.ASK: "/ask/",
    CallKind.REVIEW: "/ask/",
    CallKind.ONCE: "/once/",
    CallKind.BOOK: "/book/",
    CallKind.LOOK: "/look/",
}

MIX = (
    *[CallKind.ASK] * 8,
    *[CallKind.REVIEW] * 2,
    *[CallKind.ONCE] * 3,
    *[CallKind.BOOK] * 6,
    *[CallKind.LOOK] * 4,
)

PROMPTS = {CallKind.ASK: (1_000, 9_000), CallKind.REVIEW: (40_000, 900_000)}
"""Tokens of a prompt, from and to."""

LEAVE_SHARE = 0.06
"""Share of the streams whose callers leave before the end."""

EXTRA_SHARE = 0.08
"""Share of the requests that come with the extra key, valid or not."""


class Caller:
    """One caller, who sends one request after the other.

    Args:
        name: Its name, which its requests' ids begin with.
        hosts: Returns the hosts that take new connections now, with their addresses.
        records: Takes what becomes of each request.
        seed: Seeds what it asks.
    """

    def __init__(
        self,
        *,
        name: str,
        hosts: Callable[[], dict[str, str]],
        records: Records,
        seed: int,
    ) -> None:
        self._name = name
        self._hosts = hosts
        self._records = records
        self._random = Random(f"{seed} {name}")
        self._number = 0
        self._host = ""
        self._client: HttpClient | None = None

    async def run(self, *, stop: asyncio.Event) -> None:
        """Send requests until told to stop."""
        while not stop.is_set():
            await self._call()
            await asyncio.sleep(self._random.uniform(0.0, 0.12))
        if self._client is not None:
            self._client.close()

    async def _call(self) -> None:
        hosts = self._hosts()
        if not hosts:
            await asyncio.sleep(0.1)
            return
        if self._client is None:
            self._host = self._random.choice(sorted(hosts))
            self._client = HttpClient(address=hosts[self._host], pool_limit=1)
        call, headers, body = self._draw()
        self._records.calls[call.id] = call
        try:
            async with asyncio.timeout(_leaves_after(call, self._random)):
                await self._send(self._client, call, headers, body)
        except TimeoutError:
            call.left = monotonic()
        except HttpNotSentError:
            call.reached = False
        except HttpBrokenError:
            # Its status stays zero.
            pass
        call.ended = monotonic()
        if call.status == 0:
            self._client.close()
            self._client = None

    def _draw(self) -> tuple[CallRecord, Headers, bytes]:
        random = self._random
        self._number += 1
        kind = random.choice(MIX)
        id = f"{self._name}-{self._number}"
        path = f"{PATHS[kind]}{id}"
        body = b"" if kind is CallKind.LOOK else random.randbytes(random.choice((10, 900, 40_000)))
        key = EXTRA_KEY if random.random() < EXTRA_SHARE else random.choice(list(KEYS.values()))
        call, headers = draft(
            id=id, kind=kind, host=self._host, key=key, path=path, body=body, seconds=DEADLINE
        )
        if kind in STREAMS:
            call.tokens = random.randint(*PROMPTS.get(kind, PROMPTS[CallKind.ASK]))
            headers = (*headers, *prompt_headers(call.tokens))
        return call, headers, body

    async def _send(
        self, client: HttpClient, call: CallRecord, headers: Headers, body: bytes
    ) -> None:
        sending = client.stream(
            method=method_of(call.kind),
            path=f"{PATHS[call.kind]}{call.id}",
            headers=headers,
            body=body,
            timeout=DEADLINE + OVERTIME,
        )
        async with sending as answer:
            call.begun = True
            call.seal = answer.head.header(name=header_names.SEAL) or ""
            while data := await answer.read():
                call.body += data
            call.status = answer.head.status


def _leaves_after(call: CallRecord, random: Random) -> float | None:
    if call.kind in STREAMS and random.random() < LEAVE_SHARE:
        return random.uniform(0.05, 0.4)
    return None
