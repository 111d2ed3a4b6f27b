"""The other hosts of the system as each part sees them."""

from collections.abc import Callable, Coroutine, Iterable
from typing import Protocol, TypeAlias, TypeVar

Request = TypeVar("Request")
Reply = TypeVar("Reply")

Handled: TypeAlias = Coroutine[object, object, object | None] | object | None
"""What a handler of messages returns: a reply or none, now or once it has waited."""

DATAGRAM_LIMIT = 1_200
"""Bytes of an encoded message that ``cast`` takes at most."""


class Peers(Protocol):
    """Typed messages between the system's own processes.

    Messages are frozen data classes whose type names are unique over the project.
    """

    def handle(self, request: type[Request], handler: Callable[[Request], Handled]) -> None:
        """Register the one handler for a type of message, called or cast.

        Args:
            request: The type of message.
            handler: Returns the reply to a call, or None for a cast, or what waits for either.
                Without a wait a cast is handled as it arrives; otherwise it gets a task.
        """

    async def call(
        self, *, address: str, request: object, reply: type[Reply], timeout: float
    ) -> Reply:
        """Send a message to ``IP:PORT`` and return its reply.

        Raises:
            PeerError: No reply arrived in time.
        """

    def cast(self, *, address: str, message: object) -> None:
        """Send a message of at most `DATAGRAM_LIMIT` bytes that may be lost."""

    def cast_all(self, *, addresses: Iterable[str], message: object) -> None:
        """Send such a message to many, encoded once.

        Raises:
            PeerMessageTooLargeError: It is over the limit; nothing was sent.
        """
