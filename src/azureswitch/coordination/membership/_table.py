"""The newest update of each host, with digests by bucket."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from azureswitch.coordination.membership._limits import SYNC_BUCKETS
from azureswitch.coordination.membership._messages import Update
from azureswitch.coordination.membership._model import Member, MemberStatus
from azureswitch.core import HostName, Incarnation


def member_of(update: Update) -> Member:
    """Return the member that an update describes."""
    return Member(
        incarnation=Incarnation(host=update.host, started=update.started),
        place=update.place,
        address=update.address,
        status=update.status,
        revision=update.revision,
    )


class MemberTable:
    """The newest update of each host."""

    def __init__(self) -> None:
        self._updates: dict[HostName, Update] = {}
        self._digests = [0] * SYNC_BUCKETS
        self._members: tuple[Member, ...] | None = None
        self._dead: set[HostName] = set()

    @property
    def members(self) -> tuple[Member, ...]:
        """Members that are not dead, by host name."""
        if self._members is None:
            present = (item for item in self._updates.values() if item.host not in self._dead)
            ordered = sorted(present, key=lambda item: item.host)
            self._members = tuple(member_of(item) for item in ordered)
        return self._members

    @property
    def dead(self) -> tuple[HostName, ...]:
        """Hosts that are dead and not yet forgotten."""
        return tuple(sorted(self._dead))

    @property
    def digests(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        return tuple(self._digests)

    @property
    def size(self) -> int:
        """Number of members that are not dead."""
        return len(self._updates) - len(self._dead)

    def get(self, host: HostName) -> Update | None:
        """Return the newest update of a host, or None."""
        return self._updates.get(host)

    def put(self, update: Update) -> None:
        """Set the newest update of a host."""
        self._toggle(self._updates.get(update.host))
        self._updates[update.host] = update
        self._toggle(update)
        self._members = None
        if update.status is MemberStatus.DEAD:
            self._dead.add(update.host)
        else:
            self._dead.discard(update.host)

    def forget(self, host: HostName) -> None:
        """Remove a host."""
        self._toggle(self._updates.pop(host, None))
        self._dead.discard(host)
        self._members = None

    def differing(self, digests: tuple[int, ...]) -> tuple[Update, ...]:
        """Return the updates of the buckets whose digests differ."""
        buckets = {at for at, digest in enumerate(digests) if self._digests[at] != digest}
        return tuple(item for item in self._updates.values() if _bucket(item.host) in buckets)

    def alive(self, *, without: Iterable[HostName] = ()) -> list[Update]:
        """Return the updates of members that are alive and not suspected."""
        excluded = frozenset(without)
        return [
            item
            for item in self._updates.values()
            if item.status is MemberStatus.ALIVE and item.host not in excluded
        ]

    def _toggle(self, update: Update | None) -> None:
        if update is None:
            return
        started, version, rank = update.precedence
        text = f"{update.host}\0{started}\0{version}\0{rank}"
        self._digests[_bucket(update.host)] ^= xxh3_64_intdigest(text.encode())


def _bucket(host: HostName) -> int:
    return xxh3_64_intdigest(host.encode()) % SYNC_BUCKETS
