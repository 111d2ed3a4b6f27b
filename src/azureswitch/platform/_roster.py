"""Keeps the list of this system's hosts in the platform's store.

The platform does not provide a list of hosts.  Each host registers its address under its name when
it starts, and reads the entries of the others.  Stale reads, which may be seconds old and cost a
tenth of other reads, are sufficient: membership detects which of the listed hosts are alive, and
learns from them of hosts that are not listed yet.

Other programs may write there too; invalid entries are skipped.
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
"""The kind of object that holds a host's address."""


class HostEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A host's entry in the list.

    Attributes:
        place: Its failure domain.
        address: ``IP:PORT`` of its messages to other hosts.
    """

    place: PlaceName
    address: str


class StoreHostList:
    """Implements `azureswitch.ports.HostList` by entries that the hosts register themselves.

    Args:
        store: The platform's store.
        host: The name of this host.
        entry: The entry of this host.
        foreign: Records the invalid entries.
    """

    def __init__(
        self, *, store: HttpStore, host: HostName, entry: HostEntry, foreign: ForeignTracker
    ) -> None:
        self._store = store
        self._host = host
        self._entry = entry
        self._foreign = foreign
        self._registered_era: int | None = None

    async def hosts(self) -> tuple[ListedHost, ...]:
        """Register this host if necessary, and return all registered hosts.

        Raises:
            HostListError: A call to the store failed.
        """
        try:
            if self._registered_era != self._store.era:
                # A store restored from a backup may have lost the entry.
                await self._register()
                self._registered_era = self._store.era
            listing = await self._store.list(kind=ROSTER_KIND, stale=True)
        except StoreError as error:
            raise HostListError() from error
        found = [_listed(item) for item in listing.items]
        self._foreign.set_entries(
            ROSTER_KIND, (host for host in found if isinstance(host, Foreign))
        )
        return tuple(host for host in found if isinstance(host, ListedHost))

    async def _register(self) -> None:
        value = msgspec.json.encode(self._entry)
        try:
            await self._store.create(kind=ROSTER_KIND, name=self._host, value=value)
        except StoreConflictError:
            await self._replace(value)

    async def _replace(self, value: bytes) -> None:
        """Replace the entry of an earlier process of this host if it differs."""
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
        entry = msgspec.json.decode(item.value, type=HostEntry)
    except UNDECODED as error:
        return undecoded(error, name=item.name, version=item.version)
    fault: Fault | None = None
    if not is_address(entry.address):
        fault = Fault.ADDRESS
    elif not entry.place:
        fault = Fault.PLACE
    if fault is not None:
        detail = f"{entry.address!r} in {entry.place!r} is not a valid host"
        return Foreign(name=item.name, version=item.version, fault=fault, detail=detail)
    return ListedHost(
        name=HostName(item.name), place=entry.place, address=entry.address, status=HostStatus.LIVE
    )
