"""The list of the system's own hosts, kept in the platform's store.

The platform lists no hosts for us.  Each writes where it is reached under its name when it starts,
and reads who else did.  A reading may be seconds old, which costs a tenth: membership finds out by
itself who of the listed lives, and hears from them of those that the list does not show yet.

Another program may write there too: an entry that tells of no host is passed over.
"""

import msgspec

from azureswitch.core import HostName, PlaceName
from azureswitch.decoding import UNDECODED
from azureswitch.exceptions import (
    HostListError,
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
)
from azureswitch.platform._foreign import Fault, Foreign, ForeignTracker, undecoded
from azureswitch.platform._store import HttpStore
from azureswitch.platform._targets import is_address
from azureswitch.ports import HostStatus, ListedHost, StoredObject

ROSTER_KIND = "azureswitch-hosts"
"""Our own kind of object."""


class Seat(msgspec.Struct, frozen=True, kw_only=True):
    """Where a host is reached.

    Attributes:
        place: Its failure domain.
        address: ``IP:PORT`` of its messages to other hosts.
    """

    place: PlaceName
    address: str


class StoreHostList:
    """The `azureswitch.ports.HostList` that the hosts keep themselves.

    Args:
        store: The platform's store.
        host: The name of this host.
        seat: Where it is reached.
        foreign: Takes the entries that tell of no host.
    """

    def __init__(
        self, *, store: HttpStore, host: HostName, seat: Seat, foreign: ForeignTracker
    ) -> None:
        self._store = store
        self._host = host
        self._seat = seat
        self._foreign = foreign
        self._entered: int | None = None

    async def hosts(self) -> tuple[ListedHost, ...]:
        """Return the hosts that have entered themselves, after this one has."""
        try:
            if self._entered != self._store.era:
                # A store that came back from an older copy may have lost the entry.
                await self._enter()
                self._entered = self._store.era
            listing = await self._store.list(kind=ROSTER_KIND, stale=True)
        except StoreError as error:
            raise HostListError() from error
        found = [_listed(item) for item in listing.items]
        self._foreign.see(ROSTER_KIND, (host for host in found if isinstance(host, Foreign)))
        return tuple(host for host in found if isinstance(host, ListedHost))

    async def _enter(self) -> None:
        value = msgspec.json.encode(self._seat)
        try:
            await self._store.create(kind=ROSTER_KIND, name=self._host, value=value)
        except StoreConflictError:
            await self._replace(value)

    async def _replace(self, value: bytes) -> None:
        """Correct the entry of an earlier process of this host."""
        try:
            known = await self._store.get(kind=ROSTER_KIND, name=self._host, strict=False)
        except StoreNotFoundError:
            return
        if known.value == value:
            return
        await self._store.update(
            kind=ROSTER_KIND, name=self._host, value=value, version=known.version
        )


def _listed(item: StoredObject) -> ListedHost | Foreign:
    try:
        seat = msgspec.json.decode(item.value, type=Seat)
    except UNDECODED as error:
        return undecoded(error, name=item.name, version=item.version)
    fault: Fault | None = None
    if not is_address(seat.address):
        fault = Fault.ADDRESS
    elif not seat.place:
        fault = Fault.PLACE
    if fault is not None:
        detail = f"{seat.address!r} in {seat.place!r} is no host"
        return Foreign(name=item.name, version=item.version, fault=fault, detail=detail)
    return ListedHost(
        name=HostName(item.name), place=seat.place, address=seat.address, status=HostStatus.LIVE
    )
