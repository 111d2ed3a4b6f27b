"""A part of a prompt that crashes engines stands behind 64 other parts.

Three real hosts stand before nine engines.  All prompts come from one customer, and consist of 81 parts:
a first one and 79 documents that all of them share, and one of their own.  From 10 s on, for 30 s, one
request a second holds a certain part in place of the 71st document.  With TROUBLE=1 that part crashes
each engine that begins to write an answer on it; the engine is back 3 s later.  BUDGET is judged: such
requests that reach engines later than 3 s after the fifth crash.
"""

import asyncio
import os
import random
import shutil
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from loopback import Engine, Host, Record, Store, free_network, now, send  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "0")) or random.SystemRandom().randrange(1, 1_000_000)

CUSTOMERS = ["c0"]
DOCUMENTS = [f"{0x21bd3f00 + n:08x}" for n in range(79)]
BAD_PLACE = 70
BAD_FROM, BAD_UNTIL, END = 10.0, 40.0, 50.0
BAD_RATE, SOUND_RATE = 1.0, 6.0
FIRST_PART, BAD_PART = "5c1e07a2", "91bd3f06"
STABILITY_SECONDS = 3.0
MOST = 3
ZONES = ("z1", "z2", "z3")

CONFIGURATION = {
    "Version": 3,
    "Routes": [{
        "Name": "ask", "Host": "a.example", "PathPrefix": "/ask/", "Kind": "streaming",
        "Service": "pool", "MaxAttempts": 2, "TimeoutMs": 10000, "TargetLatencyMs": 300,
        "GapTargetMs": 250, "StreamResume": True, "Sticky": True,
    }],
    "Services": [{"Name": "pool", "Engine": {
        "Slots": 8, "KvCapacity": 405000, "Stride": 34, "step_ms": 1.31, "per_seq_ms": 0.000917,
        "context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162,
        "report_lag_ms": 200, "usual": {"prompt": 5000, "answer": 680},
    }}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": name, "ApiKeys": [f"key-{name}"]} for name in CUSTOMERS],
}


def prompt(number, *, bad=False):
    """Return the parts of a prompt of 5,000 tokens."""
    documents = [f"{part}:60" for part in DOCUMENTS]
    if bad:
        documents[BAD_PLACE] = f"{BAD_PART}:60"
    return ",".join((f"{FIRST_PART}:40", *documents, f"{number + 65536:x}:220"))


async def main(folder):
    record = Record(os.environ.get("RECORD", HERE / "record.txt"))
    net = free_network()
    draw = random.Random(SEED)
    store = Store(f"{net}.1:24000")
    await store.start()
    store.put("config", "main", CONFIGURATION)
    engines = [
        Engine(number=n, address=f"{net}.{100 + n}:25000", zone=ZONES[n % 3], store=store, record=record,
               deadly=BAD_PART if TROUBLE else None, down=3.0, first=0.3, events=20, gap=0.05)
        for n in range(9)
    ]
    crashes = []
    for engine in engines:
        engine.on_crash = lambda crashed, why: crashes.append(now())
        await engine.start()
    hosts = [
        Host(name=f"h{n}", ip=f"{net}.{10 + n}", zone=ZONES[n], zones=ZONES, store=store.address, folder=folder, port=23000)
        for n in range(3)
    ]
    sound = []
    try:
        for host in hosts:
            await host.start()
        async with asyncio.timeout(15.0):
            while not all([await host.ready() for host in hosts]):
                await asyncio.sleep(0.1)
        begin = record.start = now()
        record.note(f"seed {SEED}, trouble {TROUBLE}")

        async def one(call, parts, results):
            customer, host, at = draw.choice(CUSTOMERS), draw.choice(hosts), now() - begin
            record.note(f"client {customer} sends {call} to {host.name}")
            answer = await send(
                host.front, path=f"/ask/{call}", call=call, key=f"key-{customer}", timeout=10.0, body=b"x" * 200,
                headers=("X-Azureswitch-Model: m", "X-Azureswitch-Token-Counts: 5000,680", f"X-Azureswitch-Prompt-Prefix: {parts}"),
            )
            text = answer.body.decode("latin-1") if answer.status >= 400 else f"{len(answer.body)} bytes"
            record.note(f"client got for {call}: {answer.status} whole={answer.whole} {text}")
            if results is not None:
                results.append((at, answer.status, answer.whole))

        async def stream(name, rate, since, until, parts, results):
            await asyncio.sleep(since)
            tasks, number = [], 0
            while now() - begin < until:
                number += 1
                tasks.append(asyncio.create_task(one(f"{name}{number}", parts(number), results)))
                await asyncio.sleep(draw.expovariate(rate))
            await asyncio.gather(*tasks)

        await asyncio.gather(
            stream("sound", SOUND_RATE, 0.0, END, prompt, sound),
            stream("bad", BAD_RATE, BAD_FROM, BAD_UNTIL, lambda n: prompt(100_000 + n, bad=True), None),
        )
        arrivals = sorted(at for engine in engines for at, call, _ in engine.runs if call.startswith("bad"))
        record.note(f"crashes of engines: {', '.join(f'{at - begin:.1f}' for at in sorted(crashes))}")
        late = []
        if len(crashes) >= 5:
            fifth = sorted(crashes)[4]
            # The request is sent some milliseconds before it arrives.
            late = [at for at in arrivals if at > fifth + STABILITY_SECONDS + 0.2]
            record.note(f"fifth crash at {fifth - begin:.1f}; requests with the part that reach engines later than 3 s after it, at most {MOST}: {len(late)}")
            broken_off = sum(status == 200 and not whole for at, status, whole in sound if at > fifth - begin + STABILITY_SECONDS)
            record.note(f"sound streams of that time that were begun and broken off: {broken_off}")
        whole = sum(status == 200 and done for _, status, done in sound)
        record.note(f"sound requests served: {whole} of {len(sound)}; requests with the part that reached engines: {len(arrivals)}")
        broken = len(late) > MOST
        record.note("BUDGET is broken" if broken else "BUDGET holds")
        valid = all([await host.ready() for host in hosts]) and len(arrivals) >= 5
        valid = valid and not any(host.process.returncode is not None for host in hosts)
        return 2 if not valid else int(broken)
    finally:
        for host in hosts:
            await host.end()


if __name__ == "__main__":
    place = Path(tempfile.mkdtemp())
    try:
        code = asyncio.run(asyncio.wait_for(main(place), 110.0))
    except Exception as error:  # The case could not run.
        print(f"The case could not run: {error!r}", file=sys.stderr)
        code = 2
    finally:
        shutil.rmtree(place, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
