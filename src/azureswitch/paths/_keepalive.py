"""Socket options by which the end of a host is noticed on an open tunnel."""

from asyncio import BaseTransport
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2

USER_TIMEOUT_MILLISECONDS = 3_000
"""Milliseconds after which unacknowledged bytes, or unanswered probes, end a connection.

Where it is set, it decides instead of the count of probes.
"""


def set_keepalive(transport: BaseTransport) -> None:
    """Have the kernel give up a connection whose other end is gone."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
