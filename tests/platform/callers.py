"""A client that calls edge processes."""

from azureswitch.client import HttpAnswer, HttpClient
from azureswitch.platform import header_names
from bench.soak._documents import HOST_HEADER
from tests.platform.processes import PATIENCE


async def ask(
    callers: str,
    path: str,
    *,
    id: str = "r1",
    body: bytes = b"text",
    headers: tuple[tuple[str, str], ...] = (),
) -> HttpAnswer:
    """Send a request of customer ann and return the response."""
    client = HttpClient(address=callers)
    try:
        return await client.request(
            method="POST",
            path=path,
            headers=(
                ("host", HOST_HEADER),
                (header_names.ID, id),
                (header_names.KEY, "Bearer key-ann"),
                *headers,
            ),
            body=body,
            timeout=PATIENCE,
        )
    finally:
        client.close()
