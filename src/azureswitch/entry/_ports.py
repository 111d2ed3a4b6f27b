"""Interfaces that the shell requires."""

from collections.abc import Iterable
from typing import Protocol

from azureswitch.core import CallId, CustomerName, TargetName
from azureswitch.ports import Chunk, PlainAnswer
from azureswitch.serving import Call, ClaimOutcome, Digest


class ClaimKeeper(Protocol):
    """Claims non-idempotent calls before they are sent."""

    async def claim(
        self, *, customer: CustomerName, key: str, fingerprint: str, call: CallId, deadline: float
    ) -> PlainAnswer | None:
        """Claim a call.

        Returns:
            None if this host may send the call, once; otherwise the recorded answer of the first
            call with this key.

        Raises:
            AzureswitchError: The call must not be sent; the error is the caller's answer.
        """

    async def settle(
        self, *, call: CallId, outcome: ClaimOutcome, answer: PlainAnswer | None
    ) -> None:
        """Record the outcome of a claimed call."""


class JobKeeper(Protocol):
    """Records long work, so that any host finds it."""

    async def record(self, *, call: Call, target: TargetName, attempt: int) -> str | None:
        """Record that an attempt was sent to its engine; return the job id, if there is one."""

    async def progress(self, *, call: CallId, tokens: int) -> None:
        """Record the number of output tokens."""

    async def keep(self, *, call: CallId, chunks: Iterable[Chunk]) -> None:
        """Store the whole output of an ended request, so that any host can serve it."""

    async def close(self, *, call: CallId) -> None:
        """Record that the request ended."""


class DigestSink(Protocol):
    """Sends this host's digest to its peers."""

    def __call__(self, digest: Digest) -> None:
        """Send a digest that may be lost."""
