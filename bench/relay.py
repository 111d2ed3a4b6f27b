"""What an entry costs on the way of a token, against calling the engine directly.

Three processes: a stand-in engine, the entry, and callers.  The callers go to the engine directly
and through the entry in turns, in the same run.  Timings depend on the machine and carry no bound.
"""

import asyncio
from collections.abc import Callable, Coroutine
from hashlib import sha256
from multiprocessing import get_context
from multiprocessing.connection import Connection
from statistics import quantiles
from time import perf_counter, process_time
from typing import Any

from msgspec import Struct

from azureswitch.client import HttpClient
from azureswitch.coordination.configuration import Changes
from azureswitch.core import CustomerName, HostName, PlaceName, ServiceName, TargetName
from azureswitch.entry import EntryPorts, EntryServer, EntrySettings
from azureswitch.inventory import (
    Customer,
    Inventory,
    Place,
    Rules,
    Service,
    ServiceKind,
    Target,
    encode,
)
from azureswitch.settings import Address
from azureswitch_standins.engine import CostModel, EngineSettings, EngineStandin
from azureswitch_standins.hosts import HostListFake
from azureswitch_standins.peers import PeersNetworkFake
from azureswitch_standins.store import StoreFake
from bench.records import Direction, Record

KEY = "bench"
PATH = "/v1/completions"
PAIRS = 300
"""Requests for the time to first token, each way."""

WARM_UP = 20
"""Requests each way before these that are not counted."""

STREAMS = 300
"""Streams side by side."""

SHORT, LONG = 50, 250
"""Output tokens of each stream, of a first and of a second flood.

The difference between the two floods is the cost of tokens without that of requests.
"""

START = 20.0
"""Seconds within which the entry must be ready."""

IDLE = 2.0
"""Seconds for which the entry is watched without callers."""

RAMP = 0.003
"""Seconds between the starts of two streams."""

LOOPS = 2_000_000
"""Turns of an empty loop that tell how fast the machine is during the run."""

TARGETS = 8
"""Engines, all in one process."""

STEP = 0.02
"""Seconds between two tokens of a stream."""

TIMEOUT = 120.0
"""Seconds that one request may take."""

LOOPBACK = Address(ip="127.0.0.1", port=0)


class Ways(Struct, frozen=True, kw_only=True):
    """Where callers send requests.

    Attributes:
        engines: The engines' addresses.
        entry: The entry's address.
    """

    engines: tuple[str, ...]
    entry: str


class Clients(Struct, frozen=True, kw_only=True):
    """Clients of the engines and of the entry."""

    direct: tuple[HttpClient, ...]
    relayed: HttpClient


class FirstTokens(Struct, frozen=True, kw_only=True):
    """Seconds to the first token, each way."""

    direct: list[float]
    relayed: list[float]


class Flood(Struct, frozen=True, kw_only=True):
    """Many streams at once.

    Attributes:
        tokens: Output tokens received.
        seconds: How long that took.
        cut: Streams that did not become whole.
    """

    tokens: int
    seconds: float
    cut: int


# --- The engine's process -------------------------------------------------------------------------


def _engine_process(pipe: Connection) -> None:
    asyncio.run(_engine(pipe))


async def _engine(pipe: Connection) -> None:
    cost = CostModel(
        decode_base=STEP, decode_sequence=0.0, decode_context=0.0, prefill_rate=10_000_000.0
    )
    settings = EngineSettings(memory=4_000_000, sequences=STREAMS, queue=STREAMS, cost=cost)
    engines = [EngineStandin(settings=settings) for _ in range(TARGETS)]
    for engine in engines:
        await engine.start()
    pipe.send(tuple(engine.address for engine in engines))
    await asyncio.to_thread(pipe.recv)
    for engine in engines:
        await engine.stop()


# --- The callers' process -------------------------------------------------------------------------


def _caller_process(pipe: Connection, ways: Ways) -> None:
    asyncio.run(_callers(pipe, ways))


