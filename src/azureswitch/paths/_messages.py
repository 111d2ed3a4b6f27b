"""How a tunnel is asked for: an HTTP/1.1 request whose body and answer are chunked.

The chunks hold the bytes of the connection to the target.  The last chunk of the answer says that
the target has closed that connection; an answer without it was broken off.
"""

from http import HTTPStatus
from math import isfinite

from msgspec import Struct

from azureswitch.exceptions import TunnelRefusal

TUNNEL_PATH = "/tunnel/"
"""Path of a tunnel, before the ``IP:PORT`` that it leads to."""

REQUEST_HEADER = "tunnel-request"
"""Header with the id of the request that the tunnel is for."""

NEW_WORK_HEADER = "tunnel-new-work"
"""Header that says whether the tunnel carries new work for the target: ``1`` or ``0``."""

MAX_REQUEST_ID = 256
"""Most characters of that id that are sent; callers choose its length, and it is only logged."""

SECONDS_HEADER = "tunnel-seconds"
"""Header with the seconds after which the tunnel is broken off."""

REFUSAL_HEADER = "tunnel-refusal"
"""Header of an answer that refuses a tunnel, with a `TunnelRefusal`."""

MAX_SECONDS = 3_600.0
"""Most seconds for which a tunnel stays open."""

LAST_CHUNK = b"0\r\n\r\n"

OPENED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

_STATUSES = {
    TunnelRefusal.NOT_A_HOST: HTTPStatus.FORBIDDEN,
    TunnelRefusal.UNKNOWN_TARGET: HTTPStatus.NOT_FOUND,
    TunnelRefusal.WITHHELD: HTTPStatus.CONFLICT,
    TunnelRefusal.UNREACHABLE: HTTPStatus.BAD_GATEWAY,
}
"""Statuses of refusals; any other is 503."""


class TunnelRequest(Struct, frozen=True, kw_only=True):
    """What a host asks for.

    Attributes:
        address: ``IP:PORT`` of the target.
        request: The id of the request that it is for; empty for none.
        new_work: Whether it carries new work for the target, such as a request.
        seconds: Seconds after which it is broken off, so that it does not outlive a host that died.
    """

    address: str
    request: str = ""
    new_work: bool = True
    seconds: float = MAX_SECONDS


def encode_request(asked: TunnelRequest) -> bytes:
    """Return the head of the request for a tunnel."""
    lines = (
        f"POST {TUNNEL_PATH}{asked.address} HTTP/1.1",
        f"host: {asked.address}",
        f"{REQUEST_HEADER}: {asked.request[:MAX_REQUEST_ID]}",
        f"{NEW_WORK_HEADER}: {int(asked.new_work)}",
        f"{SECONDS_HEADER}: {asked.seconds:.3f}",
        "transfer-encoding: chunked",
        "",
        "",
    )
    return "\r\n".join(lines).encode("latin-1")


def encode_refusal(refusal: TunnelRefusal) -> bytes:
    """Return the answer that refuses a tunnel."""
    status = _STATUSES.get(refusal, HTTPStatus.SERVICE_UNAVAILABLE)
    lines = (
        f"HTTP/1.1 {status.value} {status.phrase}",
        f"{REFUSAL_HEADER}: {refusal.value}",
        "content-length: 0",
        "connection: close",
        "",
        "",
    )
    return "\r\n".join(lines).encode("latin-1")


def decode_refusal(value: str) -> TunnelRefusal:
    """Return the refusal of a header; one that is not known is `TunnelRefusal.OTHER`."""
    try:
        return TunnelRefusal(value)
    except ValueError:
        return TunnelRefusal.OTHER


def decode_seconds(value: str) -> float:
    """Return the seconds of a header, within bounds; those that cannot be read are the most."""
    try:
        seconds = float(value)
    except ValueError:
        return MAX_SECONDS
    return min(MAX_SECONDS, max(0.0, seconds)) if isfinite(seconds) else MAX_SECONDS


def chunk(data: bytes) -> bytes:
    """Return bytes as a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
