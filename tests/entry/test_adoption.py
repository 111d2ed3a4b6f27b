"""What a host does with the bodies of accepted revisions."""

from collections.abc import Iterator

import httpx
import pytest
from msgspec.structs import replace

from azureswitch.coordination.configuration import Changes
from azureswitch.entry import EntryPorts
from azureswitch.entry._wiring import Parts
from azureswitch.inventory import LONGEST_KEY_RETENTION, decode, encode
from azureswitch_standins.hosts import HostListFake
from azureswitch_standins.peers import PeersNetworkFake
from azureswitch_standins.store import StoreFake
from tests.entry.rig import Rig, configuration, settings
from tests.waiting import wait_until

DAY = 86_400.0


@pytest.fixture
def rig() -> Iterator[Rig]:
    """Return a running rig."""
    with Rig().running() as running:
        yield running


def accept(rig: Rig, body: bytes, *, base: int) -> None:
    """Accept a body as the revision after a base."""
    changes = Changes(store=rig.store)
    rig.run(changes.propose(base=base, body=body, author="operator", change="next"))


def status(rig: Rig) -> dict[str, object]:
    """Return what the host tells operators."""
    answer = httpx.get(f"http://{rig.entry.operations_address}/status", timeout=5)
    return dict(answer.json())


class TestAdoption:
    """Accepted revisions at a host that runs."""

    @pytest.mark.parametrize("address", [None, "nowhere"])
    def test_unreadable_body(self, rig: Rig, address: str | None) -> None:
        """A host keeps its revision where it cannot read the next, and says so."""
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

    @pytest.mark.parametrize(("rule", "kept"), [(3 * DAY, 3 * DAY), (60.0, DAY)])
    def test_key_retention(self, rig: Rig, rule: float, kept: float) -> None:
        """Keys are remembered for as long as the rules say, and never for less than a day."""
        first = decode(configuration(rig.engines), revision=1)
        rules = replace(first.rules, key_retention=rule)
        accept(rig, encode(inventory=first.inventory, rules=rules), base=1)
        wait_until(lambda: status(rig)["revision"] == 2)
        assert rig.entry.parts.claims.retention == kept

    def test_key_retention_before_the_rules(self) -> None:
        """A host that has no rules yet forgets no key that any rules would keep."""
        ports = EntryPorts(
            store=StoreFake(),
            hosts=HostListFake(),
            peers=PeersNetworkFake().peers(address="10.0.0.1:1"),
            address="10.0.0.1:1",
        )
        parts = Parts(settings=settings("entry-1"), ports=ports, seed=1)
        assert parts.claims.retention == LONGEST_KEY_RETENTION
