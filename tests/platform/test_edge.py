"""Runs the edge program as a process against a stand-in of the platform's store."""

import asyncio
from contextlib import suppress
from http import HTTPStatus
from os import kill
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM, Signals
from time import monotonic

import msgspec
import pytest

from azureswitch.client import HttpClient
from azureswitch.platform import header_names
from azureswitch_load.demo import free_address
from azureswitch_standins.store import StoreFaults, StoreStandin
from bench.soak._documents import DESK, HOST_HEADER, Layout, configuration, target_entry
from tests.platform.foreign import NO_TARGET, UNREADABLE
from tests.platform.processes import (
    LOG,
    NETWORK,
    PATIENCE,
    edge,
    metric,
    page,
    run,
    until_listening,
    until_metric,
)

SLOW_LOAD_SECONDS = 3.0

SLOW_LOAD = f"""\
import sys
import time

class Slow:
    def find_spec(self, name, path=None, target=None):
        if name == "azureswitch.gateway":
            time.sleep({SLOW_LOAD_SECONDS})

sys.meta_path.insert(0, Slow())
"""
"""Executed at interpreter start; delays loading of the program by some seconds."""

SLOW_END = """\
import atexit
import time

atexit.register(time.sleep, 3600.0)
"""
"""Executed at interpreter start; makes finalization of the interpreter take an hour."""

FOREIGN = (len(NO_TARGET) + any(named for _, named in UNREADABLE.values())) + sum(
    not named for _, named in UNREADABLE.values()
)
"""Number of foreign entries in the store; entries of the same name count once."""


async def until_started(ip: str, started: int) -> None:
    """Wait until the status shows a start time of the only target."""
    seen = None
    try:
        async with asyncio.timeout(PATIENCE):
            while seen != [("i-1", "z1", "serving", started)]:
                answer = await page(ip, "/status")
                assert answer.head.status == HTTPStatus.OK
                targets = msgspec.json.decode(answer.body)["targets"]
                seen = [(t["name"], t["place"], t["state"], t["started"]) for t in targets]
                await asyncio.sleep(0.02)
    except TimeoutError:
        pytest.fail(f"The status tells {seen}.")


def target(**more: int) -> bytes:
    """Return the entry of a target at an address where nothing listens."""
    return target_entry(service=DESK, address=str(free_address()), place="z1", **more)


async def fill(store: StoreStandin) -> None:
    """Write a configuration and a target."""
    value = configuration(version=1, extra=False, layout=Layout())
    await store.store.create(kind="config", name="main", value=value)
    await store.store.create(kind="servers", name="i-1", value=target())


async def replace(store: StoreStandin, kind: str, name: str, value: bytes) -> None:
    """Replace an object."""
    known = await store.store.get(kind=kind, name=name)
    await store.store.update(kind=kind, name=name, value=value, version=known.version)


class TestEdge:
    """How an edge process starts."""

    @pytest.mark.parametrize(
        ("ip", "delay", "code"),
        [
            (f"{NETWORK}.1", 0.0, "no_target"),
            (f"{NETWORK}.2", 0.1, "no_target"),
            (f"{NETWORK}.3", 5.0, "not_configured"),
        ],
    )
    def test_first_caller(self, tmp_path: Path, ip: str, delay: float, code: str) -> None:
        """A caller that connects during loading gets the first configuration or a quick refusal."""

        async def scenario() -> None:
            store = StoreStandin()
            await store.start()
            await fill(store)
            await store.set_faults(faults=StoreFaults(delay=delay))
            async with edge(tmp_path, ip=ip, store=store.address) as (callers, _):
                await until_listening(callers)
                client = HttpClient(address=callers)
                answer = await client.request(
                    method="GET",
                    path="/look/1",
                    headers=(
                        ("host", HOST_HEADER),
                        (header_names.ID, "r1"),
                        (header_names.KEY, "Bearer key-ann"),
                    ),
                    timeout=PATIENCE,
                )
                client.close()
                assert (answer.head.status, msgspec.json.decode(answer.body)["Error"]) == (
                    503,
                    code,
                )
            await store.stop()

        run(scenario)

    @pytest.mark.parametrize(
        ("ip", "number", "code"),
        [(f"{NETWORK}.4", SIGHUP, None), (f"{NETWORK}.5", SIGTERM, 0), (f"{NETWORK}.6", SIGINT, 0)],
    )
    def test_signal_while_loading(
        self, tmp_path: Path, ip: str, number: Signals, code: int | None
    ) -> None:
        """A signal during loading drops no caller; a stop takes effect after loading."""

        async def scenario() -> None:
            store = StoreStandin()
            await store.start()
            async with edge(tmp_path, ip=ip, store=store.address) as (callers, process):
                await until_listening(callers)
                process.send_signal(number)
                answer = await HttpClient(address=callers).request(
                    method="GET", path="/", timeout=PATIENCE
                )
                assert answer.head.status == 503
                if code is None:
                    assert process.returncode is None
                else:
                    assert await process.wait() == code
            await store.stop()

        run(scenario)


class TestStatus:
    """The status page of an edge process."""

    def test_started(self, tmp_path: Path) -> None:
        """A restarted target is shown with its latest start time, never with an earlier one."""

        async def scenario() -> None:
            store = StoreStandin()
            await store.start()
            value = configuration(version=1, extra=False, layout=Layout())
            await store.store.create(kind="config", name="main", value=value)
            await store.store.create(kind="servers", name="i-1", value=target(born=1_000))
            ip = f"{NETWORK}.9"
            async with edge(tmp_path, ip=ip, store=store.address):
                await until_metric(ip, "azureswitch_targets_serving", 1.0)
                await until_started(ip, 1_000)
                await replace(store, "servers", "i-1", target(born=2_000))
                await until_started(ip, 2_000)
                await replace(store, "servers", "i-1", target(born=1_000))
                value = target(born=1)
                other = await store.store.create(kind="servers", name="i-2", value=value)
                await until_metric(ip, "azureswitch_targets_serving", 2.0)
                await store.store.delete(kind="servers", name="i-2", version=other.version)
                await until_started(ip, 2_000)
            await store.stop()

        run(scenario)


