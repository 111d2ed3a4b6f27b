"""``azureswitch evacuate`` and ``azureswitch restore``."""

from abc import abstractmethod
from random import getrandbits
from uuid import UUID, uuid1

from cleo.helpers import argument, option
from msgspec.structs import replace

from azureswitch.commands._base import OperatorCommand
from azureswitch.commands._numbers import count
from azureswitch.commands._propose import propose
from azureswitch.commands._reports import ApplyReport, ConflictReport
from azureswitch.commands._revisions import head_revision
from azureswitch.commands._settings import AUTHOR_KIND
from azureswitch.commands._times import Timestamp
from azureswitch.core import PlaceName
from azureswitch.exceptions import InvalidOptionError
from azureswitch.inventory import Evacuation, Inventory, Snapshot, evacuate, restore
from azureswitch.programs import parse_option

_UUID_EPOCH = 0x01B21DD213814000
"""Steps of 100 ns between the first day of the Gregorian calendar and that of Unix (RFC 9562)."""

_STEPS_PER_MILLISECOND = 10_000
"""Steps of 100 ns in a millisecond."""

_TIME_VERSION = 1
"""The version of a UUID that holds the time at which it was made."""


def new_change() -> UUID:
    """Return the id of a new change, which holds the time.

    The node is random, so that the id does not disclose the address of the operator's machine.
    """
    return uuid1(node=getrandbits(48))


def time_of(change: UUID) -> int:
    """Return when the id of a change was made, in milliseconds of the wall clock."""
    return (change.time - _UUID_EPOCH) // _STEPS_PER_MILLISECOND


class PlaceCommand(OperatorCommand):
    """A change of the configuration that concerns one failure domain."""

    arguments = [argument("place", description="The failure domain.")]  # noqa: RUF012
    options = [  # noqa: RUF012
        *OperatorCommand.options,
        option("base", "b", "The revision to change; the newest one if left out.", flag=False),
        option("change", description="The id of a try whose outcome is not known.", flag=False),
    ]

    @property
    def place(self) -> PlaceName:
        """The failure domain that the command line names."""
        return PlaceName(self.argument("place"))

    @abstractmethod
    def edit(self, inventory: Inventory, *, change: UUID) -> Inventory:
        """Return the changed inventory.

        Args:
            inventory: The inventory.
            change: The id of the change.
        """

    async def report(self) -> ApplyReport | ConflictReport:
        """Make the change.

        Raises:
            ChangeError: The place is not known, or the change does not fit its state.
        """
        change = self._change()

        def edit(old: Snapshot) -> Snapshot:
            return replace(old, inventory=self.edit(old.inventory, change=change))

        # A repeated change is recognised by its id only on the same base.
        given = self.option("base") is not None or self.option("change") is not None
        base = count(self, "base") if given else await head_revision(self.store)
        return await propose(
            self.revisions, base=base, edit=edit, author=self.author, change=change.hex
        )

    def _change(self) -> UUID:
        """Return the id of this change.

        A repeated change must produce the same configuration as the first try, so its times come
        from the id.
        """
        given = self.option("change")
        if given is None:
            return new_change()
        try:
            change = UUID(given)
        except ValueError:
            change = None
        if change is None or change.version != _TIME_VERSION or time_of(change) < 0:
            raise InvalidOptionError(
                option="change", value=given, expected="the id that an earlier try has printed"
            )
        return change


class EvacuateCommand(PlaceCommand):
    """Takes a failure domain out of use by a change of the configuration."""

    name = "evacuate"
    description = "Send nothing new to the targets of a failure domain until it is restored."
    options = [  # noqa: RUF012
        *PlaceCommand.options,
        option("reason", "r", "Why, for those who ask for the status.", flag=False),
        option("until", "u", "When it is expected to end; it does not end by itself.", flag=False),
        option("force", description="Also where a service is left without any target."),
    ]

    def edit(self, inventory: Inventory, *, change: UUID) -> Inventory:
        """Return the inventory with the failure domain evacuated.

        Raises:
            PlaceEvacuatedError: Another operator has evacuated it.
            ServicesLeftEmptyError: It would leave services without a target, and is not forced.
            UnknownPlaceError: The inventory holds no such place.
        """
        since = time_of(change)
        evacuation = Evacuation(
            since=since,
            author=self.author,
            reason=parse_option(self, "reason", AUTHOR_KIND) if self._given("reason") else "",
            until=self._until(since) if self._given("until") else 0,
        )
        return evacuate(
            inventory, place=self.place, evacuation=evacuation, force=self.option("force")
        )

    def _given(self, name: str) -> bool:
        return self.option(name) is not None

    def _until(self, since: int) -> int:
        until = parse_option(self, "until", Timestamp())
        if until <= since:
            raise InvalidOptionError(
                option="until", value=self.option("until"), expected="a time to come"
            )
        return until


class RestoreCommand(PlaceCommand):
    """Takes an evacuated failure domain back into use by a change of the configuration."""

    name = "restore"
    description = "Send new work to the targets of an evacuated failure domain again."

    def edit(self, inventory: Inventory, *, change: UUID) -> Inventory:
        """Return the inventory with the failure domain in use.

        Raises:
            PlaceInUseError: It is not evacuated.
            UnknownPlaceError: The inventory holds no such place.
        """
        return restore(inventory, place=self.place)
