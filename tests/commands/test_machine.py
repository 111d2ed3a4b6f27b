"""Operators who race over a store that fails, in random order."""

from collections.abc import Coroutine
from itertools import pairwise
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec import Struct
from msgspec.structs import replace

from azureswitch.commands._propose import propose
from azureswitch.commands._reports import ApplyReport, ConflictReport
from azureswitch.commands._revisions import Revisions
from azureswitch.coordination.configuration import AuditEntry
from azureswitch.exceptions import (
    ChangeOutcomeUnknownError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from azureswitch.inventory import Snapshot
from azureswitch.ports import StoredObject
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.store import StoreFake, StoreFaults, StoreModel

HEAD_KIND = "configuration-head"
OPERATORS = 3
PATIENCE = 1.0
"""Seconds, of the virtual clock, for which a change is tried."""

FAULTS = st.sampled_from([StoreFaults(), StoreFaults(down=True)]) | st.builds(
    StoreFaults,
    lose_after=st.integers(0, 4),
    lose_answers=st.integers(1, 8),
    lose_writes=st.booleans(),
)
NAMES = st.integers(0, OPERATORS - 1)


class Way(StoreFake):
    """One operator's way to the store, which can be cut just as a change is accepted."""

    cut: bool | None = None
    """Whether the next write of the head takes effect before the way is cut; None for no cut."""

    async def create(self, *, kind: str, name: str, value: bytes) -> StoredObject:
        """Create an object."""
        write = super().create(kind=kind, name=name, value=value)
        return await self._cut(kind, write)

    async def update(self, *, kind: str, name: str, value: bytes, version: int) -> StoredObject:
        """Replace an object."""
        write = super().update(kind=kind, name=name, value=value, version=version)
        return await self._cut(kind, write)

    async def _cut(self, kind: str, write: Coroutine[Any, Any, StoredObject]) -> StoredObject:
        if kind != HEAD_KIND or self.cut is None:
            return await write
        written, self.cut = self.cut, None
        if written:
            await write
        write.close()
        self.faults = StoreFaults(down=True)
        raise StoreOutcomeUnknownError(key=HEAD_KIND)


class Pending(Struct, frozen=True):
    """A change whose outcome is not known."""

    base: int
    value: int
    change: str


class OperatorsMachine(RuleBasedStateMachine):
    """Three operators, each with a way to the store of its own that fails by itself."""

    def __init__(self) -> None:
        super().__init__()
        self.model = StoreModel()
        self.ways = [Way(model=self.model) for _ in range(OPERATORS)]
        self.accepted: dict[str, int] = {}
        self.pending: dict[int, Pending] = {}
        self.refused = 0
        self.values = 0

    @property
    def trail(self) -> tuple[AuditEntry, ...]:
        """The audit trail, oldest first, as a way without faults reads it."""
        changes = Revisions(store=StoreFake(model=self.model), patience=PATIENCE).changes
        return tuple(reversed(run_virtual(changes.history(limit=1_000))))

    @rule(name=NAMES, faults=FAULTS)
    def break_store(self, name: int, faults: StoreFaults) -> None:
        """The store fails, or mends, for one operator."""
        self.ways[name].faults = faults

    @rule(name=NAMES, behind=st.sampled_from([0, 0, 0, 1, 2]))
    def change(self, name: int, behind: int) -> None:
        """An operator makes a change, perhaps from a revision that is no longer the newest."""
        if name not in self.pending:
            self.values += 1
            base = max(0, len(self.trail) - behind)
            self._propose(name, Pending(base=base, value=self.values, change=""))

    @rule(name=NAMES, written=st.booleans())
    def change_and_lose_the_store(self, name: int, written: bool) -> None:
        """An operator's way to the store is cut while its change is accepted, or just before."""
        self.ways[name].faults = StoreFaults()
        self.ways[name].cut = written
        self.change(name=name, behind=0)
        self.ways[name].cut = None

    @precondition(lambda self: self.pending)
    @rule(mend=st.booleans())
    def ask_again(self, mend: bool) -> None:
        """An operator tries again, by its id, what it does not know the outcome of."""
        name, pending = min(self.pending.items())
        if mend:
            self.ways[name].faults = StoreFaults()
        self._propose(name, pending)
        assert not mend or name not in self.pending

    def _propose(self, name: int, wanted: Pending) -> None:
        def edit(old: Snapshot) -> Snapshot:
            return replace(old, rules=replace(old.rules, body_limit=10_000 + wanted.value))

        revisions = Revisions(store=self.ways[name], patience=PATIENCE)
        self.pending.pop(name, None)
        try:
            report = run_virtual(
                propose(
                    revisions,
                    base=wanted.base,
                    edit=edit,
                    author=str(wanted.value),
                    change=wanted.change or None,
                )
            )
        except ChangeOutcomeUnknownError as error:
            self.pending[name] = replace(wanted, change=error.change)
        except StoreUnavailableError:
            self._not_accepted(wanted)
        else:
            self._answered(wanted, report)

    def _answered(self, wanted: Pending, report: ApplyReport | ConflictReport) -> None:
        if isinstance(report, ConflictReport):
            assert report.entries
            self._not_accepted(wanted)
        else:
            assert report.revision == wanted.base + 1
            self.accepted[report.change] = wanted.value

    def _not_accepted(self, wanted: Pending) -> None:
        """An operator who is told that nothing was accepted can rely on it."""
        assert str(wanted.value) not in {entry.author for entry in self.trail}

    @invariant()
    def each_once(self) -> None:
        """Revisions count on by one, and each change stands in the trail once."""
        trail = self.trail
        authors = [entry.author for entry in trail]
        assert [entry.revision for entry in trail] == list(range(1, len(trail) + 1))
        assert all(new.base == old.revision for old, new in pairwise(trail))
        assert len(set(authors)) == len(authors)
        assert {entry.change for entry in trail} >= self.accepted.keys()


TestOperators = OperatorsMachine.TestCase
TestOperators.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
