"""Stand-ins of the platform: the store, model engines, the balancer's check, and real hosts.

Only the standard library is used.  All addresses are loopback addresses.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT = 1.2


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.start = now()

    def note(self, text):
        self._file.write(f"{now() - self.start:8.3f}  {text}\n")
        self._file.flush()


async def read_head(reader):
    """Return the request or status line and the headers, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def free_network():
    """Return the first three octets of loopback addresses for this run."""
    pid = os.getpid()
    return f"127.{60 + pid % 130}.{(pid // 130) % 250}"


class Store:
    """The platform's store: revisions, conditional writes, listings and watches."""

    def __init__(self, address):
        self.address = address
        self.revision = 1
        self.objects = {}
        self.history = []
        self.era = 1
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def copy(self):
        """Return what a later restore goes back to."""
        return self.revision, dict(self.objects)

    def leave(self):
        """Be away: no connection is taken, and open ones end."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def come_back(self, copy):
        """Come back from a copy, as in a drill."""
        self.revision, self.objects = copy[0], dict(copy[1])
        self.history = []
        self.era += 1
        await self.start()

    def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known is not None and known["Spec"] == spec:
            return known
        self.revision += 1
        item = {
            "Metadata": {"Name": name, "Revision": self.revision, "Created": 1, "Finalizers": [], "Deleting": False},
            "Spec": spec,
            "Status": None,
        }
        self.objects[kind, name] = item
        self._tell(kind, item, removed=False)
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._tell(kind, item, removed=True)
        return item

    def _tell(self, kind, item, *, removed):
        self.history.append((self.revision, kind, {"Removed": removed, "Object": item}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await self._answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {self.era}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/") if part][2:]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else None)
        if method == "GET" and "Watch" in query:
            return await self._watch(kind, int(query["Watch"]), int(query.get("WaitMs", "0")) / 1000)
        if method == "GET" and name is None:
            after = query.get("AfterRev", "")
            items = [i for (k, n), i in sorted(self.objects.items()) if k == kind and n > after]
            return 200, {"Items": items, "HasMore": False, "AsOf": self.revision}
        if method == "GET":
            item = self.objects.get((kind, name))
            return (404, {}) if item is None else (200, item)
        if method == "POST":
            given = json.loads(body)
            name = given["Metadata"]["Name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, self.put(kind, name, given.get("Spec"))
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        if method == "PUT":
            given = json.loads(body)
            wanted = given["Metadata"].get("Revision")
            if wanted and wanted != known["Metadata"]["Revision"]:
                return 409, known
            return 200, self.put(kind, name, given.get("Spec"))
        wanted = query.get("Revision")
        if wanted and int(wanted) != known["Metadata"]["Revision"]:
            return 409, known
        return 200, self.remove(kind, name)

    async def _watch(self, kind, since, wait):
        end = now() + wait
        if since > self.revision:
            return 410, {}
        while True:
            events = [event for at, k, event in self.history if at > since and k == kind]
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass


class Engine:
    """A model engine behind one address, which may crash and start again under a new id.

    Args:
        deadly: The part of a prompt under which it crashes as it begins to write an answer.
        down: Seconds until it is back after a crash.
    """

    def __init__(self, *, number, address, zone, store, record, deadly=None, down=3.0, first=0.3, events=20, gap=0.05, slots=8):
        self.number = number
        self.address = address
        self.zone = zone
        self._store = store
        self._record = record
        self._deadly = deadly
        self._down = down
        self._first, self._events, self._gap, self._slots = first, events, gap, slots
        self._server = None
        self._writers = set()
        self._starts = 0
        self.id = ""
        self.alive = False
        self.running = 0
        self.runs = []
        self.on_crash = lambda engine, why: None

    async def start(self):
        self._starts += 1
        self.id = f"i-{self.number}-{self._starts}"
        self.born = int(time.time() * 1000)
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.alive = True
        self.running = 0
        self._store.put("servers", self.id, {
            "Service": "pool", "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Slots": self._slots, "State": "in_service", "ColdLeftMs": 0, "Sequence": 0,
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "born": self.born,
        })
        self._record.note(f"engine {self.id} starts at {self.address}")

    def crash(self, why):
        """End as a process does that is killed: its connections break, its entry lapses later."""
        if not self.alive:
            return
        self.alive = False
        self._record.note(f"engine {self.id} crashes ({why}), {self.running} requests run there")
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.on_crash(self, why)
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT, self._store.remove, "servers", self.id)
        loop.call_later(self._down, lambda: asyncio.ensure_future(self.start()))

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return
        line, headers = head
        await reader.readexactly(int(headers.get("content-length", "0")))
        me = self.id
        if line.startswith("POST /api/order"):
            body = b'{"Free":400000}'
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return
        call = headers.get("x-azureswitch-attempt-id", "")
        echo = f"X-Azureswitch-Attempt-Id: {call}\r\n"
        if headers.get("x-azureswitch-target-instance", me) != me:
            writer.write(f"HTTP/1.1 421 Misdirected\r\n{echo}X-Azureswitch-Instance-Id: {me}\r\nContent-Length: 0\r\n\r\n".encode())
            return
        if self.running >= 3 * self._slots:
            writer.write(f"HTTP/1.1 503 Full\r\n{echo}X-Azureswitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        self.running += 1
        # A caller that closes its connection ends its request here.
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await self._run(call, headers, writer, echo, me, gone)
        finally:
            gone.cancel()
            if self.id == me:
                self.running -= 1

    async def _run(self, call, headers, writer, echo, me, gone):
        first = int(headers.get("last-event-id", "0")) + 1
        self.runs.append((now(), call, me))
        self._record.note(f"engine {me} runs {call} from event {first}")
        await asyncio.wait((gone,), timeout=self._first)
        if gone.done() or self.id != me or not self.alive:
            return
        parts = [part.partition(":")[0] for part in headers.get("x-azureswitch-prompt-prefix", "").split(",")]
        if self._deadly is not None and self._deadly in parts:
            self.crash(f"it begins to answer {call}")
            return
        writer.write(
            f"HTTP/1.1 200 OK\r\n{echo}X-Azureswitch-Response-Seal: {me}\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(first, self._events + 1):
            data = f"id: {number}\ndata: {call} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            if number < self._events:
                await asyncio.wait((gone,), timeout=self._gap)
            if gone.done() or not self.alive or self.id != me:
                return
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self._record.note(f"engine {me} has answered {call}")


class Host:
    """One real host, started by the command of the deploy file."""

    def __init__(self, *, name, ip, zone, zones, store, folder, port):
        self.name, self.ip, self.port = name, ip, port
        self.front = f"{ip}:{port}"
        self.settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self.process = None
        listed = "\n".join(f'{item} = "r"' for item in zones)
        self.settings.write_text(f"""
