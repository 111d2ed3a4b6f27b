"""How a prompt is divided over a set of engines."""

from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.ports import EngineRequest, Holding, HoldingKind
from azureswitch.spans._model import SpanMember


def divide(
    *,
    targets: tuple[TargetName, ...],
    request: EngineRequest,
    prompt_tokens: int,
    output_tokens: int,
) -> tuple[SpanMember, ...]:
    """Divide a prompt into spans of one size, the last engine's holding the output as well.

    Args:
        targets: The engines, in the order of their spans.
        request: The request.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Output tokens at most.

    Returns:
        The members, in the order of their spans.
    """
    span = _span(prompt_tokens, output_tokens, len(targets))
    last = len(targets) - 1
    return tuple(
        SpanMember(
            target=target,
            holding=Holding(
                id=f"{request.call}.{request.attempt}.{index}",
                kind=HoldingKind.RESERVATION,
                call=request.call,
                attempt=request.attempt,
                owner=request.owner,
                tokens=prompt_tokens - index * span + output_tokens if index == last else span,
            ),
            start=index * span,
        )
        for index, target in enumerate(targets)
    )


def link(*, member: SpanMember, source: SpanMember) -> Holding:
    """Return what a member holds to read an earlier span where it lies, without a copy."""
    return replace(
        member.holding,
        id=f"{member.holding.id}-{source.holding.id}",
        kind=HoldingKind.IMPORT,
        tokens=0,
    )


def _span(prompt_tokens: int, output_tokens: int, count: int) -> int:
    span = -(-(prompt_tokens + output_tokens) // count)
    if span * (count - 1) < prompt_tokens:
        return span
    # A long output would leave the last engine no prompt at all.
    return -(-prompt_tokens // count)
