"""Paths from a host to targets: direct connections, and tunnels through other hosts.

The load that this answers is that of callers who meet a host which has lost its direct connections
to some or all targets.  Such a host decides everything as before, and only its bytes take a detour:
another host connects to the target and carries them.
"""

from azureswitch.paths._events import (
    DirectAnswered,
    DirectFailed,
    DirectOpened,
    DirectUnanswered,
    PathEvent,
    PathLost,
    PathRegained,
    TunnelOpened,
    TunnelRefused,
)
from azureswitch.paths._model import DIRECT, PeerHost, Route, Verdict
from azureswitch.paths._paths import Dial, Paths, TargetDirectory
from azureswitch.paths._reduce import PathsState, reduce

__all__ = [
    "DIRECT",
    "Dial",
    "DirectAnswered",
    "DirectFailed",
    "DirectOpened",
    "DirectUnanswered",
    "PathEvent",
    "PathLost",
    "PathRegained",
    "Paths",
    "PathsState",
    "PeerHost",
    "Route",
    "TargetDirectory",
    "TunnelOpened",
    "TunnelRefused",
    "Verdict",
    "reduce",
]
