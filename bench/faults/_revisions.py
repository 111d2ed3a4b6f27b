"""Watches from outside which revision is in force on each entry host."""

import asyncio
from collections.abc import Iterator

from azureswitch_load import Promise, Violation
from azureswitch_load.demo import read_revision
from bench.faults._process import EntryProcess

PERIOD = 0.2
"""Seconds between two looks."""

TIMEOUT = 1.0
"""Seconds that one look may take."""


class Revisions:
    """Notes the newest revision seen per host, over restarts as well."""

    def __init__(self) -> None:
        self._newest: dict[str, int] = {}
        self._reverted: list[Violation] = []
        self._looks = 0

    @property
    def newest(self) -> dict[str, int]:
        """The newest revision seen per host."""
        return dict(self._newest)

    @property
    def looks(self) -> int:
        """How many answers were seen."""
        return self._looks

    def violations(self, *, accepted: int) -> Iterator[Violation]:
        """Yield the revisions that went back, and hosts that do not have the last one."""
        yield from self._reverted
        for host, revision in self._newest.items():
            if revision != accepted:
                detail = f"{host} has {revision} in force at the end, accepted was {accepted}"
                yield Violation(promise=Promise.CONFIGURATION, detail=detail)

    async def run(self, *, entries: list[EntryProcess]) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.gather(*(self._look(entry) for entry in entries))
            await asyncio.sleep(PERIOD)

    async def _look(self, entry: EntryProcess) -> None:
        revision = await read_revision(address=entry.plan.operations, timeout=TIMEOUT)
        if not revision:
            return
        self._looks += 1
        name = entry.plan.name
        before = self._newest.get(name, 0)
        if revision < before:
            detail = f"{name} went back from revision {before} to {revision}"
            self._reverted.append(Violation(promise=Promise.CONFIGURATION, detail=detail))
        self._newest[name] = max(before, revision)
