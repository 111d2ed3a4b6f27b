"""The driver that runs one request on a set of engines."""

from asyncio import gather, get_running_loop, sleep, timeout
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from functools import partial, singledispatchmethod
from http import HTTPStatus

from absl import logging
from msgspec.structs import replace

from azureswitch.core import Effect, TargetName
from azureswitch.exceptions import (
    AzureswitchError,
    DeadlineExceededError,
    TargetRefusedError,
    TargetRejectedError,
)
from azureswitch.ports import Chunk, Engine, EngineRequest
from azureswitch.spans._model import (
    Decode,
    Export,
    Fail,
    Fetch,
    Pause,
    Prefill,
    Reserve,
    SpanBegan,
    SpanEvent,
    SpanMember,
    StepDone,
    StepFailed,
)
from azureswitch.spans._plan import divide, link
from azureswitch.spans._reduce import reduce
from azureswitch.spans._state import SpanState

_TRIES = 6
"""How often memory is given back at an engine before that is left to the sweep."""

_PAUSE = 0.25
"""Seconds before the second try to give memory back; doubled for each further one."""

_TIMEOUT = 3.0
"""Seconds for one try."""


class SpanRun:
    """One attempt at a request whose prompt is larger than one engine's memory.

    Read `stream` to its end or close it, and call `release` after that whatever happened.

    Args:
        engines: The engines, in the order of their spans; the last one decodes.
        request: The request.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Output tokens at most.
        seed: Seeds the pauses; different for every run.
    """

    def __init__(
        self,
        *,
        engines: Mapping[TargetName, Engine],
        request: EngineRequest,
        prompt_tokens: int,
        output_tokens: int,
        seed: int,
    ) -> None:
        self._engines = engines
        self._request = request
        self._members = divide(
            targets=tuple(engines),
            request=request,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        )
        self._state = SpanState(members=self._members, seed=seed)
        self._deadline = 0.0

    async def stream(self) -> AsyncIterator[Chunk]:
        """Prepare all spans, run the request and yield its output.

        Raises:
            TargetRefusedError: An engine has no room, or lost what it held for this attempt; the
                request did not run.
            TargetError: An engine failed.
            TargetRejectedError: An engine says that the request is wrong.
            DeadlineExceededError: The request's time is over.
        """
        self._deadline = get_running_loop().time() + self._request.timeout
        decode = await self._prepare()
        engine = self._engines[decode.member.target]
        try:
            async for chunk in engine.stream(request=self._timed_request()):
                yield chunk
        except TargetRejectedError as error:
            if await self._is_held(decode.member):
                raise
            # Without its reservation the engine finds the prompt too long, which it is not.
            raise TargetRefusedError(target=decode.member.target) from error

    async def release(self) -> None:
        """End the attempt and give back what any engine may hold; harmless where there is nothing.

        An engine refuses a reservation whose id was released, so that one that is still on its way
        holds nothing either.
        """
        call, attempt = self._request.call, self._request.attempt
        last = self._engines[self._members[-1].target]
        # Memory that a running attempt uses is not free before the attempt has stopped.
        await _persistently(lambda: last.cancel(call=call, attempt=attempt))
        await gather(*(self._release(index) for index in range(len(self._members))))

    async def _prepare(self) -> Decode:
        event: SpanEvent = SpanBegan(now=get_running_loop().time())
        while True:
            (effect,) = reduce(self._state, event)
            if isinstance(effect, Decode):
                return effect
            if isinstance(effect, Fail):
                raise effect.error
            event = await self._carry_out(effect)

    async def _carry_out(self, effect: Effect) -> SpanEvent:
        try:
            address = await self._run(effect)
        except TargetRejectedError as error:
            return StepFailed(now=get_running_loop().time(), error=_lost_or(error, effect))
        except AzureswitchError as error:
            return StepFailed(now=get_running_loop().time(), error=error)
        return StepDone(now=get_running_loop().time(), address=address)

    async def _is_held(self, member: SpanMember) -> bool:
        try:
            holdings = await self._engines[member.target].holdings()
        except AzureswitchError:
            return True
        return any(holding.id == member.holding.id for holding in holdings)

    @singledispatchmethod
    async def _run(self, effect: Effect) -> str:
        raise NotImplementedError(type(effect))

    @_run.register
    async def _(self, effect: Pause) -> str:
        await sleep(effect.seconds)
        return ""

    @_run.register
    async def _(self, effect: Reserve) -> str:
        await self._engines[effect.member.target].reserve(holding=effect.member.holding)
        return ""

    @_run.register
    async def _(self, effect: Prefill) -> str:
        member = effect.member
        await self._engines[member.target].prefill(
            holding=member.holding, request=self._timed_request(), start=member.start
        )
        return ""

    @_run.register
    async def _(self, effect: Export) -> str:
        return await self._engines[effect.member.target].export(holding=effect.member.holding)

    @_run.register
    async def _(self, effect: Fetch) -> str:
        engine = self._engines[effect.member.target]
        await engine.fetch(holding=effect.holding, source=effect.source)
        return ""

    def _timed_request(self) -> EngineRequest:
        left = self._deadline - get_running_loop().time()
        if left <= 0.0:
            raise DeadlineExceededError()
        return replace(self._request, timeout=left)

    async def _release(self, index: int) -> None:
        member = self._members[index]
        engine = self._engines[member.target]
        links = [link(member=member, source=source) for source in self._members[:index]]
        for holding in (member.holding, *links):
            if not await _persistently(partial(engine.release, holding=holding.id)):
                logging.warning("spans: %s may hold %s.", member.target, holding.id)
                return


def _lost_or(error: TargetRejectedError, effect: Effect) -> AzureswitchError:
    # A conflict means that memory of this attempt was released, or that an engine that held some
    # has died.  The request itself is in order and may run in another attempt.
    if error.target_status == HTTPStatus.CONFLICT and isinstance(effect, Prefill | Export | Fetch):
        return TargetRefusedError(target=effect.member.target)
    return error


async def _persistently(work: Callable[[], Awaitable[None]]) -> bool:
    for trial in range(_TRIES):
        try:
            async with timeout(_TIMEOUT):
                await work()
        except (AzureswitchError, TimeoutError):
            await sleep(_PAUSE * 2**trial)
        else:
            return True
    return False
