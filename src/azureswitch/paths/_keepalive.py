"""Socket options by which the end of a host is noticed on an idle tunnel."""

from asyncio import BaseTransport
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
)

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def set_keepalive(transport: BaseTransport) -> None:
    """Have the kernel give up an idle connection whose other end is gone.

    ``TCP_USER_TIMEOUT`` is left alone: it would also end a connection whose other end lives and
    does not read for so long, and then a slow caller would lose its answer.  What is not idle ends
    with the time of its request.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