async def _callers(pipe: Connection, ways: Ways) -> None:
    clients = Clients(
        direct=tuple(HttpClient(address=address) for address in ways.engines),
        relayed=HttpClient(address=ways.entry),
    )
    while (asked := await asyncio.to_thread(pipe.recv)) is not None:
        pipe.send(await _WORK[asked](clients))


async def _first_tokens(clients: Clients) -> FirstTokens:
    direct: list[float] = []
    relayed: list[float] = []
    for number in range(WARM_UP + PAIRS):
        direct.append(await _first_token(clients.direct[number % TARGETS]))
        relayed.append(await _first_token(clients.relayed))
    return FirstTokens(direct=direct[WARM_UP:], relayed=relayed[WARM_UP:])


async def _first_token(client: HttpClient) -> float:
    begun = perf_counter()
    async with _request(client, tokens=1) as answer:
        data = await answer.read()
        seconds = perf_counter() - begun
        while data:
            data = await answer.read()
    return seconds


async def _direct(clients: Clients) -> Flood:
    return await _flood(clients.direct, LONG)


async def _relayed_short(clients: Clients) -> Flood:
    return await _flood((clients.relayed,), SHORT)


async def _relayed_long(clients: Clients) -> Flood:
    return await _flood((clients.relayed,), LONG)


async def _flood(clients: tuple[HttpClient, ...], tokens: int) -> Flood:
    begun = perf_counter()
    streams = (
        _stream(clients[number % len(clients)], tokens, number * RAMP) for number in range(STREAMS)
    )
    counts = await asyncio.gather(*streams)
    return Flood(
        tokens=sum(counts),
        seconds=perf_counter() - begun,
        cut=sum(count != tokens for count in counts),
    )


async def _stream(client: HttpClient, tokens: int, pause: float) -> int:
    await asyncio.sleep(pause)
    async with _request(client, tokens=tokens) as answer:
        data: bytes = await answer.body()
    return data.count(b'"finish_reason":null') if data.endswith(b"data: [DONE]\n\n") else 0


_WORK: dict[str, Callable[[Clients], Coroutine[Any, Any, object]]] = {
    "first": _first_tokens,
    "direct": _direct,
    "short": _relayed_short,
    "long": _relayed_long,
}

_counter = iter(range(1_000_000))


def _request(client: HttpClient, *, tokens: int) -> Any:
    number = next(_counter)
    body = f'{{"model":"base","prompt":"{number}","max_tokens":{tokens},"stream":true}}'
    headers = (
        ("authorization", f"Bearer {KEY}"),
        ("content-type", "application/json"),
        ("x-request-id", f"direct-{number}"),
        ("x-attempt", "1"),
    )
    return client.stream(
        method="POST", path=PATH, headers=headers, body=body.encode(), timeout=TIMEOUT
    )


# --- The entry's process, this one ----------------------------------------------------------------


def _configuration(engines: tuple[str, ...]) -> bytes:
    pool, place = ServiceName("pool"), PlaceName("north-1")
    targets = tuple(
        Target(
            name=TargetName(f"engine-{number}"),
            service=pool,
            place=place,
            address=address,
            models=("base",),
            memory=4_000_000,
        )
        for number, address in enumerate(engines)
    )
    inventory = Inventory(
        places=(Place(name=place, region="west"),),
        services=(Service(name=pool, kind=ServiceKind.MODEL),),
        targets=targets,
        customers=(
            Customer(name=CustomerName("bench"), key_hash=sha256(KEY.encode()).hexdigest()),
        ),
    )
    return encode(inventory=inventory, rules=Rules())


async def _entry(engines: tuple[str, ...]) -> EntryServer:
    store = StoreFake()
    address = "10.0.0.1:1"
    ports = EntryPorts(
        store=store,
        hosts=HostListFake(),
        peers=PeersNetworkFake().peers(address=address),
        address=address,
    )
    settings = EntrySettings(
        host=HostName("entry-1"),
        place=PlaceName("north-1"),
        region="west",
        callers=LOOPBACK,
        peers=LOOPBACK,
        operations=LOOPBACK,
        store=LOOPBACK,
        hosts=LOOPBACK,
    )
    await Changes(store=store).propose(
        base=0, body=_configuration(engines), author="bench", change="first"
    )
    server = EntryServer(settings=settings, ports=ports, seed=1)
    await server.start()
    async with asyncio.timeout(START):
        while not server.shell.directory.revision:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)
    return server


