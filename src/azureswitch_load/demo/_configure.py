"""Brings a configuration into force."""

from azureswitch.inventory import Inventory, Rules, Snapshot
from azureswitch_load.demo._fleet import Fleet


class Operator:
    """Accepts configurations as an operator does."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._revision = 0

    async def accept(self, *, inventory: Inventory, rules: Rules) -> int:
        """Have a configuration accepted and return its revision."""
        self._revision += 1
        snapshot = Snapshot(revision=self._revision, inventory=inventory, rules=rules)
        for entry in self._fleet.entries.values():
            entry.shell.adopt(snapshot)
        return self._revision
