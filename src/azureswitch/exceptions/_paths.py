"""Connections to targets for which no path was found, or whose path was lost."""

from enum import Enum
from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError, Ran
from azureswitch.exceptions._http import HttpNotSentError
from azureswitch.exceptions._targets import TargetError, TargetRefusedError


class TunnelRefusal(Enum):
    """Why a host does not open a tunnel; the values are sent and logged."""

    NOT_A_HOST = "not_a_host"
    UNKNOWN_TARGET = "unknown_target"
    WITHHELD = "withheld"
    LEAVING = "leaving"
    BUSY = "busy"
    NO_PATH = "no_path"
    UNREACHABLE = "unreachable"
    NOT_LISTENING = "not_listening"
    NO_ANSWER = "no_answer"
    UNANSWERED = "unanswered"
    OTHER = "other"


class NoPathError(HttpNotSentError):
    """Neither this host nor another one reached an address, so nothing was sent.

    Attributes:
        witnessed: Whether another host that reaches other targets did not reach this address.
        isolated: Whether this host reaches no target at all.
    """

    code: ClassVar[str] = "no_path"
    witnessed: bool = False
    isolated: bool = False


class TunnelRefusedError(AzureswitchError):
    """Another host did not open a tunnel.

    Attributes:
        peer: The host.
        refusal: Why.
    """

    code: ClassVar[str] = "tunnel_refused"
    ran: ClassVar[Ran] = Ran.NOT_RUN
    peer: str
    refusal: TunnelRefusal

    @property
    def message(self) -> str:
        return f"{self.peer!r} opened no tunnel: {self.refusal.value}."


class TargetUnreachableError(TargetRefusedError):
    """No path led to the target, so the request was not sent.

    Attributes:
        witnessed: As at `NoPathError`; otherwise only this host's paths are known to be lost.
        isolated: As at `NoPathError`.
    """

    code: ClassVar[str] = "target_unreachable"
    witnessed: bool = False
    isolated: bool = False


class PathLostError(TargetError):
    """The connection to the target broke or fell silent, and another path leads there."""

    code: ClassVar[str] = "path_lost"
