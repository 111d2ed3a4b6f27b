"""Stand-in of the platform's store: python3 store.py IP:PORT HEARTBEAT_MS

Objects by kind and name, conditional writes, listings and watches, as the users' pages say.
Entries of kind `servers` are removed after three heartbeat intervals without a write.
"""

import asyncio
import json
import sys
import time

from http_small import Request, answer, read_request

JSON = (("Content-Type", "application/json"), ("Store-Era", "1"))
PAGE = 500
PAGE_BYTES = 1_000_000
RAW = "_raw"
"""Marks content that is kept as the bytes that were written."""


def encode(item: dict) -> bytes:
    """Return an object as JSON, its content as it was written."""
    spec = item["Spec"]
    if not (isinstance(spec, dict) and RAW in spec):
        return json.dumps(item).encode()
    rest = json.dumps({"Metadata": item["Metadata"], "Status": item["Status"]}).encode()
    return rest[:-1] + b', "Spec": ' + spec[RAW] + b"}"


def parse(body: bytes) -> tuple[dict, object]:
    """Return metadata and content of a written object; deeply nested content is kept as bytes."""
    try:
        document = json.loads(body)
        return document.get("Metadata") or {}, document.get("Spec")
    except RecursionError:
        head, _, spec = body.partition(b', "Spec": ')
        return json.loads(head + b"}")["Metadata"], {RAW: spec[:-1]}


class Store:
    def __init__(self, beat: float) -> None:
        self.beat = beat
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.written: dict[str, float] = {}
        self.events: list[tuple[int, str, bool, dict]] = []
        self.changed = asyncio.Condition()

    async def change(self, kind: str, item: dict, removed: bool) -> None:
        self.revision += 1
        item["Metadata"]["Revision"] = self.revision
        if removed:
            self.objects[kind].pop(item["Metadata"]["Name"], None)
        else:
            self.objects.setdefault(kind, {})[item["Metadata"]["Name"]] = item
        self.events.append((self.revision, kind, removed, encode(item)))
        async with self.changed:
            self.changed.notify_all()

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            oldest = time.monotonic() - 3.0 * self.beat
            for name, item in list(self.objects.get("servers", {}).items()):
                if self.written.get(name, 0.0) < oldest:
                    await self.change("servers", item, True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(await self.respond(request))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def respond(self, request: Request) -> bytes:
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["api", "objects"] or len(parts) not in (3, 4, 5):
            return answer(404, b"{}", JSON)
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if request.method == "GET" and name is None:
            if "Watch" in request.query:
                return await self.watch(kind, request.query)
            return self.list(kind, request.query)
        if request.method == "GET":
            return self.found(self.objects.get(kind, {}).get(name))
        return await self.write(request, kind, name)

    def found(self, item: dict | None, status: int = 200) -> bytes:
        if item is None:
            return answer(404, b"{}", JSON)
        return answer(status, encode(item), JSON)

    def list(self, kind: str, query: dict[str, str]) -> bytes:
        items = sorted(self.objects.get(kind, {}).items())
        items = [item for name, item in items if name > query.get("AfterRev", "")]
        page: list[bytes] = []
        for item in items[:PAGE]:
            if page and sum(map(len, page)) > PAGE_BYTES:
                break
            page.append(encode(item))
        more = "true" if len(items) > len(page) else "false"
        tail = f'], "HasMore": {more}, "AsOf": {self.revision}}}'
        return answer(200, b'{"Items": [' + b", ".join(page) + tail.encode(), JSON)

    async def watch(self, kind: str, query: dict[str, str]) -> bytes:
        since = int(query["Watch"])
        end = time.monotonic() + int(query.get("WaitMs", "0")) / 1_000.0
        while True:
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            left = end - time.monotonic()
            if found or left <= 0.0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        events = [
            b'{"Removed": %b, "Object": %b}' % (b"true" if removed else b"false", item)
            for _, _, removed, item in found
        ]
        tail = f'], "AsOf": {self.revision}}}'
        return answer(200, b'{"events": [' + b", ".join(events) + tail.encode(), JSON)

    async def write(self, request: Request, kind: str, name: str | None) -> bytes:
        metadata, spec = parse(request.body) if request.body else ({}, None)
        name = name or metadata.get("Name", "")
        known = self.objects.get(kind, {}).get(name)
        wanted = metadata.get("Revision") or int(request.query.get("Revision", "0"))
        if request.method == "POST" and known is not None:
            return self.found(known, 409)
        if request.method != "POST" and known is None:
            return answer(404, b"{}", JSON)
        if known is not None and wanted and wanted != known["Metadata"]["Revision"]:
            return self.found(known, 409)
        if request.method == "DELETE":
            await self.change(kind, known, True)
            return self.found(known)
        self.written[name] = time.monotonic()
        if known is not None and self.same(kind, known["Spec"], spec):
            known["Spec"] = spec
            return self.found(known)
        item = {"Metadata": {"Name": name, "Revision": 0}, "Spec": spec, "Status": None}
        await self.change(kind, item, False)
        return self.found(item)

    @staticmethod
    def same(kind: str, old: object, new: object) -> bool:
        """Return whether a write changes nothing; a heartbeat's count alone is no change."""
        if kind == "servers" and isinstance(old, dict) and isinstance(new, dict):
            old, new = {**old, "Sequence": 0}, {**new, "Sequence": 0}
        return old == new


async def main() -> None:
    host, _, port = sys.argv[1].rpartition(":")
    store = Store(float(sys.argv[2]) / 1_000.0)
    server = await asyncio.start_server(store.serve, host, int(port), limit=2**22)
    async with server:
        await store.expire()


asyncio.run(main())
