"""The log entries of paths and tunnels."""

from typing import ClassVar

from azureswitch.logs import Entry, Level


class _PathEntry(Entry, frozen=True, kw_only=True):
    """Base of the entries about the path to one target.

    Attributes:
        target: The target's name, or its address if it is not listed.
    """

    part: ClassVar[str] = "paths"
    target: str


class PathLostEntry(_PathEntry, frozen=True, kw_only=True):
    """A target is reached through other hosts alone.

    Attributes:
        cause: Why the direct connection failed, by `azureswitch.exceptions.NotSent`, or
            ``unanswered`` if it was opened.
        peer: A host that reaches it.
    """

    sentence: ClassVar[str] = "Path lost."
    level: ClassVar[Level] = Level.WARNING
    cause: str
    peer: str


class PathRegainedEntry(_PathEntry, frozen=True, kw_only=True):
    """A target is reached directly again.

    Attributes:
        seconds: For how long it was not.
    """

    sentence: ClassVar[str] = "Path regained."
    seconds: float


class _TunnelEntry(_PathEntry, frozen=True, kw_only=True):
    """Base of the entries of a host that carries a tunnel for another one.

    Attributes:
        id: The id of the request that it is for; empty for none.
        origin: The IP address of the other host.
    """

    id: str
    origin: str

    @property
    def request(self) -> str | None:
        """The id of the request."""
        return self.id or None


class TunnelOpenedEntry(_TunnelEntry, frozen=True):
    """A tunnel for another host was opened."""

    sentence: ClassVar[str] = "Tunnel opened."


class TunnelRefusedEntry(_TunnelEntry, frozen=True, kw_only=True):
    """A tunnel for another host was refused.

    Attributes:
        refusal: Why, by `azureswitch.exceptions.TunnelRefusal`.
    """

    sentence: ClassVar[str] = "Tunnel refused."
    refusal: str


class TunnelClosedEntry(_TunnelEntry, frozen=True, kw_only=True):
    """A tunnel for another host has ended.

    Attributes:
        whole: Whether the target has closed its connection, so that nothing was broken off.
        seconds: For how long it was open.
        sent: Bytes that were passed on to the target.
        received: Bytes that came from it.
    """

    sentence: ClassVar[str] = "Tunnel closed."
    whole: bool
    seconds: float
    sent: int
    received: int
