"""What the gateway needs of the platform it runs on."""

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
"""What the reducer asks to be told to other hosts, or kept."""


class Dialect(Protocol):
    """The headers by which callers, this system and targets understand each other."""

    def read(self, request: HttpRequest) -> RequestInfo:
        """Decode a caller's headers.

        Raises:
            InvalidHeaderError: A header has a value that is not accepted.
        """

    def id_of(self, request: HttpRequest) -> str:
        """Return the caller's id of this one try, or nothing where it gives none."""

    def sending(self, request: HttpRequest, sending: AttemptInfo) -> Headers:
        """Return the headers with which an attempt is sent to a target."""

    def decode_answer(self, head: HttpHead) -> AnswerInfo:
        """Decode the head of a target's answer."""

    def answer(self, head: HttpHead) -> Headers:
        """Return the headers of a target's answer that go on to the caller."""

    def failure(self, error: AzureswitchError) -> tuple[Headers, bytes]:
        """Return the headers and the body that tell a caller of a failure of ours."""


class Reservations(Protocol):
    """Memory set aside on engines for a prompt that is larger than one of them."""

    async def reserve(self, *, address: str, ticket: str, tokens: int, seconds: float) -> None:
        """Set memory aside.

        Raises:
            TargetRefusedError: The engine has no room, or was not reached.
            TargetBrokenError: The engine may have set it aside.
        """

    async def release(self, *, address: str, ticket: str) -> None:
        """Free what was set aside; harmless where it is not there.

        Raises:
            TargetRefusedError: The engine was not reached.
            TargetBrokenError: The engine may still hold it.
        """
