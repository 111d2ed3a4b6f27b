"""What an entry host answers to requests for which there is no memory."""

import socket
from collections.abc import Iterator
from http.client import HTTPConnection

import httpx
import pytest
from msgspec.structs import replace

from azureswitch.buffers import REQUEST_BYTES
from tests.entry.rig import KEY, LIMITS, Rig
from tests.waiting import PATIENCE, wait_until

MEMORY = 400_000
"""Bytes of memory, half of which is the budget: too little for a body of `LARGE` bytes."""

LARGE = 150_000

HEAD = (
    "POST /v1/completions HTTP/1.1\r\nhost: a\r\n"
    f"content-type: application/json\r\nauthorization: Bearer {KEY}\r\n"
)
MODELS = f"GET /v1/models HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n"


@pytest.fixture
def rig() -> Iterator[Rig]:
    """Return a host with little memory."""
    rig = Rig(limits=replace(LIMITS, memory_bytes=MEMORY, body_bytes=LARGE))
    with rig.running():
        yield rig


def exchange(rig: Rig, sent: str) -> str:
    """Send bytes and return all that comes back until the host closes."""
    address = rig.entry.address
    with socket.create_connection((address.ip, address.port)) as caller:
        caller.settimeout(PATIENCE)
        caller.sendall(sent.encode())
        received = b""
        while piece := caller.recv(65_536):
            received += piece
        return received.decode()


def buffered(rig: Rig) -> float:
    """Return the bytes that a host holds, as it says itself."""
    page = httpx.get(f"http://{rig.entry.operations_address}/metrics").text
    (line,) = (line for line in page.splitlines() if line.startswith("azureswitch_buffered_bytes"))
    return float(line.rpartition(" ")[2])


class TestRefused:
    """A request that there is no memory for."""

    @pytest.mark.parametrize(
        "sent",
        [
            f"{HEAD}content-length: {LARGE}\r\n\r\n",
            f"{HEAD}transfer-encoding: chunked\r\n\r\n{LARGE:x}\r\n" + "a" * LARGE,
        ],
        ids=["declared length", "chunks"],
    )
    def test_before_it_is_whole(self, rig: Rig, sent: str) -> None:
        """It is refused as not run, with a time to come back in."""
        answer = exchange(rig, sent)
        assert answer.startswith("HTTP/1.1 503")
        assert "retry-after: 1" in answer
        assert '"code":"memory_short","ran":"not_run"' in answer

    def test_behind_another_request(self, rig: Rig) -> None:
        """The request before it is answered first."""
        first, second = exchange(rig, f"{MODELS}{HEAD}content-length: {LARGE}\r\n\r\n").split(
            "HTTP/1.1 "
        )[1:]
        assert first.startswith("200")
        assert second.startswith("503")

    @pytest.mark.parametrize(
        "sent",
        [MODELS, f"{HEAD}transfer-encoding: chunked\r\n\r\n4\r\nnull\r\n0\r\n\r\n"],
        ids=["without a body", "chunks"],
    )
    def test_whole_at_once(self, sent: str) -> None:
        """A request that arrives whole is refused before it begins, with one answer."""
        rig = Rig(limits=replace(LIMITS, memory_bytes=REQUEST_BYTES))
        with rig.running():
            (answer,) = exchange(rig, sent).split("HTTP/1.1 ")[1:]
        assert answer.startswith("503")
        assert '"ran":"not_run"' in answer

    def test_on_a_kept_connection(self, rig: Rig) -> None:
        """A request behind an answered one is refused with its own answer."""
        address = rig.entry.address
        caller = HTTPConnection(address.ip, address.port, timeout=PATIENCE)
        headers = {"authorization": f"Bearer {KEY}"}
        statuses = []
        for method, path, length in (
            ("GET", "/v1/models", 0),
            ("POST", "/v1/completions", LARGE),
        ):
            caller.request(method, path, headers={**headers, "content-length": str(length)})
            answer = caller.getresponse()
            statuses.append(answer.status)
            answer.read()
        assert statuses == [200, 503]

    def test_released(self, rig: Rig) -> None:
        """What a request holds is let go of once it is answered, also on a kept connection."""
        requests = MODELS * 5 + MODELS.replace("host: a", "host: a\r\nconnection: close")
        assert exchange(rig, requests).count("HTTP/1.1 200") == 6
        # The request for the metrics holds something itself.
        wait_until(lambda: REQUEST_BYTES <= buffered(rig) < 2 * REQUEST_BYTES)
