"""The memory limit of hosts, which the platform enforces by killing them."""

import asyncio
from contextlib import suppress
from pathlib import Path

from bench.soak._documents import MEMORY_MB
from bench.soak._fleet import Fleet, Host
from bench.soak._records import Records

LOOK_SECONDS = 0.1

KIBIBYTES = 1_024
"""Kibibytes in a megabyte."""


async def enforce(fleet: Fleet, records: Records) -> None:
    """Kill each host that exceeds its memory, itself a finding, until cancelled."""
    while True:
        for host in fleet.hosts:
            used = _megabytes(host)
            if used > MEMORY_MB:
                records.findings.append(f"MEMORY: {host.name} used {used:.0f} MB of {MEMORY_MB}")
                await host.process.kill()
                await host.start()
        await asyncio.sleep(LOOK_SECONDS)


def _megabytes(host: Host) -> float:
    """Return the memory that a host's process uses; zero where it does not run."""
    with suppress(OSError):
        status = Path(f"/proc/{host.process.pid}/status").read_text(encoding="utf-8")
        for line in status.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / KIBIBYTES
    return 0.0
