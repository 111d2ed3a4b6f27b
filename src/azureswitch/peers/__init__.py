"""Typed messages between the system's own processes."""

from azureswitch.peers._codec import decode, encode, kind_of
from azureswitch.peers._handlers import Answer, Handlers
from azureswitch.peers._limits import CALL_LIMIT
from azureswitch.peers._network import PeerNetwork
from azureswitch.peers._traffic import Traffic, TrafficCounter

__all__ = [
    "CALL_LIMIT",
    "Answer",
    "Handlers",
    "PeerNetwork",
    "Traffic",
    "TrafficCounter",
    "decode",
    "encode",
    "kind_of",
]
