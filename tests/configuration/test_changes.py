"""Changes are accepted exactly once under faults of the store, with a complete audit trail."""

from asyncio import gather
from collections.abc import Awaitable, Callable

import pytest

from azureswitch.coordination.configuration import AuditEntry, Changes
from azureswitch.exceptions import (
    AuditChainBrokenError,
    ChangeOutcomeUnknownError,
    ChangeReusedError,
    RevisionConflictError,
    SnapshotTooLargeError,
    StoreNotFoundError,
    StoreUnavailableError,
)
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.store import StoreFake, StoreFaults

Scenario = Callable[[Changes, StoreFake], Awaitable[None]]


def _run(scenario: Scenario, *, revisions: int = 2) -> None:
    async def main() -> None:
        store = StoreFake()
        changes = Changes(store=store, clock=lambda: 1_700_000_000.0)
        for base in range(revisions):
            await _propose(changes, base)
        await scenario(changes, store)

    run_virtual(main())


async def _propose(
    changes: Changes, base: int, *, change: str = "", body: bytes = b"", author: str = "ann"
) -> AuditEntry:
    name = change or f"change-{base + 1}"
    return await changes.propose(base=base, body=body or name.encode(), author=author, change=name)


async def _names(changes: Changes) -> list[str]:
    return [entry.change for entry in reversed(await changes.history(limit=1_000))]


class TestPropose:
    """Acceptance of a change by one conditional update."""

    def test_accepted(self) -> None:
        """An accepted change has the next revision, its audit entry and its body."""

        async def scenario(changes: Changes, store: StoreFake) -> None:
            entry = await _propose(changes, 2, author="ben")
            assert (entry.revision, entry.base, entry.author) == (3, 2, "ben")
            assert entry == await changes.head()
            assert await changes.body(entry=entry) == b"change-3"
            assert await _names(changes) == ["change-1", "change-2", "change-3"]
            assert await changes.verify() == 3

        _run(scenario)

    @pytest.mark.parametrize("revisions", [0, 2])
    @pytest.mark.parametrize("after", [0, 1, 2, 3])
    @pytest.mark.parametrize("count", [1, 3])
    @pytest.mark.parametrize("lost", [True, False])
    def test_lost_answers(self, revisions: int, after: int, count: int, lost: bool) -> None:
        """A change is applied once whichever answers are lost, with or without their writes."""

        async def scenario(changes: Changes, store: StoreFake) -> None:
            store.faults = StoreFaults(lose_after=after, lose_answers=count, lose_writes=lost)
            entry = await _propose(changes, revisions)
            assert entry.revision == revisions + 1
            assert (await _names(changes)).count(entry.change) == 1
            assert await changes.verify() == revisions + 1

        _run(scenario, revisions=revisions)

    @pytest.mark.parametrize("later", [0, 1, 4])
    def test_proposed_again(self, later: int) -> None:
        """An accepted change is found by its id, even after later ones."""

        async def scenario(changes: Changes, store: StoreFake) -> None:
            first = await _propose(changes, 2, change="mine")
            for base in range(3, 3 + later):
                await _propose(changes, base)
            assert await _propose(changes, 2, change="mine") == first
            with pytest.raises(ChangeReusedError):
                await _propose(changes, 2, change="mine", body=b"another")
            assert await changes.verify() == 3 + later

        _run(scenario)

    @pytest.mark.parametrize("faults", [StoreFaults(), StoreFaults(delay=0.5)])
    def test_race(self, faults: StoreFaults) -> None:
        """Of concurrent changes from one base, one is accepted and the others name its author."""

        async def scenario(changes: Changes, store: StoreFake) -> None:
            rivals = [StoreFake(model=store.model) for _ in range(5)]
            for rival in rivals:
                rival.faults = faults
            results = await gather(
                *(
                    _propose(Changes(store=rival), 2, change=f"by-{index}", author=f"op-{index}")
                    for index, rival in enumerate(rivals)
                ),
                return_exceptions=True,
            )
            (winner,) = [item for item in results if isinstance(item, AuditEntry)]
            losers = [item for item in results if isinstance(item, RevisionConflictError)]
            assert len(losers) == 4
            assert {(item.author, item.change) for item in losers} == {
                (winner.author, winner.change)
            }
            assert await changes.verify() == 3

        _run(scenario)

    @pytest.mark.parametrize(
        ("faults", "failure"),
        [
            (StoreFaults(down=True), StoreUnavailableError),
            (StoreFaults(delay=8.0), StoreUnavailableError),
            (
                StoreFaults(lose_after=2, lose_answers=99, lose_writes=True),
                ChangeOutcomeUnknownError,
            ),
        ],
    )
    def test_no_answer(self, faults: StoreFaults, failure: type[BaseException]) -> None:
        """A change is reported as not accepted only if nothing was sent to the store."""

        async def scenario(changes: Changes, store: StoreFake) -> None:
            store.faults = faults
            with pytest.raises(failure):
                await _propose(changes, 2)
            store.faults = StoreFaults()
            assert (await _propose(changes, 2)).revision == 3

        _run(scenario)

    def test_lost_answer_then_outage(self) -> None:
        """A change whose answer was lost before an outage is reported as unknown."""

        async def scenario(changes: Changes, store: StoreFake) -> None:
            original = store.update

            async def update(**arguments: object) -> object:
                await original(**arguments)  # type: ignore[arg-type]
                store.faults = StoreFaults(down=True)
                raise StoreUnavailableError(key="") from TimeoutError()

            store.update = update  # type: ignore[method-assign, assignment]
            with pytest.raises(ChangeOutcomeUnknownError):
                await _propose(changes, 2)
            store.faults = StoreFaults()
            assert [entry.revision for entry in await changes.history(limit=1)] == [3]

        _run(scenario)

    def test_limits(self) -> None:
        """A body over the store's limit is rejected, and expired bodies are deleted."""

        async def scenario(changes: Changes, store: StoreFake) -> None:
            with pytest.raises(SnapshotTooLargeError):
                await _propose(changes, 105, body=bytes(1_000_001))
            entries = await changes.history(limit=200)
            assert await changes.body(entry=entries[99]) == b"change-6"
            with pytest.raises(StoreNotFoundError):
                await changes.body(entry=entries[100])
            assert await changes.verify() == 105

        _run(scenario, revisions=105)


class TestVerify:
    """Verification of the chain of audit entries."""

    @pytest.mark.parametrize("damage", ["altered", "removed"])
    def test_damage_is_found(self, damage: str) -> None:
        """An altered entry and a removed one are both detected."""

        async def scenario(changes: Changes, store: StoreFake) -> None:
            found = await store.get(kind="configuration-audit", name="000000000002")
            key = {"kind": found.kind, "name": found.name, "version": found.version}
            if damage == "altered":
                value = found.value.replace(b"ann", b"eve")
                await store.update(value=value, **key)  # type: ignore[arg-type]
            else:
                await store.delete(**key)  # type: ignore[arg-type]
            with pytest.raises(AuditChainBrokenError) as failure:
                await changes.verify()
            assert failure.value.revision == 2

        _run(scenario, revisions=4)
