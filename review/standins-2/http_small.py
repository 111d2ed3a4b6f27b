"""A small HTTP/1.1 server side for the stand-ins of this review."""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    path: str = ""
    query: dict[str, str] = field(default_factory=dict)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None once the other end has closed."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    parts = urlsplit(target)
    query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
    return Request(method, target, headers, body, parts.path, query)


def answer(status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()) -> bytes:
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body
