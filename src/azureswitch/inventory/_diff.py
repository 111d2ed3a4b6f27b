"""What differs between two configurations."""

from collections.abc import Iterator, Mapping
from enum import Enum

from msgspec import Struct
from msgspec.structs import fields

from azureswitch.inventory._check import section_of
from azureswitch.inventory._model import Customer, Place, Rules, Service, Snapshot, Target
from azureswitch.inventory._show import shown

Entry = Place | Service | Target | Customer | Rules


class DifferenceKind(Enum):
    """What became of an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldDifference(Struct, frozen=True, kw_only=True):
    """One field of a changed entry, with both values as the file shows them."""

    key: str
    old: str
    new: str


class Difference(Struct, frozen=True, kw_only=True):
    """One entry that differs.

    Attributes:
        kind: What became of it.
        section: Its section, such as ``engine lm-01`` or ``rules``.
        fields: The fields that changed; empty for entries added or removed.
    """

    kind: DifferenceKind
    section: str
    fields: tuple[FieldDifference, ...] = ()


def diff(old: Snapshot, new: Snapshot) -> tuple[Difference, ...]:
    """Return the entries that differ, ordered by section.

    Args:
        old: The configuration before.
        new: The configuration after.

    Returns:
        The differences; revisions are not compared.
    """
    before, after = _entries(old), _entries(new)
    return tuple(_differences(before, after))


def _entries(snapshot: Snapshot) -> Mapping[str, Entry]:
    inventory = snapshot.inventory
    entries: dict[str, Entry] = {f"place {place.name}": place for place in inventory.places}
    entries.update((f"service {service.name}", service) for service in inventory.services)
    entries.update((f"{section_of(target)} {target.name}", target) for target in inventory.targets)
    entries.update((f"customer {customer.name}", customer) for customer in inventory.customers)
    entries["rules"] = snapshot.rules
    return entries


def _differences(before: Mapping[str, Entry], after: Mapping[str, Entry]) -> Iterator[Difference]:
    for section in sorted(before.keys() | after.keys()):
        old, new = before.get(section), after.get(section)
        if old is None:
            yield Difference(kind=DifferenceKind.ADDED, section=section)
        elif new is None:
            yield Difference(kind=DifferenceKind.REMOVED, section=section)
        elif old != new:
            changed = tuple(_fields(old, new))
            yield Difference(kind=DifferenceKind.CHANGED, section=section, fields=changed)


def _fields(old: Entry, new: Entry) -> Iterator[FieldDifference]:
    for field in fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            yield FieldDifference(key=field.name, old=shown(before), new=shown(after))
