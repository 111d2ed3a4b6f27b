"""Prepares several engines for a prompt that is larger than one engine's memory.

The members are reserved in the order of their names, all or nothing, so that two hosts that reach
for overlapping sets cannot hold parts of them and wait for each other: a refused reservation gives
everything back at once.
"""

from dataclasses import dataclass, replace

from azureswitch.core import TargetName
from azureswitch.ports import Engine, EngineRequest, Holding, HoldingKind


@dataclass(frozen=True, slots=True, kw_only=True)
class SpanMember:
    """One engine of a set.

    Attributes:
        target: The engine's name.
        engine: Its port.
        holding: The reservation for its span of the prompt.
        start: Where its span starts, in prompt tokens.
    """

    target: TargetName
    engine: Engine
    holding: Holding
    start: int


def span_members(
    *,
    engines: tuple[tuple[TargetName, Engine], ...],
    request: EngineRequest,
    prompt_tokens: int,
    output_tokens: int,
) -> tuple[SpanMember, ...]:
    """Divide a prompt over a set of engines.

    Args:
        engines: The engines, in the order of their spans.
        request: The request.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Output tokens at most, which the last engine holds.

    Returns:
        The members with their reservations.
    """
    span = _span(prompt_tokens, output_tokens, len(engines))
    members = []
    for index, (target, engine) in enumerate(engines):
        last = index == len(engines) - 1
        start = index * span
        holding = Holding(
            id=f"{request.call}.{request.attempt}.{index}",
            kind=HoldingKind.RESERVATION,
            call=request.call,
            attempt=request.attempt,
            owner=request.owner,
            tokens=prompt_tokens - start + output_tokens if last else span,
        )
        member = SpanMember(target=target, engine=engine, holding=holding, start=start)
        members.append(member)
    return tuple(members)


def _span(prompt_tokens: int, output_tokens: int, count: int) -> int:
    """Return the prompt tokens of each member but the last, which holds the output as well."""
    span = -(-(prompt_tokens + output_tokens) // count)
    if span * (count - 1) < prompt_tokens:
        return span
    return -(-prompt_tokens // count)


async def prepare_spans(*, members: tuple[SpanMember, ...], request: EngineRequest) -> None:
    """Reserve, prefill and link all spans, so that the last engine can run the request.

    Raises:
        TargetRefusedError: An engine has no room.
        TargetBrokenError: An engine may have acted.
    """
    for member in sorted(members, key=lambda member: member.target):
        await member.engine.reserve(holding=member.holding)
    addresses: list[str] = []
    for index, member in enumerate(members):
        await _import_spans(member=member, index=index, addresses=addresses)
        if index == len(members) - 1:
            return
        await member.engine.prefill(holding=member.holding, request=request, start=member.start)
        addresses.append(await member.engine.export(holding=member.holding))


def holding_ids(member: SpanMember, count: int) -> tuple[str, ...]:
    """Return the ids of everything that a member of a set of ``count`` may hold."""
    imports = (_import_id(member, index) for index in range(count - 1))
    return (member.holding.id, *imports)


def _import_id(member: SpanMember, index: int) -> str:
    return f"{member.holding.id}.{index}"


async def _import_spans(*, member: SpanMember, index: int, addresses: list[str]) -> None:
    for source, address in enumerate(addresses[:index]):
        holding = replace(
            member.holding, id=_import_id(member, source), kind=HoldingKind.IMPORT, tokens=0
        )
        await member.engine.fetch(holding=holding, source=address)
