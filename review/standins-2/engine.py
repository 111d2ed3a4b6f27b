"""Stand-in of a model engine: python3 engine.py PLAN.json NAME

It registers in the store, streams events, and notes on standard output what reaches it.  Where the
plan says so, it crashes (kills itself) as it begins to write an answer on a prompt that holds the
part named there, whatever else the request holds.
"""

import asyncio
import json
import os
import signal
import sys
import time

from http_small import Request, answer, read_request
from rig import exchange

PLAN = json.loads(open(sys.argv[1]).read())
NAME = sys.argv[2]
BORN = int(time.time() * 1_000)
TOKENS_PER_MS = 154.0
EVENT_SECONDS = 0.045
EVENTS = 20


def note(what: str, request: Request) -> None:
    print(
        json.dumps(
            {
                "at": time.monotonic(),
                "what": what,
                "engine": NAME,
                "id": request.headers.get("x-azureswitch-attempt-id", ""),
                "tenant": request.headers.get("x-azureswitch-tenant", ""),
                "prefix": request.headers.get("x-azureswitch-prompt-prefix", ""),
            }
        ),
        flush=True,
    )


async def register() -> None:
    sequence = 0
    while True:
        sequence += 1
        spec = {
            "Service": PLAN["service"],
            "Address": PLAN["address"],
            "Zone": PLAN["zone"],
            "Version": "v1",
            "Slots": 8,
            "State": "in_service",
            "ColdLeftMs": 0,
            "Stage": "both",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Sequence": sequence,
            "born": BORN,
        }
        body = json.dumps({"Metadata": {"Name": NAME}, "Spec": spec}).encode()
        try:
            status, _, _ = await exchange(
                PLAN["store"], "PUT", f"/api/objects/servers/{NAME}", body=body
            )
            if status == 404:
                await exchange(PLAN["store"], "POST", "/api/objects/servers", body=body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(PLAN["beat_ms"] / 1_000.0)


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while (request := await read_request(reader)) is not None:
            if request.path == "/api/order":
                writer.write(answer(200, b'{"Free":405000}'))
            elif request.path == "/health":
                writer.write(answer(200, headers=(("X-Azureswitch-Instance-Id", NAME),)))
            elif request.headers.get("x-azureswitch-target-instance", NAME) != NAME:
                writer.write(answer(421, headers=(("X-Azureswitch-Instance-Id", NAME),)))
            else:
                await stream(request, writer)
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


async def stream(request: Request, writer: asyncio.StreamWriter) -> None:
    note("arrived", request)
    headers = request.headers
    tokens = int(headers.get("x-azureswitch-token-counts", "0").split(",")[0])
    await asyncio.sleep(tokens / TOKENS_PER_MS / 1_000.0)
    parts = [part.split(":")[0] for part in headers["x-azureswitch-prompt-prefix"].split(",")]
    if PLAN["fatal"] in parts[:-1]:
        note("crashed", request)
        os.kill(os.getpid(), signal.SIGKILL)
    id = headers.get("x-azureswitch-attempt-id", "")
    writer.write(
        (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"X-Azureswitch-Attempt-Id: {id}\r\nX-Azureswitch-Response-Seal: {NAME}.{id}\r\n\r\n"
        ).encode()
    )
    for number in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        data = f"id: {number}\ndata: {'x' * 60}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")


async def main() -> None:
    host, _, port = PLAN["address"].rpartition(":")
    server = await asyncio.start_server(serve, host, int(port))
    async with server:
        await register()


asyncio.run(main())