async def _ask(pipe: Connection, work: str) -> Any:
    pipe.send(work)
    return await asyncio.to_thread(pipe.recv)


async def _measure(engines: tuple[str, ...], callers: Callable[[Ways], Connection]) -> list[Record]:
    server = await _entry(engines)
    pipe = callers(Ways(engines=engines, entry=str(server.address)))
    first: FirstTokens = await _ask(pipe, "first")
    direct: Flood = await _ask(pipe, "direct")
    idle = await _idle_share()
    short, short_cpu = await _timed(pipe, "short")
    long, long_cpu = await _timed(pipe, "long")
    pipe.send(None)
    await server.stop(graceful=False)
    short_cpu -= idle * short.seconds
    long_cpu -= idle * long.seconds
    per_token = (long_cpu - short_cpu) / (long.tokens - short.tokens)
    per_request = (short_cpu - per_token * short.tokens) / STREAMS
    return [
        *_first_records(first),
        *_cost_records(per_token=per_token, per_request=per_request),
        Record(name="relay.idle_core", value=idle, unit="share"),
        Record(
            name="relay.tokens_per_second",
            value=long.tokens / long.seconds,
            unit="1/s",
            baseline=direct.tokens / direct.seconds,
        ),
        Record(
            name="relay.cut_streams",
            value=short.cut + long.cut,
            unit="count",
            bound=0,
            direction=Direction.AT_MOST,
            baseline=direct.cut,
        ),
    ]


async def _idle_share() -> float:
    """Return the share of a core that the entry uses without callers."""
    await asyncio.sleep(IDLE / 2)
    before = process_time()
    await asyncio.sleep(IDLE)
    return (process_time() - before) / IDLE


async def _timed(pipe: Connection, work: str) -> tuple[Flood, float]:
    before = process_time()
    flood: Flood = await _ask(pipe, work)
    return flood, process_time() - before


def _first_records(first: FirstTokens) -> list[Record]:
    records = []
    for share, index in (("p50", 49), ("p95", 94)):
        direct = quantiles(first.direct, n=100)[index] * 1_000
        relayed = quantiles(first.relayed, n=100)[index] * 1_000
        name = f"relay.first_token_added_{share}"
        records.append(Record(name=name, value=relayed - direct, unit="ms", baseline=direct))
    return records


def _cost_records(*, per_token: float, per_request: float) -> list[Record]:
    return [
        Record(name="relay.cpu_per_token", value=per_token * 1e6, unit="us"),
        Record(name="relay.tokens_per_core", value=1.0 / per_token, unit="1/s"),
        Record(name="relay.cpu_per_request", value=per_request * 1e3, unit="ms"),
        Record(name="relay.token_in_loop_turns", value=per_token / _loop_turn(), unit="ratio"),
    ]


def _loop_turn() -> float:
    """Return the seconds of one turn of an empty loop, which a busy machine lengthens."""
    before = process_time()
    for _ in range(LOOPS):
        pass
    return (process_time() - before) / LOOPS


def records() -> list[Record]:
    """Measure the relay."""
    context = get_context("spawn")
    engine_pipe, engine_end = context.Pipe()
    engine = context.Process(target=_engine_process, args=(engine_end,), daemon=True)
    engine.start()
    addresses = engine_pipe.recv()
    caller_pipe, caller_end = context.Pipe()
    processes = [engine]

    def callers(ways: Ways) -> Connection:
        process = context.Process(target=_caller_process, args=(caller_end, ways), daemon=True)
        process.start()
        processes.append(process)
        return caller_pipe

    try:
        return asyncio.run(_measure(addresses, callers))
    finally:
        engine_pipe.send(None)
        for process in processes:
            process.join(timeout=5)
            process.kill()


if __name__ == "__main__":
    for record in records():
        print(f"{record.name} {record.value:.3f} {record.unit} (direct {record.baseline})")