NodeName = "{name}"
Role = "edge"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{ip}"
Zone = "{zone}"
Region = "r"
InternalPorts = [{port + 3}, {port + 18}]
ActiveContracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[Zones]
{listed}
[ListenAddrs]
Front = "{ip}:{port}"
Ready = "{ip}:{port + 1}"
[Limits]
MemoryMb = 300
MaxFds = 4200
[Bounds]
StabilityWindowMs = 3000
DrainMs = 2000
GraceS = 8
ConfigApplyMs = 2000
BudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 100
RecoveryS = 12
stall_ms = 1500
HoldMaxMs = 20000
[Platform]
Address = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
""", encoding="utf-8")

    async def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["AZURESWITCH_SETTINGS"] = str(self.settings)
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "deploy/edge.py", self.front,
                cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            )

    async def ready(self):
        return await ask_ready(f"{self.ip}:{self.port + 1}")

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def ask_ready(address):
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await read_head(reader)
            writer.close()
            return head is not None and " 200 " in head[0]
    except (OSError, TimeoutError):
        return False


class Answer:
    """What a client got: a status (0 for a connection that ended), whether whole, and the body."""

    def __init__(self):
        self.status, self.headers, self.whole, self.body = 0, {}, False, b""


async def send(front, *, path, call, key, headers=(), body=b"", timeout=10.0, host="a.example"):
    """Send one request on a new connection, and return its answer."""
    answer = Answer()
    ip, _, port = front.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [
                f"POST {path} HTTP/1.1", f"Host: {host}", f"X-Azureswitch-Attempt-Id: {call}",
                f"X-Azureswitch-Time-Remaining: {int(timeout * 1000)}", f"Authorization: Bearer {key}",
                f"Content-Length: {len(body)}", *headers, "", "",
            ]
            writer.write("\r\n".join(lines).encode() + body)
            head = await read_head(reader)
            if head is None:
                return answer
            answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
            if head[1].get("transfer-encoding") == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    data = await reader.readexactly(size + 2)
                    if not size:
                        break
                    answer.body += data[:-2]
            else:
                answer.body = await reader.readexactly(int(head[1].get("content-length", "0")))
            answer.whole = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer
