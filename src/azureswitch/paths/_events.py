"""Events and effects of the paths reducer."""

from azureswitch.core import Effect, Event, HostName
from azureswitch.exceptions import NotSent, TunnelRefusal


class PathEvent(Event, frozen=True, kw_only=True):
    """Something that tells of the paths to a target.

    Attributes:
        address: ``IP:PORT`` of the target.
    """

    address: str


class DirectOpened(PathEvent, frozen=True):
    """A direct connection was opened."""


class DirectFailed(PathEvent, frozen=True, kw_only=True):
    """A direct connection could not be opened.

    Attributes:
        reason: Why.
    """

    reason: NotSent


class DirectAnswered(PathEvent, frozen=True):
    """Something arrived on a direct connection."""


class DirectUnanswered(PathEvent, frozen=True):
    """A direct connection was opened and used, and broke or fell silent with nothing received."""


class TunnelOpened(PathEvent, frozen=True, kw_only=True):
    """A tunnel to the target was opened.

    Attributes:
        peer: The host that carries it.
    """

    peer: HostName


class TunnelRefused(PathEvent, frozen=True, kw_only=True):
    """A tunnel was not opened, or one that was open has failed.

    Attributes:
        peer: The host that was asked.
        refusal: Why.
    """

    peer: HostName
    refusal: TunnelRefusal


class PathLost(Effect, frozen=True, kw_only=True):
    """A target is reached through other hosts alone.

    Attributes:
        address: ``IP:PORT`` of the target.
        reason: Why a direct connection could not be opened, or None if it was not answered.
        peer: A host that reaches it.
    """

    address: str
    reason: NotSent | None
    peer: HostName


class PathRegained(Effect, frozen=True, kw_only=True):
    """A target is reached directly again.

    Attributes:
        address: ``IP:PORT`` of the target.
        seconds: For how long it was not.
    """

    address: str
    seconds: float
