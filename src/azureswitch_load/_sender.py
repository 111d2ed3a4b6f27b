"""Sends one call as a well-behaved client does."""

import asyncio

from msgspec import Struct

from azureswitch.client import Headers
from azureswitch.exceptions import HttpBrokenError, HttpNotSentError
from azureswitch.ports import Surface
from azureswitch_load._answers import Reading, read_answer
from azureswitch_load._balancer import Balancer
from azureswitch_load._bodies import body
from azureswitch_load._calls import CallKind, PlannedCall
from azureswitch_load._outcome import Attempt, End, Outcome

MOST_ATTEMPTS = 4
"""Requests that a call may take."""

ANSWER_SLACK = 3.0
"""Seconds after its deadline for which an answer is waited for."""

DEFAULT_PAUSE = 0.2
"""Seconds before a request is sent again where the answer does not say."""

DEFAULT_PATIENCE = 20.0
"""Seconds for which a call that is refused is sent again."""

KEEPS_TRYING = frozenset(("idempotency_in_progress", "claim_unavailable", "outcome_unknown"))
"""Failures after which a booking is asked for again under the same key."""


class Target(Struct, frozen=True, kw_only=True):
    """What calls are sent to.

    Attributes:
        model: The model asked for.
        service: The plain service; empty for none.
        run: What tells the prompts and keys of this run from those of others.
    """

    model: str
    service: str
    run: str


class Sender:
    """Sends calls through the balancer."""

    def __init__(
        self,
        *,
        balancer: Balancer,
        target: Target,
        started: float,
        patience: float = DEFAULT_PATIENCE,
    ) -> None:
        self._balancer = balancer
        self._patience = patience
        self._target = target
        self._started = started

    async def send(self, *, call: PlannedCall) -> Outcome:
        """Send a call, again where that is safe, and return what became of it."""
        loop = asyncio.get_running_loop()
        key = f"{self._target.run}-{call.number}" if call.kind is CallKind.BOOKING else ""
        data = body(call=call, model=self._target.model, run=self._target.run)
        end = loop.time() + call.timeout
        last_try = loop.time() + min(call.timeout, self._patience)
        attempts: list[Attempt] = []
        while True:
            left = max(0.1, end - loop.time())
            attempt = await self._attempt(call=call, key=key, data=data, timeout=left)
            attempts.append(attempt)
            pause = DEFAULT_PAUSE if attempt.retry_after is None else attempt.retry_after
            in_time = loop.time() + pause < last_try
            if not (_again(call, attempt) and in_time and len(attempts) < MOST_ATTEMPTS):
                return Outcome(call=call, key=key, attempts=tuple(attempts))
            await asyncio.sleep(pause)

    async def _attempt(
        self, *, call: PlannedCall, key: str, data: bytes, timeout: float
    ) -> Attempt:
        loop = asyncio.get_running_loop()
        client = self._balancer.pick()
        method, path = self._line(call)
        record = _Record(
            entry=client.address, sent=loop.time(), started=self._started, timeout=timeout
        )
        exchange = client.stream(
            method=method,
            path=path,
            headers=_headers(call=call, key=key, timeout=timeout),
            body=data,
            timeout=timeout + ANSWER_SLACK,
            fresh=call.kind is CallKind.BOOKING,
        )
        try:
            async with exchange as answer:
                record.request = answer.head.header(name="x-request-id") or ""
                parts = []
                while part := await answer.read():
                    record.token()
                    parts.append(part)
                reading = read_answer(
                    call=call,
                    run=self._target.run,
                    key=key,
                    path=path.removeprefix(f"/s/{self._target.service}"),
                    head=answer.head,
                    body=b"".join(parts),
                )
                return record.end(reading=reading, retry_after=answer.head.retry_after)
        except HttpNotSentError:
            return record.end(reading=Reading(end=End.UNREACHED))
        except HttpBrokenError:
            return record.end(reading=Reading(end=End.BROKEN))

    def _line(self, call: PlannedCall) -> tuple[str, str]:
        match call.kind:
            case CallKind.COMPLETION:
                return "POST", Surface.COMPLETION.value
            case CallKind.CHAT:
                return "POST", Surface.CHAT.value
            case CallKind.BOOKING:
                return "POST", f"/s/{self._target.service}/bookings"
            case CallKind.LOOKUP:
                return "GET", f"/s/{self._target.service}/lookups/{call.number}"


class _Record:
    """Notes the times of one request."""

    def __init__(self, *, entry: str, sent: float, started: float, timeout: float) -> None:
        self._entry = entry
        self._sent = sent
        self._started = started
        self._timeout = timeout
        self._first: float | None = None
        self.request = ""

    def token(self) -> None:
        """Note that output arrived."""
        if self._first is None:
            self._first = asyncio.get_running_loop().time() - self._sent

    def end(self, *, reading: Reading, retry_after: float | None = None) -> Attempt:
        """Return the record of the request, which ends now."""
        return Attempt(
            request=self.request,
            entry=self._entry,
            end=reading.end,
            code=reading.failure.code,
            ran=reading.failure.ran,
            sent=self._sent - self._started,
            first_token=self._first if reading.end is End.WHOLE else None,
            timeout=self._timeout,
            seconds=asyncio.get_running_loop().time() - self._sent,
            retry_after=retry_after,
            tokens=reading.tokens,
        )


def _headers(*, call: PlannedCall, key: str, timeout: float) -> Headers:
    headers: Headers = (
        ("authorization", f"Bearer {call.caller.key}"),
        ("content-type", "application/json"),
        ("x-request-timeout", f"{timeout:.3f}"),
    )
    return (*headers, ("idempotency-key", key)) if key else headers


def _again(call: PlannedCall, attempt: Attempt) -> bool:
    if attempt.end in (End.REFUSED, End.UNREACHED):
        return True
    if call.kind is not CallKind.BOOKING:
        return False
    return attempt.end is End.BROKEN or attempt.code in KEEPS_TRYING
