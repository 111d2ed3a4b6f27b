"""The operators' program against entry hosts, engines and a store over HTTP."""

import asyncio
from collections.abc import Coroutine, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Thread
from time import sleep
from typing import Any

import pytest
from cleo.testers.application_tester import ApplicationTester
from msgspec import json

from azureswitch.commands import ExitCode, build
from azureswitch.inventory import show_inventory
from azureswitch_load.demo._deployment import DeploymentName, load_deployment
from azureswitch_load.demo._fleet import Fleet

LOOKS = 200
"""Looks at the fleet, 0.1 s apart, until it must show what is expected."""

RIVALS = 4


class Background:
    """An event loop in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine there to its end."""
        asyncio.run_coroutine_threadsafe(work, self._loop).result(timeout=60)

    def stop(self) -> None:
        """End the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()


@pytest.fixture(scope="module")
def settings(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Path]:
    """The operators' settings for a fleet that has its first inventory."""
    background = Background()
    fleet = Fleet(deployment=load_deployment(name=DeploymentName.CASCADE), speed=1.0)
    background.run(fleet.start())
    directory = tmp_path_factory.mktemp("fleet")
    operations = ", ".join(str(entry.operations_address) for entry in fleet.entries.values())
    path = directory / "operator.ini"
    path.write_text(
        f"[operator]\nname = dana\n[platform]\nstore = {fleet.store.address}\n"
        f"[entries]\noperations = {operations}\n"
    )
    inventory = directory / "inventory.ini"
    inventory.write_text(show_inventory(fleet.inventory))
    assert run(path, f"inventory apply {inventory} --base 0")[0] is ExitCode.DONE
    yield path
    background.run(fleet.stop())
    background.stop()


def run(settings: Path, line: str) -> tuple[ExitCode, Any]:
    """Run a command line and return its exit code and its JSON."""
    tester = ApplicationTester(build())
    code = ExitCode(tester.execute(f"{line} --json -s {settings}"))
    return code, json.decode(tester.io.fetch_output())


def wait_in_force(settings: Path, revision: int) -> Any:
    """Return the fleet's status once a revision is in force on its three hosts."""
    for _ in range(LOOKS):
        code, status = run(settings, "status --engines")
        members = status["members"]
        if code is ExitCode.DONE and [m["revision"] for m in members] == [revision] * 3:
            return status
        sleep(0.1)
    raise AssertionError(status)


class TestFleet:
    """Changes come into force on real hosts."""

    def test_drain(self, settings: Path) -> None:
        """A drained engine is empty and draining on every host, and comes back."""
        wait_in_force(settings, 1)
        run(settings, "drain lm-03")
        loads = wait_in_force(settings, 2)["loads"]
        assert [item["target"]["name"] for item in loads if item["target"]["role"] == "draining"]
        _, report = run(settings, "explain -c rainier -m dishline-lm --live")
        assert report["targets"] not in ([], ["lm-03"])
        run(settings, "drain lm-03 --undo")
        wait_in_force(settings, 3)

    def test_evacuate(self, settings: Path) -> None:
        """An evacuated place is empty on every host, gets nothing new, and comes back."""
        _, shown = run(settings, "inventory show")
        base, inventory = shown["revision"], shown["value"]
        place = inventory["places"][0]["name"]
        inside = {target["name"] for target in inventory["targets"] if target["place"] == place}
        run(settings, f"evacuate {place} --reason test")
        (item,) = wait_in_force(settings, base + 1)["evacuations"]
        assert (item["place"], item["reason"], item["idle"]) == (place, "test", True)
        assert (item["running"], item["reporting_hosts"], item["accepted"]) == (0, 3, True)
        _, report = run(settings, f"explain -c rainier -m dishline-lm --live --place {place}")
        assert report["targets"]
        assert not inside & set(report["targets"])
        run(settings, f"restore {place}")
        assert wait_in_force(settings, base + 2)["evacuations"] == []

    def test_race(self, settings: Path, tmp_path: Path) -> None:
        """Of operators who apply at the same moment one is accepted, and all learn of it."""
        _, shown = run(settings, "rules show")
        base = shown["revision"]

        def apply(rival: int) -> tuple[ExitCode, Any]:
            file = tmp_path / f"{rival}.ini"
            file.write_text(f"[rules]\nplain_deadline = {rival + 1} s\n")
            return run(settings, f"rules apply {file} --base {base} --author rival-{rival}")

        with ThreadPoolExecutor(max_workers=RIVALS) as pool:
            results = list(pool.map(apply, range(RIVALS)))
        accepted = [report for code, report in results if code is ExitCode.DONE]
        refused = [report for code, report in results if code is ExitCode.CONFLICT]
        assert (len(accepted), len(refused)) == (1, RIVALS - 1)
        assert {item["entries"][0]["author"] for item in refused} == {accepted[0]["author"]}
        wait_in_force(settings, base + 1)
