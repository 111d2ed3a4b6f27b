"""Adapts the fleet's claims to the shell."""

from azureswitch.coordination.claims import Claims, Replayed
from azureswitch.core import CallId, CustomerName
from azureswitch.ports import PlainAnswer
from azureswitch.serving import ClaimOutcome

REPLAYED_HEADER = ("idempotency-replayed", "true")
"""Marks the recorded answer of an earlier call."""

SHORTENED_HEADER = ("idempotency-answer", "status-only")
"""Marks a recorded answer whose body was too large to be recorded."""


class FleetClaims:
    """The `ClaimKeeper` of a real host.

    Args:
        claims: The claims of the fleet.
    """

    def __init__(self, *, claims: Claims) -> None:
        self._claims = claims

    async def claim(
        self, *, customer: CustomerName, key: str, fingerprint: str, call: CallId, deadline: float
    ) -> PlainAnswer | None:
        """Claim a call; return None if it may be sent, otherwise the first call's answer."""
        result = await self._claims.claim(
            customer=customer, key=key, fingerprint=fingerprint, call=call, deadline=deadline
        )
        if not isinstance(result, Replayed):
            return None
        marks = (REPLAYED_HEADER,) if result.whole else (REPLAYED_HEADER, SHORTENED_HEADER)
        return PlainAnswer(
            status=result.status, headers=(*result.headers, *marks), body=result.body
        )

    async def settle(
        self, *, call: CallId, outcome: ClaimOutcome, answer: PlainAnswer | None
    ) -> None:
        """Record the outcome of a claimed call."""
        await self._claims.settle(call=call, outcome=outcome, answer=answer)
