"""Stand-in of an engine of a plain service that may read slowly: python3 slow.py PLAN.json NAME

It is sound: it registers, reads each request to its end, runs it once and signs its answer.  With
"bytes_per_s" in its plan it reads the body of each request no faster than that.
"""

import asyncio
import json
import socket
import sys
import time

from http_small import answer
from rig import exchange

PLAN = json.loads(open(sys.argv[1]).read())
NAME = sys.argv[2]
BORN = int(time.time() * 1_000)
RATE = PLAN.get("bytes_per_s", 0)
WINDOW = 65_536
TURN = 0.1


def note(what: str, id: str, path: str) -> None:
    line = {"at": time.monotonic(), "what": what, "by": NAME, "id": id, "path": path}
    print(json.dumps(line), flush=True)


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
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        path = head[0].split(" ")[1]
        headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
        id = headers.get("x-azureswitch-attempt-id", "")
        if headers.get("x-azureswitch-target-instance", NAME) != NAME:
            writer.write(answer(421, headers=(("X-Azureswitch-Instance-Id", NAME),)))
            await writer.drain()
            return
        note("arrived", id, path)
        left = int(headers.get("content-length", "0"))
        while left:
            data = await reader.read(min(left, int(RATE * TURN) if RATE else WINDOW))
            if not data:
                note("broken off", id, path)
                return
            left -= len(data)
            if RATE:
                await asyncio.sleep(len(data) / RATE)
        note("run", id, path)
        await asyncio.sleep(0.045)
        seal = ("X-Azureswitch-Response-Seal", f"{NAME}.{id}")
        writer.write(answer(200, b"y" * 800, (("X-Azureswitch-Attempt-Id", id), seal)))
        await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main() -> None:
    host, _, port = PLAN["address"].rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
    listener.bind((host, int(port)))
    server = await asyncio.start_server(serve, sock=listener, limit=WINDOW, backlog=512)
    async with server:
        await register()


asyncio.run(main())
