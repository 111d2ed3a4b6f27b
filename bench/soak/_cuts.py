"""Cuts hosts off from targets, told from outside by the process that owns a connection."""

from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from pathlib import Path

ESTABLISHED = "01"
"""The state of an open connection in the kernel's table."""

_PROC = Path("/proc")
_TABLE = _PROC / "net" / "tcp"


class CutMode(Enum):
    """What becomes of the connections between a host and all targets."""

    REFUSE_NEW = "open ones live on, new ones are reset"
    RESET = "open and new ones are reset"
    SILENT = "open and new ones are silent"


def _sockets(port: int) -> set[str]:
    """Return the open connections from a local port, as links of descriptors name them."""
    suffix = f":{port:04X}"
    lines = (line for line in _TABLE.read_text().splitlines() if suffix in line)
    rows = (line.split() for line in lines)
    return {
        f"socket:[{row[9]}]" for row in rows if row[1].endswith(suffix) and row[3] == ESTABLISHED
    }


def _ports(pid: int) -> frozenset[int]:
    """Return the local ports of the open connections of a process."""
    links = set(_links(pid))
    rows = (line.split() for line in _TABLE.read_text().splitlines()[1:])
    return frozenset(
        int(row[1].rpartition(":")[2], 16) for row in rows if f"socket:[{row[9]}]" in links
    )


def _has_one(pid: int, sockets: set[str]) -> bool:
    """Return whether a process has one of some connections."""
    return any(link in sockets for link in _links(pid))


def _links(pid: int) -> list[str]:
    """Return what the descriptors of a process lead to."""
    with suppress(OSError):
        return [_link(entry) for entry in (_PROC / str(pid) / "fd").iterdir()]
    return []


def _link(entry: Path) -> str:
    with suppress(OSError):
        return str(entry.readlink())
    return ""


CutListener = Callable[[frozenset[int], CutMode], None]


class HostCuts:
    """The hosts that are cut off from all targets, by the ids of their processes.

    The proxies before the targets ask it for each connection.
    """

    def __init__(self) -> None:
        self._modes: dict[int, CutMode] = {}
        self._listeners: list[CutListener] = []

    def on_begin(self, listener: CutListener) -> None:
        """Call back with the local ports of a host and the mode whenever it is cut off."""
        self._listeners.append(listener)

    def begin(self, pid: int, mode: CutMode) -> None:
        """Cut a host off."""
        self._modes[pid] = mode
        ports = _ports(pid)
        for listener in self._listeners:
            listener(ports, mode)

    def end(self, pid: int) -> None:
        """Let a host reach targets again."""
        self._modes.pop(pid, None)

    def mode_of(self, port: int) -> CutMode | None:
        """Return the mode of the cut between targets and the owner of a connection, or None."""
        if not self._modes:
            return None
        sockets = _sockets(port)
        cut = (mode for pid, mode in self._modes.items() if _has_one(pid, sockets))
        return next(cut, None)
