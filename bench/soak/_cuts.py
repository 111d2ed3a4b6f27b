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


def owns(pid: int, port: int) -> bool:
    """Return whether a process owns the connection from a local port."""
    sockets = {f"socket:[{inode}]" for inode in _inodes(port)}
    if not sockets:
        return False
    with suppress(OSError):
        return any(_link(entry) in sockets for entry in (_PROC / str(pid) / "fd").iterdir())
    return False


def _inodes(port: int) -> list[str]:
    """Return the inodes of the open connections from a local port."""
    rows = (line.split() for line in _TABLE.read_text().splitlines()[1:])
    suffix = f":{port:04X}"
    return [row[9] for row in rows if row[1].endswith(suffix) and row[3] == ESTABLISHED]


def _link(entry: Path) -> str:
    with suppress(OSError):
        return str(entry.readlink())
    return ""


class HostCuts:
    """The hosts that are cut off from all targets, by the ids of their processes.

    The proxies before the targets ask it for each connection.
    """

    def __init__(self) -> None:
        self._modes: dict[int, CutMode] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call back whenever a cut begins or ends."""
        self._listeners.append(listener)

    def begin(self, pid: int, mode: CutMode) -> None:
        """Cut a host off."""
        self._modes[pid] = mode
        self._notify()

    def end(self, pid: int) -> None:
        """Let a host reach targets again."""
        self._modes.pop(pid, None)
        self._notify()

    def mode_of(self, port: int) -> CutMode | None:
        """Return the mode of the cut between targets and the owner of a connection, or None."""
        for pid, mode in self._modes.items():
            if owns(pid, port):
                return mode
        return None

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
