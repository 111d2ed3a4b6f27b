"""Room for requests that are not whole yet, and who gives way where there is none.

Whoever has sent a part of a request may never send the rest.  What is not whole may therefore hold
no more than a share of the memory budget, and where others need the room, the requests that make
the least progress end first.  Accepted requests are never ended for new ones.
"""

from azureswitch.shedding._connections import ConnectionLimit, Droppable
from azureswitch.shedding._descriptors import DescriptorShares, descriptor_shares
from azureswitch.shedding._unfinished import Sheddable, UnfinishedRequests

__all__ = [
    "ConnectionLimit",
    "DescriptorShares",
    "Droppable",
    "Sheddable",
    "UnfinishedRequests",
    "descriptor_shares",
]
