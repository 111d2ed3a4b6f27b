"""Configurations are built in slices while the previous one stays in force."""

import asyncio
from asyncio import run
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic

import msgspec
import pytest

from azureswitch.client import HttpClient
from azureswitch.gateway import Gateway
from azureswitch.metrics import Metrics
from azureswitch.platform import CONFIGURATION_KIND, CONFIGURATION_NAME, TARGETS_KIND, TargetReader
from azureswitch.platform import _adoption as module
from azureswitch.platform._adoption import Adoption
from azureswitch.platform._foreign import ForeignTracker
from azureswitch.ports import StoredObject
from azureswitch.slices import GO_ON, Steps, finish, run_slice
from bench.soak._documents import target_entry
from tests.gateway.fixtures import PATIENCE, Bed, serve, usual_headers

MANY = 20_000
"""Number of routes that takes dozens of slices on any machine."""

FEW = 3


def configuration(version: int, *, routes: int = FEW, value: bytes | None = None) -> StoredObject:
    """Return a configuration with some routes."""
    body = {
        "Version": version,
        "Routes": [
            {"Host": "h", "PathPrefix": f"/{number}/", "Service": "s"} for number in range(routes)
        ],
        "Services": [{"Name": "s"}],
        "Tenants": [{"Name": "ann", "ApiKeys": ["key-ann"]}],
    }
    value = msgspec.json.encode(body) if value is None else value
    return StoredObject(
        kind=CONFIGURATION_KIND, name=CONFIGURATION_NAME, version=version, value=value
    )


def target(name: str, *, service: str = "s") -> StoredObject:
    """Return the entry of a target."""
    value = target_entry(service=service, address="10.0.0.1:80", place="z")
    return StoredObject(kind=TARGETS_KIND, name=name, version=1, value=value)


def shown(metrics: Metrics, name: str, *labels: str) -> float:
    """Return the sum of a metric over the lines with the given labels."""
    lines = [line for line in metrics.text()[0].decode().splitlines() if not line.startswith("#")]
    found = [line for line in lines if name in line and all(label in line for label in labels)]
    return sum(float(line.rpartition(" ")[2]) for line in found)


class World:
    """A gateway, and the `Adoption` that applies configurations to it.

    Args:
        gateway: The gateway.
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.metrics = Metrics()
        self.configured = 0
        self.adopted: list[int] = []
        put = gateway.activate

        def note(prepared, *, targets):
            put(prepared, targets=targets)
            self.adopted.append(self.version)

        gateway.activate = note  # type: ignore[method-assign]
        self.adoption = Adoption(
            gateway=gateway,
            reader=TargetReader(),
            foreign=ForeignTracker(
                metrics=self.metrics, kinds=(CONFIGURATION_KIND, TARGETS_KIND), clock=monotonic
            ),
            on_configured=self._count,
        )

    def _count(self) -> None:
        self.configured += 1

    @property
    def version(self) -> int:
        """The version in force, or zero."""
        deployment = self.gateway.deployment
        return 0 if deployment is None else deployment.version

    @property
    def unreadable(self) -> bool:
        """Whether the configuration in the store is reported as unreadable."""
        return shown(self.metrics, "foreign_entries", "unreadable", CONFIGURATION_KIND) > 0.0

    def take(self, *items: StoredObject) -> None:
        """Deliver configurations, each as the store's only one."""
        for item in items:
            self.adoption.configure((item,))

    async def until(self, version: int) -> None:
        """Wait until a version is in force."""
        async with asyncio.timeout(PATIENCE):
            while self.version != version:
                await asyncio.sleep(0)


def play(act: Callable[[World, Bed], object]) -> None:
    """Run a coroutine function on a gateway that has targets and no configuration."""

    async def scenario() -> None:
        async with serve(configure=lambda gateway: None) as bed:
            world = World(bed.gateway)
            world.adoption.list_targets((target("s0"),))
            await act(world, bed)
            await world.adoption.stop(timeout=PATIENCE)

    run(scenario())


