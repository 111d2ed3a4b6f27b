"""Another program writes one entry that cannot be read under `servers`: are callers answered?

Rule CONFIG: of the requests that are still unanswered at their route's TimeoutMs, more than half
have no answer half a second later, at machines in touch (eight or more of them).
"""

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path

import rig as rigs
from rig import Rig, exchange

ZONES = ["a", "b", "c"]
HOSTS = 3
ENGINES = 3
EVERY = 0.1
LENGTH = 25.0
TENANTS = 10
ROUTE_SECONDS = 1.0
CALLER_SECONDS = 4.0
LATE_SECONDS = 0.5
LEAST = 8
VALUE_BYTES = 1_000_000
"""Bytes of the entry; the platform's ValueBytes allows 1,048,576."""
DEPTH = 1_200
"""Lists inside each other; an entry holds some hundred such values beside each other."""
FORM = os.environ.get("FORM", "lists")
WRITES = int(os.environ.get("WRITES", "1000"))


def configuration() -> dict:
    def route(name: str, kind: str, attempts: int) -> dict:
        return {
            "Name": name,
            "Host": "a.example",
            "PathPrefix": f"/{name}/",
            "Kind": kind,
            "Service": "desk",
            "TimeoutMs": int(ROUTE_SECONDS * 1_000),
            "TargetLatencyMs": 200,
            "Priority": 2,
            "MaxAttempts": attempts,
            "Anonymous": False,
        }

    return {
        "Version": 1,
        "Routes": [route("book", "non_idempotent", 1), route("look", "idempotent", 2)],
        "Services": [{"Name": "desk"}],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{"Name": f"t{n}", "ApiKeys": [f"key-{n}"]} for n in range(TENANTS)],
    }


def entry(number: int) -> bytes:
    """Return the bytes of the other program's entry, each time others."""
    if FORM == "text":
        return b'"%d%b"' % (number, b"x" * VALUE_BYTES)
    nested = b"[" * DEPTH + b"]" * DEPTH
    count = VALUE_BYTES // (len(nested) + 1)
    return b"[%d,%b]" % (number, b",".join([nested] * count))


class Case:
    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.random = random.Random(4)
        self.sent = 0
        self.seconds: list[float] = []
        self.answers: dict[str, int] = {}
        self.longest = 0.0

    def start_engine(self, number: int) -> None:
        name = f"engine-{number}"
        plan = self.rig.temporary / f"{name}.json"
        document = {
            "service": "desk",
            "address": f"{self.rig.net}.{100 + number}:{self.rig.ports}",
            "zone": ZONES[number % len(ZONES)],
            "store": self.rig.store,
            "beat_ms": rigs.BEAT_MS,
        }
        plan.write_text(json.dumps(document))
        program = str(rigs.HERE / "plain.py")
        self.rig.start(name, [sys.executable, "-u", program, str(plan), name])

    async def write_entries(self) -> None:
        for number in range(WRITES):
            body = b'{"Metadata": {"Name": "other"}, "Spec": %b}' % entry(number)
            status, _, _ = await exchange(self.rig.store, "POST", "/api/objects/servers", body=body)
            if status == 409:
                path = "/api/objects/servers/other"
                status, _, _ = await exchange(self.rig.store, "PUT", path, body=body)
            self.rig.note(f"the other program wrote its entry, {len(body)} bytes: {status}")
            await asyncio.sleep(rigs.BEAT_MS / 1_000.0)

    async def watch_ready(self, number: int) -> None:
        """Ask a host for its readiness, as the platform does, and note how long that takes."""
        while True:
            begun = time.monotonic()
            try:
                status, _, _ = await exchange(
                    self.rig.ready_address(number), "GET", "/api/readiness", seconds=60.0
                )
                result = str(status)
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                result = type(error).__name__
            seconds = time.monotonic() - begun
            self.longest = max(self.longest, seconds)
            if seconds > 0.5:
                self.rig.note(f"host {number} took {seconds:.2f} s to say {result} to /api/readiness")
            await asyncio.sleep(max(0.0, 1.0 - seconds))

    async def send(self, number: int) -> None:
        kind = "book" if number % 2 else "look"
        self.sent += 1
        id = f"{self.sent:06x}{self.random.getrandbits(40):010x}"
        headers = {
            "Host": "a.example",
            "X-Azureswitch-Attempt-Id": id,
            "X-Azureswitch-Time-Remaining": str(int(CALLER_SECONDS * 1_000)),
            "Authorization": f"Bearer key-{number % TENANTS}",
        }
        host = self.random.randint(1, HOSTS)
        begun = time.monotonic()
        try:
            status, _, _ = await exchange(
                self.rig.front(host),
                "POST" if kind == "book" else "GET",
                f"/{kind}/{number}",
                headers=headers,
                body=b"roof 12" if kind == "book" else b"",
                seconds=CALLER_SECONDS,
            )
            result = str(status)
        except TimeoutError:
            result = "nothing"
        except (OSError, asyncio.IncompleteReadError) as error:
            result = type(error).__name__
        seconds = time.monotonic() - begun
        self.seconds.append(seconds)
        self.rig.note(f"sent {id} {kind} to host {host}: {result} after {seconds:.2f} s")
        key = f"{kind}: {result}"
        self.answers[key] = self.answers.get(key, 0) + 1

    async def run(self) -> bool:
        rig = self.rig
        await rig.start_store()
        await rig.put("config", "main", configuration())
        for number in range(ENGINES):
            self.start_engine(number)
        await asyncio.sleep(1.0)
        contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine"]
        contracts += ["stream", "tenants", "platform", "spans"]
        for number in range(1, HOSTS + 1):
            rig.start_host(number, zones=ZONES, contracts=contracts)
        await rig.until_ready(range(1, HOSTS + 1))
        await asyncio.sleep(4.0)
        rig.note("traffic begins")
        watches = [asyncio.create_task(self.watch_ready(n)) for n in range(1, HOSTS + 1)]
        tasks = []
        begun = time.monotonic()
        writer = None
        number = 0
        while (passed := time.monotonic() - begun) < LENGTH:
            if rig.trouble and writer is None and passed >= 5.0:
                writer = asyncio.create_task(self.write_entries())
            tasks.append(asyncio.create_task(self.send(number)))
            number += 1
            await asyncio.sleep(EVERY)
        await asyncio.gather(*tasks)
        for task in (*watches, *([writer] if writer else [])):
            task.cancel()
        return self.check()

    def check(self) -> bool:
        self.rig.note_runs("engine-*.log")
        for key in sorted(self.answers):
            self.rig.note(f"{key}: {self.answers[key]}")
        longer = [seconds for seconds in self.seconds if seconds > ROUTE_SECONDS]
        late = [seconds for seconds in longer if seconds > ROUTE_SECONDS + LATE_SECONDS]
        verdict = (
            f"of {self.sent} requests {len(longer)} were unanswered at their route's TimeoutMs,"
            f" {len(late)} of them half a second later; the longest wait of a readiness check was"
            f" {self.longest:.1f} s"
        )
        self.rig.note(verdict)
        print(verdict)
        return len(longer) >= LEAST and len(late) > len(longer) / 2.0


if __name__ == "__main__":
    sys.exit(
        rigs.main(
            lambda rig: Case(rig).run(),
            Path(__file__).resolve().parent,
            title="an entry of another writer that cannot be read",
        )
    )
