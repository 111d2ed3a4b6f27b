"""Interfaces that the platform implements for the gateway."""

from typing import Protocol

from azureswitch.client import Headers, HttpHead
from azureswitch.exceptions import AzureswitchError
from azureswitch.gateway._model import AnswerInfo, AttemptInfo, RequestInfo
from azureswitch.server import HttpRequest
from azureswitch.serving import (
    AnnounceQuarantine,
    AnswerPermit,
    AskPermit,
    PublishDigest,
    PublishTotals,
)

Published = PublishDigest | PublishTotals | AnnounceQuarantine | AskPermit | AnswerPermit
"""Effects of the reducer that are sent to other hosts or stored."""


class Dialect(Protocol):
    """Encodes and decodes the headers exchanged with callers and targets."""

    def read(self, request: HttpRequest) -> RequestInfo:
        """Decode a caller's headers.

        Raises:
            InvalidHeaderError: A header has a value that is not accepted.
        """

    def id_of(self, request: HttpRequest) -> str:
        """Return the caller's id of this attempt, or an empty string if there is none."""

    def sending(self, request: HttpRequest, sending: AttemptInfo) -> Headers:
        """Return the headers with which an attempt is sent to a target."""

    def decode_answer(self, head: HttpHead) -> AnswerInfo:
        """Decode the head of a target's answer."""

    def answer(self, head: HttpHead) -> Headers:
        """Return the headers of a target's answer that are forwarded to the caller."""

    def failure(self, error: AzureswitchError) -> tuple[Headers, bytes]:
        """Return the headers and body of an error of the gateway itself."""


class Reservations(Protocol):
    """Reserves memory on engines for prompts that are larger than one engine."""

    async def reserve(self, *, address: str, ticket: str, tokens: int, seconds: float) -> None:
        """Reserve memory for some seconds, or renew a reservation.

        Raises:
            TargetRefusedError: The engine has no room, or was not reached.
            TargetBrokenError: The engine may have reserved it.
        """

    async def release(self, *, address: str, ticket: str) -> None:
        """Release a reservation; does nothing if there is none.

        Raises:
            TargetRefusedError: The engine was not reached.
            TargetBrokenError: The engine may still hold it.
        """
