"""What the machine lets a process have."""

from os import sysconf
from pathlib import Path
from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit
from sys import maxsize

CGROUP_MEMORY = Path("/sys/fs/cgroup/memory.max")
"""The memory limit of the process's control group in bytes, or ``max``; absent without one."""


def machine_memory() -> int:
    """Return the bytes of memory that this process may use, by its control group or machine."""
    total = sysconf("SC_PAGE_SIZE") * sysconf("SC_PHYS_PAGES")
    try:
        text = CGROUP_MEMORY.read_text(encoding="ascii").strip()
    except OSError:
        return total
    return min(total, int(text)) if text.isdecimal() else total


def machine_descriptors() -> int:
    """Return how many file descriptors this process may have open."""
    limit, _ = getrlimit(RLIMIT_NOFILE)
    return maxsize if limit == RLIM_INFINITY else limit
