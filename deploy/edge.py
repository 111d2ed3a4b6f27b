"""Starts an edge process from a checkout, whose sources no build step copies.

The one argument is the ``IP:PORT`` for callers.  It listens there before the program is loaded,
which takes 0.25 s of processor time: callers who connect meanwhile wait for that long, and would
have been turned away.
"""

import gc
import signal
import socket
import sys
from pathlib import Path
from time import CLOCK_BOOTTIME, clock_gettime

# All that is loaded stays.  Collections that look through it meanwhile took 0.04 s of 0.22 s of
# processor time (the least of 15 loads); the program turns them on once it is loaded.
gc.disable()

TOLD: dict[int, float] = {}
"""When each signal came first, in seconds since the host's boot, as the program counts."""


def note(number: int, frame: object) -> None:
    """Note a signal."""
    TOLD.setdefault(number, clock_gettime(CLOCK_BOOTTIME))


# Told to stop or of new settings while it is being loaded, the process would end at once, and cut
# off the callers who wait.  The program acts on these once it can serve and stop gracefully.
for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(number, note)

BACKLOG = 512
"""Connections that may wait until the program is loaded."""


def listen(address: str) -> socket.socket | None:
    """Return a socket that listens, or None where the program is to find out why it cannot."""
    host, _, port = address.rpartition(":")
    try:
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, ValueError):
        return None


LISTENER = listen(sys.argv[1]) if len(sys.argv) > 1 else None

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from azureswitch.platform import run  # noqa: E402  (The socket and the path come first.)

run(callers=LISTENER, told=TOLD)
