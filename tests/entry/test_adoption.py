"""Adoption of accepted revisions by an entry host."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from time import time
from typing import Any

import httpx
import pytest
from msgspec.structs import replace

from azureswitch.coordination.configuration import Changes
from azureswitch.entry import EntryPorts
from azureswitch.entry._wiring import Parts
from azureswitch.inventory import (
    LONGEST_KEY_RETENTION,
    Evacuation,
    Snapshot,
    decode,
    encode,
    evacuate,
)
from azureswitch_standins.engine import CostModel
from azureswitch_standins.hosts import HostListFake
from azureswitch_standins.peers import PeersNetworkFake
from azureswitch_standins.store import StoreFake
from tests.entry.rig import MODEL, Rig, configuration, settings
from tests.waiting import wait_until

DAY = 86_400.0

PROMPT = {"model": MODEL, "prompt": "a short question", "max_tokens": 4}


@pytest.fixture
def rig() -> Iterator[Rig]:
    """Return a running rig."""
    with Rig().running() as running:
        yield running


def accept(rig: Rig, body: bytes, *, base: int) -> None:
    """Accept a body as the revision after a base."""
    changes = Changes(store=rig.store)
    rig.run(changes.propose(base=base, body=body, author="operator", change="next"))


def accept_again(rig: Rig, snapshot: Snapshot, *, base: int) -> None:
    """Accept an earlier configuration as the revision after a base."""
    body = encode(inventory=snapshot.inventory, rules=snapshot.rules)
    changes = Changes(store=rig.store)
    rig.run(changes.propose(base=base, body=body, author="operator", change="again"))


def running(rig: Rig) -> list[int]:
    """Return the reported number of running attempts in each evacuated failure domain."""
    return [item["running"] for item in evacuations(rig)]


def evacuations(rig: Rig) -> list[dict[str, Any]]:
    """Return the evacuated failure domains that the host reports."""
    told = status(rig)["evacuations"]
    assert isinstance(told, list)
    return told


def status(rig: Rig) -> dict[str, object]:
    """Return the status that the host reports."""
    answer = httpx.get(f"http://{rig.entry.operations_address}/status", timeout=5)
    return dict(answer.json())


class TestAdoption:
    """Accepted revisions at a running host."""

    @pytest.mark.parametrize("address", [None, "nowhere"])
    def test_unreadable_body(self, rig: Rig, address: str | None) -> None:
        """A host keeps its revision if it cannot decode the next one, and reports that."""
        body = b"not a configuration"
        if address is not None:
            first = decode(configuration(rig.engines), revision=1)
            targets = tuple(
                replace(target, address=address) if target.models else target
                for target in first.inventory.targets[:2]
            )
            body = encode(inventory=replace(first.inventory, targets=targets), rules=first.rules)
        accept(rig, body, base=1)
        wait_until(lambda: status(rig)["unreadable"] == 2)
        assert status(rig)["revision"] == 1
        metrics = httpx.get(f"http://{rig.entry.operations_address}/metrics", timeout=5).text
        assert "azureswitch_unreadable_revision 2" in metrics
        accept(rig, configuration(rig.engines), base=2)
        wait_until(lambda: status(rig)["revision"] == 3)
        assert status(rig)["unreadable"] == 0

    def test_evacuation(self, rig: Rig) -> None:
        """Calls of an evacuated failure domain are refused as not run."""
        first = decode(configuration(rig.engines), revision=1)
        (place,) = first.inventory.places
        evacuation = Evacuation(since=7, author="dana", reason="chiller 4", until=9)
        changed = evacuate(first.inventory, place=place.name, evacuation=evacuation, force=True)
        assert rig.post("/v1/completions", PROMPT).status_code == 200
        accept(rig, encode(inventory=changed, rules=first.rules), base=1)
        wait_until(lambda: evacuations(rig))
        (told,) = evacuations(rig)
        assert told.pop("empty") == pytest.approx(time() * 1_000, abs=10_000)
        assert told == {
            "place": place.name,
            "since": 7,
            "author": "dana",
            "reason": "chiller 4",
            "until": 9,
            "running": 0,
        }
        refused = rig.post("/v1/completions", PROMPT)
        error = refused.json()["error"]
        assert (refused.status_code, error["code"], error["ran"]) == (
            503,
            "service_evacuated",
            "not_run",
        )
        assert "retry-after" in refused.headers
        accept_again(rig, first, base=2)
        wait_until(lambda: status(rig)["revision"] == 3)
        assert status(rig)["evacuations"] == []
        assert rig.post("/v1/completions", PROMPT).status_code == 200

    def test_running_goes_on(self) -> None:
        """A request that runs in a failure domain is completed after its evacuation."""
        cost = CostModel(decode_base=0.05, prefill_rate=1_000_000.0)
        with Rig(cost=cost).running() as rig, ThreadPoolExecutor(max_workers=1) as pool:
            first = decode(configuration(rig.engines), revision=1)
            asked = pool.submit(rig.post, "/v1/completions", {**PROMPT, "max_tokens": 60})
            wait_until(lambda: status(rig)["open_calls"] == 1)
            changed = evacuate(
                first.inventory,
                place=first.inventory.places[0].name,
                evacuation=Evacuation(since=7),
                force=True,
            )
            accept(rig, encode(inventory=changed, rules=first.rules), base=1)
            wait_until(lambda: running(rig) == [1])
            metrics = httpx.get(f"http://{rig.entry.operations_address}/metrics", timeout=5).text
            assert "azureswitch_evacuated_places 1" in metrics
            assert "azureswitch_evacuated_attempts 1" in metrics
            assert asked.result(timeout=20).status_code == 200
            wait_until(lambda: running(rig) == [0])

    @pytest.mark.parametrize(("rule", "kept"), [(3 * DAY, 3 * DAY), (60.0, DAY)])
    def test_key_retention(self, rig: Rig, rule: float, kept: float) -> None:
        """Keys are kept as long as the rules require, and for at least a day."""
        first = decode(configuration(rig.engines), revision=1)
        rules = replace(first.rules, key_retention=rule)
        accept(rig, encode(inventory=first.inventory, rules=rules), base=1)
        wait_until(lambda: status(rig)["revision"] == 2)
        assert rig.entry.parts.claims.retention == kept

    def test_key_retention_before_the_rules(self) -> None:
        """A host without rules keeps keys for the longest time that rules permit."""
        ports = EntryPorts(
            store=StoreFake(),
            hosts=HostListFake(),
            peers=PeersNetworkFake().peers(address="10.0.0.1:1"),
            address="10.0.0.1:1",
        )
        parts = Parts(settings=settings("entry-1"), ports=ports, seed=1)
        assert parts.claims.retention == LONGEST_KEY_RETENTION
