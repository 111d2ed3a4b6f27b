"""The platform's host list as azureswitch sees it."""

from enum import Enum
from typing import Protocol

from msgspec import Struct

from azureswitch.core import HostName, PlaceName


class HostStatus(Enum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(Struct, frozen=True, kw_only=True):
    """One host of the list, which lags behind the truth.

    Attributes:
        name: Its name.
        place: The failure domain that it runs in.
        address: ``IP:PORT`` on which other hosts of the system reach it.
        status: What the platform says of it.
    """

    name: HostName
    place: PlaceName
    address: str
    status: HostStatus


class HostList(Protocol):
    """The platform's list of hosts."""

    async def hosts(self) -> tuple[ListedHost, ...]:
        """Return live and leaving hosts.

        Raises:
            HostListError: The list cannot be read.
        """
