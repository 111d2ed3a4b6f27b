"""Answers without a body, on routes whose answers are streams."""

from http import HTTPStatus

import pytest

from tests.gateway.test_ends_framing import CHUNKED, NEITHER, OK, SEALED, Sent, serve, split
from tests.gateway.test_gateway import run

BARE_HEADS = {
    "chunks": CHUNKED,
    "a length": OK + b"content-length: 99\r\n\r\n",
    "neither": NEITHER,
}

PATHS = ("/ask/", "/once/")


class TestBodiless:
    """Bytes behind a head that has no body would be taken for the next answer."""

    @pytest.mark.parametrize("head", BARE_HEADS.values(), ids=BARE_HEADS.keys())
    @pytest.mark.parametrize("path", PATHS)
    def test_head(self, path: str, head: bytes) -> None:
        """Nothing follows the answer to a request for the head alone."""

        async def scenario() -> None:
            async with serve(Sent(parts=(head,))) as bed:
                status, _, rest = split(await bed.exchange("HEAD", path, body=b""))
                assert (status, rest) == (HTTPStatus.OK, b"")

        run(scenario)

    @pytest.mark.parametrize("path", PATHS)
    def test_no_content(self, path: str) -> None:
        """Nothing follows the head of an answer whose status has no body, which has no chunks."""
        head = b"HTTP/1.1 204 No Content\r\n" + SEALED + b"\r\n"

        async def scenario() -> None:
            async with serve(Sent(parts=(head,))) as bed:
                status, headers, rest = split(await bed.exchange("POST", path))
                assert (status, rest) == (HTTPStatus.NO_CONTENT, b"")
                assert b"transfer-encoding" not in headers

        run(scenario)
