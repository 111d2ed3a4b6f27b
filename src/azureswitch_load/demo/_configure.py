"""Has configurations accepted, as the operators' command line does."""

from azureswitch.coordination.configuration import Changes
from azureswitch.inventory import Inventory, Rules, encode
from azureswitch.platform import HttpStore
from azureswitch_load.demo._fleet import Fleet

AUTHOR = "demo"


class Operator:
    """An operator who changes the configuration in the store."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet

    async def accept(self, *, inventory: Inventory, rules: Rules) -> int:
        """Have a configuration accepted and return its revision.

        Raises:
            ChangeError: It was not accepted.
        """
        store = HttpStore(address=self._fleet.store.address)
        changes = Changes(store=store)
        head = await changes.head()
        base = 0 if head is None else head.revision
        entry = await changes.propose(
            base=base,
            body=encode(inventory=inventory, rules=rules),
            author=AUTHOR,
            change=f"{AUTHOR}-{base + 1}",
        )
        store.close()
        return entry.revision
