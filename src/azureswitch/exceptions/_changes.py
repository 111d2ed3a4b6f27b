"""Changes of configuration by operators that were not accepted."""

from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError, Ran


class ChangeError(AzureswitchError):
    """A change of configuration was not accepted."""

    code: ClassVar[str] = "change_error"
    ran: ClassVar[Ran] = Ran.NOT_RUN


class RevisionConflictError(ChangeError):
    """Another change was accepted first.

    Attributes:
        base: The revision that the change was made from.
        head: The revision in the store.
        author: Who made the revision that came first.
        change: The id of that change.
    """

    code: ClassVar[str] = "revision_conflict"
    base: int
    head: int
    author: str
    change: str = ""

    @property
    def message(self) -> str:
        return f"The change is based on {self.base}, but {self.author} made {self.head} since."


class SnapshotTooLargeError(ChangeError):
    """The compiled snapshot is over the store's limit in bytes."""

    code: ClassVar[str] = "snapshot_too_large"
    size: int
    limit: int

    @property
    def message(self) -> str:
        return f"The snapshot has {self.size} bytes; the limit is {self.limit}."


class SnapshotUnreadableError(ChangeError):
    """A stored configuration cannot be read by this version of the software."""

    code: ClassVar[str] = "snapshot_unreadable"
    revision: int

    @property
    def message(self) -> str:
        return f"The configuration of revision {self.revision} cannot be read."


class UnknownTargetError(ChangeError):
    """The inventory holds no such target."""

    code: ClassVar[str] = "target_not_found"
    target: str

    @property
    def message(self) -> str:
        return f"The inventory holds no target named {self.target!r}."


class UnknownPlaceError(ChangeError):
    """The inventory holds no such failure domain."""

    code: ClassVar[str] = "place_not_found"
    place: str

    @property
    def message(self) -> str:
        return f"The inventory holds no place named {self.place!r}."


class PlaceEvacuatedError(ChangeError):
    """Another operator has evacuated the failure domain already.

    Attributes:
        place: The failure domain.
        author: Who evacuated it; empty if unknown.
        reason: Why; empty if no reason was given.
        since: When, in milliseconds of the wall clock.
    """

    code: ClassVar[str] = "place_evacuated"
    place: str
    author: str
    reason: str
    since: int

    @property
    def message(self) -> str:
        why = f" ({self.reason})" if self.reason else ""
        return f"Place {self.place!r} is evacuated already, by {self.author or 'somebody'}{why}."


class PlaceInUseError(ChangeError):
    """The failure domain is in use, so that there is no evacuation to end."""

    code: ClassVar[str] = "place_in_use"
    place: str

    @property
    def message(self) -> str:
        return f"Place {self.place!r} is in use."


class ServicesLeftEmptyError(ChangeError):
    """The evacuation would leave services without any target that takes new work.

    Attributes:
        place: The failure domain.
        services: The services.
    """

    code: ClassVar[str] = "services_left_empty"
    place: str
    services: tuple[str, ...]

    @property
    def message(self) -> str:
        names = ", ".join(self.services)
        return (
            f"Evacuating {self.place!r} would leave no target to {names}; "
            "--force evacuates it all the same."
        )


class ChangeOutcomeUnknownError(ChangeError):
    """The store did not say whether the change was accepted; ask again by its change id."""

    code: ClassVar[str] = "change_outcome_unknown"
    ran: ClassVar[Ran] = Ran.UNKNOWN
    change: str
    base: int | None = None

    @property
    def message(self) -> str:
        return f"It is not known whether change {self.change} was accepted."


class RevisionNotFoundError(ChangeError):
    """The platform holds no such revision any more, or not yet."""

    code: ClassVar[str] = "revision_not_found"
    revision: int

    @property
    def message(self) -> str:
        return f"Revision {self.revision} is not held."


class ChangeReusedError(ChangeError):
    """The id of a change belongs to an accepted change with another body.

    Attributes:
        change: The id.
        revision: What that change was accepted as.
    """

    code: ClassVar[str] = "change_reused"
    change: str
    revision: int

    @property
    def message(self) -> str:
        return f"Change {self.change} was accepted as revision {self.revision} with another body."
