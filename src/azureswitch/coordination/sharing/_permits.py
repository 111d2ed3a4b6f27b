"""Requests permits for targets with announced limits, and answers requests of other hosts."""

from collections.abc import Callable, Iterable

from msgspec import Struct

from azureswitch.coordination.membership import Member
from azureswitch.coordination.sharing._digest import PackedLimit, pack_limit, unpack_limit
from azureswitch.core import HostName, TargetName
from azureswitch.ports import Peers
from azureswitch.serving import (
    AnswerPermit,
    AskPermit,
    Grant,
    PermitAnswered,
    PermitAsked,
    ServingEvent,
)

MILLISECONDS_PER_SECOND = 1_000
"""Milliseconds in a second; times are sent in milliseconds."""


class PermitRequest(Struct, frozen=True, kw_only=True, array_like=True):
    """Requests a permit, with what the requesting host knows of the limit."""

    host: HostName
    report: PackedLimit


class PermitReply(Struct, frozen=True, kw_only=True, array_like=True):
    """Answers a `PermitRequest`: a `Grant` in milliseconds, and what is known of the limit."""

    target: TargetName
    after: int
    valid: int
    pause: int
    report: PackedLimit | None


class PermitExchange:
    """Exchanges permits between hosts; a lost message is compensated by the next one.

    Args:
        host: This host.
        peers: Messages to other hosts.
        members: Returns the members known now.
        dispatch: Passes an event to the reducer.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        host: HostName,
        peers: Peers,
        members: Callable[[], Iterable[Member]],
        dispatch: Callable[[ServingEvent], None],
        clock: Callable[[], float],
    ) -> None:
        self._host = host
        self._peers = peers
        self._members = members
        self._dispatch = dispatch
        self._clock = clock
        peers.handle(PermitRequest, self._asked)
        peers.handle(PermitReply, self._answered)

    def ask(self, effect: AskPermit) -> None:
        """Request a permit from the owner of a target's permits."""
        request = PermitRequest(host=self._host, report=pack_limit(effect.report))
        self._cast(effect.owner, request)

    def answer(self, effect: AnswerPermit) -> None:
        """Answer the request of another host."""
        reply = PermitReply(
            target=effect.target,
            after=round(effect.grant.after * MILLISECONDS_PER_SECOND),
            valid=round(effect.grant.valid * MILLISECONDS_PER_SECOND),
            pause=round(effect.grant.pause * MILLISECONDS_PER_SECOND),
            report=None if effect.report is None else pack_limit(effect.report),
        )
        self._cast(effect.host, reply)

    def _cast(self, host: HostName, message: PermitRequest | PermitReply) -> None:
        for member in self._members():
            if member.incarnation.host == host:
                self._peers.cast(address=member.address, message=message)
                return

    def _asked(self, request: PermitRequest) -> None:
        report = unpack_limit(request.report)
        self._dispatch(PermitAsked(now=self._clock(), host=request.host, report=report))

    def _answered(self, reply: PermitReply) -> None:
        grant = Grant(
            after=reply.after / MILLISECONDS_PER_SECOND,
            valid=reply.valid / MILLISECONDS_PER_SECOND,
            pause=reply.pause / MILLISECONDS_PER_SECOND,
        )
        report = None if reply.report is None else unpack_limit(reply.report)
        event = PermitAnswered(now=self._clock(), target=reply.target, grant=grant, report=report)
        self._dispatch(event)
