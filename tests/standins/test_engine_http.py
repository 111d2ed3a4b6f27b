"""The engine behind its HTTP interface."""

import asyncio
import json
from contextlib import asynccontextmanager

import httpx
import pytest
from msgspec.json import encode

from azureswitch.core import CallId, HostName, Incarnation
from azureswitch.ports import EngineRequest, Holding, HoldingKind, Order, OrderKind, Surface
from azureswitch_standins.engine import (
    EngineFaults,
    EngineSettings,
    EngineStandin,
    chat_text,
    expected_answer,
)
from tests.waiting import PATIENCE, reach

OWNER = Incarnation(host=HostName("h1"), started=1)
PROMPT = "What angle suits a dish in Tacoma? " * 100


@asynccontextmanager
async def engines(count=1, *, speed=50.0, grace=0.2, **settings):
    """Run engines, each with a client."""
    made = [
        EngineStandin(settings=EngineSettings(name=f"e{i}", **settings), speed=speed, grace=grace)
        for i in range(count)
    ]
    for engine in made:
        await engine.start()
    clients = [
        httpx.AsyncClient(base_url=f"http://{engine.address}", timeout=PATIENCE) for engine in made
    ]
    try:
        yield [item for pair in zip(made, clients, strict=True) for item in pair]
    finally:
        for engine, client in zip(made, clients, strict=True):
            await client.aclose()
            await engine.stop()


def body(**fields):
    """Return a completion's body."""
    return {"model": "base", "prompt": PROMPT, "max_tokens": 20, "stream": True, **fields}


def read_events(text):
    """Return the events before the end, and whether the end is there."""
    events = [event.removeprefix("data: ") for event in text.split("\n\n") if event]
    done = events[-1] == "[DONE]"
    return [json.loads(event) for event in events[: -1 if done else None]], done