class TestAdoption:
    """`Adoption`."""

    def test_small(self) -> None:
        """A configuration that fits into one slice is applied at once."""

        async def act(world: World, bed: Bed) -> None:
            world.take(configuration(1))
            assert (world.version, world.configured) == (1, 1)

        play(act)

    def test_large(self) -> None:
        """Other tasks run while a large one is built, and the previous one stays in force."""

        async def act(world: World, bed: Bed) -> None:
            world.take(configuration(1), configuration(2, routes=MANY))
            turns = 0
            while world.version == 1:
                turns += 1
                await asyncio.sleep(0)
            assert world.version == 2
            assert turns >= 5

        play(act)

    def test_newest_next(self) -> None:
        """Of those that arrive while one is built, only the newest is built next."""

        async def act(world: World, bed: Bed) -> None:
            world.take(configuration(1, routes=MANY), *(configuration(n) for n in (2, 3, 4)))
            await world.until(4)
            assert world.adopted == [1, 4]

        play(act)

    @pytest.mark.parametrize("routes", [FEW, MANY])
    @pytest.mark.parametrize("version", [4, 5])
    def test_never_back(self, version: int, routes: int) -> None:
        """A configuration with the same or an older version is ignored."""

        async def act(world: World, bed: Bed) -> None:
            world.take(configuration(5))
            world.take(configuration(version, routes=routes))
            world.take(configuration(6))
            await world.until(6)
            assert world.adopted == [5, 6]

        play(act)

    @pytest.mark.parametrize("value", [b"{}", b"\xff", b'{"Version":"9"}'])
    def test_unreadable(self, value: bytes) -> None:
        """An unreadable configuration is reported, and the next one is built."""

        async def act(world: World, bed: Bed) -> None:
            world.take(configuration(1, routes=MANY), configuration(2, value=value))
            await world.until(1)
            while not world.unreadable:
                await asyncio.sleep(0)
            assert world.version == 1
            world.take(configuration(3))
            await world.until(3)
            assert not world.unreadable

        play(act)

    def test_targets_meanwhile(self) -> None:
        """A configuration is applied with the targets that were listed while it was built."""

        async def act(world: World, bed: Bed) -> None:
            world.take(configuration(1), configuration(2, routes=MANY))
            await asyncio.sleep(0)
            listed = (target("new"), target("other", service="unknown"))
            world.adoption.list_targets(listed)
            await world.until(2)
            assert shown(bed.metrics, "targets_serving") == 1.0

        play(act)

    def test_targets_read_meanwhile(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A target list that arrives while the previous one is read replaces it."""

        async def act(world: World, bed: Bed) -> None:
            world.take(configuration(1))
            reads = []
            read = TargetReader.read_steps

            def read_and_list(self, items, *, deployment):
                found = yield from read(self, items, deployment=deployment)
                reads.append(deployment.version)
                if reads == [2]:
                    world.adoption.list_targets((target("a"), target("b")))
                return found

            monkeypatch.setattr(TargetReader, "read_steps", read_and_list)
            world.take(configuration(2))
            assert world.version == 2
            assert reads == [2, 1, 2]
            assert shown(bed.metrics, "targets_serving") == 2.0

        play(act)

    def test_fault(self, caplog: pytest.LogCaptureFixture, monkeypatch) -> None:
        """An internal error while building is logged, and the next configuration is built."""

        async def act(world: World, bed: Bed) -> None:
            def broken(deployment: object) -> Steps[None]:
                yield GO_ON
                raise ZeroDivisionError

            with monkeypatch.context() as patch:
                patch.setattr(module, "prepare", broken)
                world.take(configuration(1, routes=MANY))
                async with asyncio.timeout(PATIENCE):
                    while "Task adoption failed" not in caplog.text:
                        await asyncio.sleep(0)
            world.take(configuration(2))
            assert world.version == 2

        play(act)

    def test_connections(self) -> None:
        """A connection stays open and is served while a large one is built and applied."""

        async def act(world: World, bed: Bed) -> None:
            world.take(configuration(1))
            client = HttpClient(address=world.gateway.callers_address)
            headers = usual_headers("r")
            world.take(configuration(2, routes=MANY))
            answer = await client.request(
                method="GET", path="/none/", headers=headers, timeout=PATIENCE
            )
            assert answer.head.status == HTTPStatus.NOT_FOUND
            assert world.version == 1
            await world.until(2)
            await client.request(method="GET", path="/none/", headers=headers, timeout=PATIENCE)
            client.close()

        play(act)

    def test_stop(self) -> None:
        """A build in progress is cancelled when the process stops."""

        async def act(world: World, bed: Bed) -> None:
            world.take(configuration(1, routes=MANY))
            await world.adoption.stop(timeout=PATIENCE)
            assert world.version == 0

        play(act)


class TestSlices:
    """`run_slice` and `finish`."""

    @staticmethod
    def _count(done: list[int], *, pause_at: int, most: int) -> Steps[str]:
        for number in range(most):
            done.append(number)
            yield number == pause_at
        return "result"

    def test_result(self) -> None:
        """`finish` runs all steps at once."""
        done: list[int] = []
        assert finish(self._count(done, pause_at=3, most=10)) == "result"
        assert done == list(range(10))

    def test_pause(self) -> None:
        """Work that requests a pause is suspended, and later continues from there."""
        done: list[int] = []
        work = self._count(done, pause_at=3, most=10)
        assert (run_slice(work), len(done)) == (False, 4)
        assert (run_slice(work), len(done)) == (True, 10)

    def test_time(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Work that exceeds the duration of a slice is suspended."""
        monkeypatch.setattr("azureswitch.slices.SLICE_SECONDS", 0.0)
        done: list[int] = []
        work = self._count(done, pause_at=-1, most=10)
        assert (run_slice(work), len(done)) == (False, 1)
