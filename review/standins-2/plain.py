"""Stand-in of an engine of a plain service: python3 plain.py PLAN.json NAME

It registers in the store with all fields of the users' pages, runs requests and signs its answers,
and notes on standard output what it runs.  With "other": true in its plan it is no engine but a web
server of another program: it registers nothing, knows none of the paths and answers 404.
"""

import asyncio
import json
import sys
import time

from http_small import Request, answer, read_request
from rig import exchange

PLAN = json.loads(open(sys.argv[1]).read())
NAME = sys.argv[2]
BORN = int(time.time() * 1_000)
WORK_SECONDS = 0.045
OTHER = PLAN.get("other", False)


def note(what: str, request: Request) -> None:
    id = request.headers.get("x-azureswitch-attempt-id", "")
    line = {"at": time.monotonic(), "what": what, "by": NAME, "id": id, "path": request.target}
    print(json.dumps({**line, "body": request.body.decode("latin-1")}), flush=True)


async def register() -> None:
    sequence = 0
    while True:
        sequence += 1
        spec = {
            "Service": PLAN["service"],
            "Address": PLAN["address"],
            "Zone": PLAN["zone"],
            "Version": "v1",
            "Slots": 6,
            "State": "in_service",
            "ColdLeftMs": 0,
            "Stage": "both",
            "Models": [],
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
            if OTHER:
                note("refused", request)
                page = (("Content-Type", "text/plain"), ("Server", "another-program"))
                writer.write(answer(404, b"404 page not found\n", page))
            elif request.path == "/health":
                writer.write(answer(200, headers=(("X-Azureswitch-Instance-Id", NAME),)))
            elif request.headers.get("x-azureswitch-target-instance", NAME) != NAME:
                writer.write(answer(421, headers=(("X-Azureswitch-Instance-Id", NAME),)))
            else:
                note("run", request)
                await asyncio.sleep(WORK_SECONDS)
                id = request.headers.get("x-azureswitch-attempt-id", "")
                seal = ("X-Azureswitch-Response-Seal", f"{NAME}.{id}")
                writer.write(answer(200, b"y" * 800, (("X-Azureswitch-Attempt-Id", id), seal)))
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


async def main() -> None:
    host, _, port = PLAN["address"].rpartition(":")
    server = await asyncio.start_server(serve, host, int(port))
    async with server:
        await (asyncio.Event().wait() if OTHER else register())


asyncio.run(main())