class TestForeignEntries:
    """Invalid entries in the store."""

    def test_start(self, tmp_path: Path) -> None:
        """A starting host finds all valid targets, and follows changes, beside invalid entries."""

        async def scenario() -> None:
            store = StoreStandin()
            await store.start()
            await fill(store)
            for number, (foreign, _) in enumerate(UNREADABLE.values()):
                store.plant(kind="servers", name=f"f-{number:02}", entry=foreign)
            for number, (value, _) in enumerate(NO_TARGET.values()):
                await store.store.create(kind="servers", name=f"j-{number:02}", value=value)
            ip = f"{NETWORK}.7"
            async with edge(tmp_path, ip=ip, store=store.address):
                await until_metric(ip, "azureswitch_targets_serving", 1.0)
                await until_metric(ip, "azureswitch_foreign_entries", FOREIGN)
                status = msgspec.json.decode((await page(ip, "/status")).body)
                (collection,) = status["foreign"]
                assert (collection["collection"], collection["total"]) == ("servers", FOREIGN)
                assert len(collection["entries"]) == FOREIGN - collection["unnamed"]
                await replace(store, "servers", "i-1", b"{}")
                await until_metric(ip, "azureswitch_targets_serving", 0.0)
                await replace(store, "servers", "i-1", target())
                await until_metric(ip, "azureswitch_targets_serving", 1.0)
                await store.store.create(kind="servers", name="i-2", value=target())
                await until_metric(ip, "azureswitch_targets_serving", 2.0)
            await store.stop()

        run(scenario)

    def test_configuration(self, tmp_path: Path) -> None:
        """The configuration in force is kept while the newest one is unreadable."""

        async def scenario() -> None:
            store = StoreStandin()
            await store.start()
            await fill(store)
            ip = f"{NETWORK}.8"
            async with edge(tmp_path, ip=ip, store=store.address):
                await until_metric(ip, "azureswitch_targets_serving", 1.0)
                for number, value in enumerate([b"{}", b"\xff", b'{"Version":"2"}']):
                    await replace(store, "config", "main", value)
                    await store.store.create(kind="servers", name=f"j-{number}", value=target())
                    await until_metric(ip, "azureswitch_targets_serving", 2.0 + number)
                    await until_metric(ip, 'azureswitch_foreign_entries{fault="unreadable"', 1.0)
                    assert await metric(ip, "azureswitch_configuration_version") == 1.0
                value = configuration(version=2, extra=False, layout=Layout())
                await replace(store, "config", "main", value)
                await until_metric(ip, "azureswitch_configuration_version", 2.0)
                await until_metric(ip, "azureswitch_foreign_entries", 0.0)
            await store.stop()

        run(scenario)


class TestStop:
    """How an edge process stops."""

    def test_told_again(self, tmp_path: Path) -> None:
        """Repeated stop signals do not prevent a graceful stop."""

        async def scenario() -> None:
            store = StoreStandin()
            await store.start()
            await fill(store)
            async with edge(tmp_path, ip=f"{NETWORK}.31", store=store.address) as (
                callers,
                process,
            ):
                await until_listening(callers)
                while process.returncode is None:
                    # `Process.send_signal` would take the exit code away from the event loop.
                    with suppress(ProcessLookupError):
                        kill(process.pid, SIGTERM)
                    await asyncio.sleep(0.001)
                assert process.returncode == 0
            await store.stop()

        run(scenario)

    def test_slow_interpreter(self, tmp_path: Path) -> None:
        """A process ends within its grace period with a complete log if finalization is slow."""
        (tmp_path / "sitecustomize.py").write_text(SLOW_END, encoding="utf-8")

        async def scenario() -> None:
            store = StoreStandin()
            await store.start()
            await fill(store)
            path = str(tmp_path)
            async with edge(tmp_path, ip=f"{NETWORK}.10", store=store.address, PYTHONPATH=path) as (
                callers,
                process,
            ):
                await until_listening(callers)
                process.send_signal(SIGTERM)
                async with asyncio.timeout(PATIENCE):
                    assert await process.wait() == 0
            await store.stop()
            assert "Stopped." in (tmp_path / LOG).read_text(encoding="utf-8").splitlines()[-1]

        run(scenario)

    def test_told_while_loading(self, tmp_path: Path) -> None:
        """The grace period counts from the platform's signal, also during loading."""
        (tmp_path / "sitecustomize.py").write_text(SLOW_LOAD, encoding="utf-8")

        async def scenario() -> None:
            store = StoreStandin()
            await store.start()
            await fill(store)
            path = str(tmp_path)
            async with edge(tmp_path, ip=f"{NETWORK}.11", store=store.address, PYTHONPATH=path) as (
                callers,
                process,
            ):
                await until_listening(callers)
                await asyncio.sleep(SLOW_LOAD_SECONDS / 3.0)
                told = monotonic()
                process.send_signal(SIGTERM)
                async with asyncio.timeout(PATIENCE):
                    assert await process.wait() == 0
                seconds = monotonic() - told
            await store.stop()
            last = msgspec.json.decode((tmp_path / LOG).read_bytes().splitlines()[-1])
            assert last["message"] == "gateway: Stopped."
            assert SLOW_LOAD_SECONDS <= last["seconds"] <= seconds

        run(scenario)
