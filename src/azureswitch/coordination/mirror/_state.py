"""What is known of one kind of the store's objects."""

from dataclasses import dataclass, field

from azureswitch.ports import StoredObject


@dataclass(slots=True, kw_only=True)
class MirrorState:
    """A copy of the objects of one kind.

    Attributes:
        return_grace: Seconds after the store's return for which an object that is missing stays.
        objects: The objects, by name.
        version: The version up to which the copy is complete.
        listed: Whether the objects have been read once.
        broken_at: When the store failed first since it answered last, or None.
        returned_at: When it answered again after it had failed, or None.
        missing: Until when objects stay that are not in the store any more, by name.
    """

    return_grace: float = 0.0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    version: int = 0
    listed: bool = False
    broken_at: float | None = None
    returned_at: float | None = None
    missing: dict[str, float] = field(default_factory=dict)
