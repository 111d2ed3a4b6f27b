"""``azureswitch drain``."""

from cleo.helpers import argument, option
from msgspec.structs import replace

from azureswitch.commands._base import OperatorCommand
from azureswitch.commands._numbers import count
from azureswitch.commands._propose import propose
from azureswitch.commands._reports import ApplyReport, ConflictReport
from azureswitch.commands._revisions import head_revision
from azureswitch.core import TargetName
from azureswitch.inventory import Snapshot, TargetRole, set_role


class DrainCommand(OperatorCommand):
    """Takes a target out of use, or back into use, by a change of the configuration."""

    name = "drain"
    description = "Give a target no new work; with --undo, give it new work again."
    arguments = [argument("target", description="The engine or other target.")]  # noqa: RUF012
    options = [  # noqa: RUF012
        *OperatorCommand.options,
        option("undo", description="Give it new work again."),
        option("base", "b", "The revision to change; the newest one if left out.", flag=False),
        option("change", description="The id of a try whose outcome is not known.", flag=False),
    ]

    async def report(self) -> ApplyReport | ConflictReport:
        """Set the target's role.

        Raises:
            UnknownTargetError: The inventory holds no such target.
        """
        role = TargetRole.SERVING if self.option("undo") else TargetRole.DRAINING
        target = TargetName(self.argument("target"))

        def edit(old: Snapshot) -> Snapshot:
            inventory = set_role(old.inventory, target=target, role=role)
            return replace(old, inventory=inventory)

        # A try is found again by its id only from the same base.
        given = self.option("base") is not None or self.option("change") is not None
        base = count(self, "base") if given else await head_revision(self.store)
        return await propose(
            self.revisions,
            base=base,
            edit=edit,
            author=self.author,
            change=self.option("change"),
        )