async def post(client, path, content, **headers):
    """Post and return the answer."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    if not isinstance(content, bytes):
        content = encode(content)
    return await client.post(path, content=content, headers=named, timeout=PATIENCE)


async def kv(client, verb, **fields):
    """Post to one of the KV endpoints."""
    return await post(client, f"/engine/kv/{verb}", fields)


def held(id, *, tokens, kind=HoldingKind.RESERVATION):
    """Return a holding for the first attempt at request r1."""
    return Holding(id=id, kind=kind, call=CallId("r1"), attempt=1, owner=OWNER, tokens=tokens)


async def link(first, last, *, tokens):
    """Prefill the first 500 tokens at one engine and import them at another, as request r1."""
    part = held("a/1", tokens=500)
    request = EngineRequest(
        call=CallId("r1"),
        attempt=1,
        owner=OWNER,
        surface=Surface.COMPLETION,
        body=encode(body()),
        cache_scope="",
        priority=1,
        timeout=9.0,
    )
    await kv(first, "reserve", holding=part)
    await kv(last, "reserve", holding=held("b/1", tokens=tokens))
    await kv(first, "prefill", holding=part, request=request, start=0)
    address = (await kv(first, "export", holding=part)).json()["address"]
    copy = held("c/1", tokens=0, kind=HoldingKind.IMPORT)
    assert (await kv(last, "fetch", holding=copy, source=address)).status_code == 200


async def seen(client, *, call="r1", **fields):
    """Return how a streamed request looks to its sender."""
    text = ""
    sent = client.stream(
        "POST", "/v1/completions", json=body(**fields), headers={"x-request-id": call}
    )
    try:
        async with sent as answer:
            async for part in answer.aiter_text():
                text += part
    except httpx.ReadTimeout:
        return "late"
    except httpx.ConnectError:
        return "unreached"
    except httpx.TransportError:
        return "cut"
    if answer.status_code != 200:
        return json.loads(text)["error"]["type"]
    return "whole" if read_events(text)[0][0]["id"] == call else "crossed"


class TestCompletions:
    """Answers, whole and streamed."""

    @pytest.mark.parametrize("chat", [False, True])
    @pytest.mark.parametrize("offset", [0, 7, 20])
    def test_streamed(self, chat, offset):
        """A streamed answer is whole, is that of its prompt, and says what it used."""

        async def scenario():
            async with engines() as (_, client):
                content = body(messages=[{"role": "user", "content": PROMPT}])
                path = Surface.CHAT.value if chat else Surface.COMPLETION.value
                headers = {"x_request_id": "r1", "x_resume_from": str(offset)}
                return await post(client, path, content, **headers)

        answer = asyncio.run(scenario())
        events, done = read_events(answer.text)
        prompt = chat_text(messages=[("user", PROMPT)]) if chat else PROMPT
        choices = [event["choices"][0] for event in events]
        texts = [c["delta"].get("content", "") if chat else c["text"] for c in choices]
        assert texts == [*expected_answer(prompt, 20)[offset:], ""]
        assert {event["id"] for event in events} == {"r1"}
        assert done
        assert events[-1]["usage"]["completion_tokens"] == 20
        assert choices[-1]["finish_reason"] == "length"

    def test_whole(self):
        """An answer that is not streamed has the same text."""

        async def scenario():
            async with engines() as (_, client):
                return await post(client, "/v1/completions", body(stream=False))

        text = asyncio.run(scenario()).json()["choices"][0]["text"]
        assert text == "".join(expected_answer(PROMPT, 20))

    @pytest.mark.parametrize(
        ("content", "status", "type_"),
        [
            (b"{", 400, "malformed_body"),
            (body(prompt=None), 400, "malformed_body"),
            (body(max_tokens=0), 400, "malformed_body"),
            (body(model="none"), 404, "model_not_found"),
            (body(prompt="x" * 9_000), 400, "context_length_exceeded"),
        ],
    )
    def test_refused(self, content, status, type_):
        """A wrong request gets a typed answer that says that it did not run."""

        async def scenario():
            async with engines(memory=2_000) as (_, client):
                return await post(client, "/v1/completions", content)

        answer = asyncio.run(scenario())
        error = answer.json()["error"]
        assert (answer.status_code, error["type"], error["not_run"]) == (status, type_, True)

    def test_broken_connection(self):
        """An attempt outlives its connection for the grace, can be attached to, then is freed."""
        # The whole answer takes 40 s, so that only the end of the grace can free its memory.

        async def scenario():
            async with engines(speed=5.0, grace=1.0) as (engine, client):
                content, headers = encode(body(max_tokens=10_000)), {"x-request-id": "r1"}
                sent = client.stream("POST", "/v1/completions", content=content, headers=headers)
                async with sent as answer:
                    await anext(answer.aiter_bytes())
                attached = client.stream("GET", "/engine/requests/r1/1/stream?offset=1")
                text = ""
                async with attached as answer:
                    async for part in answer.aiter_text():
                        text += part
                        if text.count("\n\n") > 30:
                            break
                used = engine.counters.memory_used
                await reach(lambda: not engine.counters.running)
                gone = await client.get("/engine/requests/r1/1/stream?offset=1")
                return text, used, engine.counters, gone.status_code

        text, used, counters, status = asyncio.run(scenario())
        events, _ = read_events(text)
        texts = [event["choices"][0]["text"] for event in events[:30]]
        assert texts == expected_answer(PROMPT, 31)[1:]
        assert used > 0
        assert (counters.memory_used, counters.failed, counters.running) == (0, 1, 0)
        assert status == 404

    @pytest.mark.parametrize(
        ("faults", "outcome"),
        [
            (EngineFaults(refuse=True), "refused"),
            (EngineFaults(cut_after=5), "cut"),
            (EngineFaults(cross=True), "crossed"),
            (EngineFaults(stall=0.25), "late"),
            (EngineFaults(delay=5.0), "late"),
            (EngineFaults(dead=True), "unreached"),
        ],
    )
    def test_faults(self, faults, outcome):
        """Each fault shows as what it stands for."""

        async def scenario():
            async with engines() as (engine, client):
                await engine.set_faults(faults=faults)
                late = outcome == "late"
                client.timeout = httpx.Timeout(PATIENCE, read=0.15 if late else PATIENCE)
                found = await seen(client)
                if faults.stall:
                    await reach(lambda: engine.counters.runs)
                counted = engine.counters
                await engine.set_faults(faults=EngineFaults())
                client.timeout = httpx.Timeout(PATIENCE)
                return found, counted.runs, await seen(client, call="r2")

        found, runs, after = asyncio.run(scenario())
        assert found == outcome
        assert bool(runs) == (outcome in ("cut", "crossed") or faults.stall > 0)
        assert after == "whole"

    def test_death_loses_memory(self):
        """A killed engine breaks its streams and comes back empty on the same address."""

        async def scenario():
            async with engines() as (engine, client):
                running = asyncio.create_task(seen(client, max_tokens=50_000))
                await reach(lambda: engine.counters.running)
                await engine.kill()
                lost = await running
                await engine.revive()
                report = (await client.get("/engine/load")).json()
                return lost, report["started"], engine.counters

        lost, started, counters = asyncio.run(scenario())
        assert (lost, started) == ("cut", 2)
        assert (counters.memory_used, counters.failed) == (0, 1)


class TestControl:
    """KV, orders, cancel and reports over HTTP."""

    def test_prompt_over_two_engines(self):
        """A prompt over one engine's memory streams whole, and releasing frees all."""

        async def scenario():
            async with engines(2, memory=600) as (one, first, two, last):
                await link(first, last, tokens=397)
                answer = await post(last, "/v1/completions", body(), x_request_id="r1")
                used = (one.counters.memory_used, two.counters.memory_used)
                for holding in ("a/1", "b/1", "c/1"):
                    for client in (first, last):
                        await kv(client, "release", holding=holding)
                return answer.text, used, one.counters.memory_used + two.counters.memory_used

        text, used, left = asyncio.run(scenario())
        events, done = read_events(text)
        assert [event["choices"][0]["text"] for event in events[:-1]] == expected_answer(PROMPT, 20)
        assert (done, used, left) == (True, (500, 397), 0)

    def test_lost_member_breaks_the_stream(self):
        """A stream that reads a span at an engine that dies ends without its end event."""

        async def scenario():
            async with engines(2, speed=10.0, memory=9_000) as (one, first, two, last):
                await link(first, last, tokens=5_377)
                running = asyncio.create_task(seen(last, max_tokens=5_000))
                await reach(lambda: two.counters.running)
                await one.kill()
                return await running

        assert asyncio.run(scenario()) == "cut"

    def test_cancel_breaks_the_stream(self):
        """A cancelled attempt ends without its end event, and its memory is free at once."""

        async def scenario():
            async with engines() as (engine, client):
                running = asyncio.create_task(seen(client, max_tokens=50_000))
                await reach(lambda: engine.counters.running)
                await post(client, "/engine/requests/r1/1/priority", {"priority": 3})
                await post(client, "/engine/requests/r1/1/cancel", {})
                return await running, engine.counters.memory_used

        assert asyncio.run(scenario()) == ("cut", 0)

    def test_orders_and_reports(self):
        """Orders are fenced over HTTP, and the reports have their shapes."""

        async def scenario():
            async with engines() as (_, client):
                answers = []
                for fence in (2, 1):
                    order = Order(kind=OrderKind.ADAPTER, value="a", present=True, fence=fence)
                    answers.append(await post(client, "/engine/orders", {"order": order}))
                paths = ("/engine/state", "/engine/load", "/engine/cache?after=0", "/v1/models")
                reports = [(await client.get(path)).json() for path in paths]
                return answers, reports

        (taken, refused), (state, load, cache, models) = asyncio.run(scenario())
        assert (taken.status_code, refused.status_code) == (200, 409)
        error = refused.json()["error"]
        assert (error["type"], error["fence"], error["newest"]) == ("order_fenced", 1, 2)
        assert (state["adapters"], load["target"], cache["complete"]) == (["a"], "e0", True)
        assert models["data"] == [{"id": "base", "object": "model"}]
