"""The plain service over HTTP."""

import asyncio

import httpx
import pytest

from azureswitch_standins.service import ServiceFaults, ServiceStandin
from tests.waiting import PATIENCE, reach


async def call(client, **headers):
    """Send a call and return its status, or None where no answer came."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        answer = await client.put("/orders/7?x=1", content=b"van", headers=named)
    except httpx.TransportError:
        return None
    return answer.status_code


@pytest.mark.parametrize(
    ("faults", "statuses", "runs", "lost"),
    [
        (ServiceFaults(), [200, 200], 2, 0),
        (ServiceFaults(refuse=True), [503, 503], 0, 0),
        (ServiceFaults(lose_answers=1), [None, 200], 2, 1),
        (ServiceFaults(dead=True), [None, None], 0, 0),
        (ServiceFaults(delay=9.0), [None, None], 0, 0),
        (ServiceFaults(answer_delay=9.0), [None, None], 2, 0),
    ],
)
def test_faults(faults, statuses, runs, lost):
    """Each fault either runs a call or not, and the counters tell which."""

    async def scenario():
        service = ServiceStandin()
        await service.start()
        await service.set_faults(faults=faults)
        slow = faults.delay or faults.answer_delay
        timeout = httpx.Timeout(PATIENCE, read=0.1 if slow else PATIENCE)
        url = f"http://{service.address}"
        async with httpx.AsyncClient(base_url=url, timeout=timeout) as client:
            seen = [await call(client, idempotency_key="k", x_request_id=f"r{i}") for i in (1, 2)]
        await reach(lambda: service.counters.runs >= runs)
        await service.stop()
        return seen, service.counters

    seen, counters = asyncio.run(scenario())
    assert seen == statuses
    assert (counters.runs, counters.lost) == (runs, lost)
    assert counters.by_key.get("k", 0) == runs
    assert sum(counters.by_request.values()) == runs


def test_receipt():
    """A call that ran is answered by what it was and a receipt of its own."""

    async def scenario():
        service = ServiceStandin(name="votes")
        await service.start()
        async with httpx.AsyncClient(base_url=f"http://{service.address}") as client:
            answers = [(await client.post("/cast?b=2", content=b"yes")).json() for _ in range(2)]
            await client.post("/standin/faults", json={"refuse": True})
            refused = await client.post("/cast")
            counters = (await client.get("/standin/counters")).json()
        await service.stop()
        return answers, refused.json(), counters

    (first, second), refused, counters = asyncio.run(scenario())
    assert (first["receipt"], second["receipt"]) == (1, 2)
    assert (first["method"], first["path"], first["body"]) == ("POST", "/cast?b=2", "yes")
    assert first["service"] == "votes"
    assert refused["error"]["not_run"] is True
    assert (counters["runs"], counters["refused"]) == (2, 1)
