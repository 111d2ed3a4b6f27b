"""What the client gives back."""

from msgspec import Struct

Headers = tuple[tuple[str, str], ...]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Headers that concern one connection or its framing alone, and are never passed on."""


class HttpHead(Struct, frozen=True, kw_only=True):
    """The head of an answer.

    Attributes:
        status: The HTTP status.
        headers: The headers in order, names in lower case.
    """

    status: int
    headers: Headers

    def header(self, *, name: str) -> str | None:
        """Return the first header of a lower-case name, or None."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def retry_after(self) -> float | None:
        """Seconds after which to ask again, where the server says so in seconds."""
        value = self.header(name="retry-after")
        try:
            return None if value is None else max(0.0, float(value))
        except ValueError:
            return None


class HttpAnswer(Struct, frozen=True, kw_only=True):
    """A whole answer.

    Attributes:
        head: Status and headers.
        body: The body.
    """

    head: HttpHead
    body: bytes
