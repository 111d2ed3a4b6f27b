"""Tests of leases: two hosts, paused holders, lost answers and store outages."""

from asyncio import sleep
from collections.abc import Awaitable, Callable

import pytest

from azureswitch.coordination.leases import LEASE_KIND, LEASE_TERM, Lease
from azureswitch.core import HostName, Incarnation
from azureswitch.exceptions import LeaseLostError
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.store import StoreFake, StoreFaults, StoreModel

GROUP = "orders-1"
PAUSE = 4 * LEASE_TERM


class Pair:
    """Two hosts that contend for the lease of one group, each with its own store client."""

    def __init__(self) -> None:
        self.model = StoreModel()
        self.stores = tuple(StoreFake(model=self.model) for _ in range(2))
        self.first, self.second = (self.lease(at, started=1) for at in range(2))

    def lease(self, at: int, *, started: int) -> Lease:
        """Return a lease for a process of one of the hosts."""
        myself = Incarnation(host=HostName(f"host-{at}"), started=started)
        return Lease(myself=myself, store=self.stores[at], group=GROUP, seed=started * 10 + at)

    async def until_held(self, lease: Lease, *, limit: float = 3 * LEASE_TERM) -> int:
        """Let one host contend until it holds the lease."""
        for _ in range(int(limit / 0.5)):
            fence = await lease.contend()
            if fence is not None:
                return fence
            await sleep(0.5)
        raise AssertionError(limit)


def play(script: Callable[[Pair], Awaitable[None]]) -> None:
    """Run a script on a fresh pair in virtual time."""

    async def main() -> None:
        await script(Pair())

    run_virtual(main())


class TestLease:
    """Two hosts that contend for the lease of one group."""

    def test_fence_is_the_version_of_the_acquisition(self) -> None:
        """Renewals change the object's version but not the fencing number."""

        async def script(pair: Pair) -> None:
            fence = await pair.until_held(pair.first)
            assert fence == pair.model.get(kind=LEASE_KIND, name=GROUP).version
            for _ in range(20):
                await sleep(1.0)
                assert await pair.first.contend() == fence
            assert pair.model.get(kind=LEASE_KIND, name=GROUP).version > fence

        play(script)

    def test_renewed_lease_is_not_taken(self) -> None:
        """Another host never acquires a lease that is renewed in time."""

        async def script(pair: Pair) -> None:
            await pair.until_held(pair.first)
            for _ in range(100):
                assert await pair.second.contend() is None
                await pair.first.contend()
                await sleep(0.5)

        play(script)

    def test_paused_holder_with_successor(self) -> None:
        """A holder paused past its term is refused, and the fence of its successor is greater."""

        async def script(pair: Pair) -> None:
            old = await pair.until_held(pair.first)
            await sleep(PAUSE)
            new = await pair.until_held(pair.second)
            assert new > old
            assert pair.first.fence == old
            with pytest.raises(LeaseLostError):
                await pair.first.use()
            assert pair.first.fence is None
            assert await pair.second.use() == new

        play(script)

    def test_paused_holder_without_successor(self) -> None:
        """A paused holder that was not replaced renews and keeps its fencing number."""

        async def script(pair: Pair) -> None:
            fence = await pair.until_held(pair.first)
            await sleep(PAUSE)
            assert await pair.first.use() == fence

        play(script)

    def test_holder_yields_to_newer_fence(self) -> None:
        """A newer fencing number, reported by a receiver, ends the holder's lease at once."""

        async def script(pair: Pair) -> None:
            fence = await pair.until_held(pair.first)
            await pair.first.yield_to(newest=fence)
            assert pair.first.fence == fence
            await pair.first.yield_to(newest=fence + 1)
            assert pair.first.fence is None
            assert await pair.until_held(pair.first) > fence

        play(script)

    @pytest.mark.parametrize("wait", [0.0, 1.0], ids=["same read", "next read"])
    def test_released_lease_is_free_at_once(self, wait: float) -> None:
        """A released lease is acquired without waiting for the term."""

        async def script(pair: Pair) -> None:
            old = await pair.until_held(pair.first)
            await pair.first.release()
            await sleep(wait)
            assert await pair.until_held(pair.second, limit=0.5) > old

        play(script)

    def test_restarted_process_takes_over(self) -> None:
        """A new process of the same host takes over at once, and the old one loses the lease."""

        async def script(pair: Pair) -> None:
            old = await pair.until_held(pair.first)
            restarted = pair.lease(0, started=2)
            assert await pair.until_held(restarted, limit=0.5) > old
            await sleep(PAUSE)
            with pytest.raises(LeaseLostError):
                await pair.first.use()

        play(script)


class TestStoreFaults:
    """The store loses answers or is down."""

    @pytest.mark.parametrize("lose_writes", [False, True], ids=["written", "not written"])
    @pytest.mark.parametrize("answers", [1, 2, 3])
    def test_lost_answers_leave_one_holder(self, answers: int, lose_writes: bool) -> None:
        """After a lost answer the object determines the holder, whether it was written or not."""

        async def script(pair: Pair) -> None:
            pair.stores[0].faults = StoreFaults(lose_answers=answers, lose_writes=lose_writes)
            fence = await pair.until_held(pair.first)
            assert await pair.second.contend() is None
            await sleep(PAUSE)
            pair.stores[0].faults = StoreFaults(lose_answers=answers, lose_writes=lose_writes)
            assert await pair.first.contend() == fence
            assert await pair.until_held(pair.second) > fence

        play(script)

    def test_holder_stops_when_it_cannot_confirm(self) -> None:
        """While the store is down a lease is usable for one term, and usable again afterwards."""

        async def script(pair: Pair) -> None:
            fence = await pair.until_held(pair.first)
            pair.stores[0].faults = StoreFaults(down=True)
            await sleep(LEASE_TERM / 2)
            assert await pair.first.use() == fence
            await sleep(LEASE_TERM)
            with pytest.raises(LeaseLostError):
                await pair.first.use()
            pair.stores[0].faults = StoreFaults()
            assert await pair.first.use() == fence

        play(script)

    def test_renewal_that_was_not_written_confirms_nothing(self) -> None:
        """A holder whose renewals were not written does not take them as confirmed."""

        async def script(pair: Pair) -> None:
            await pair.until_held(pair.first)
            await sleep(PAUSE)
            pair.stores[0].faults = StoreFaults(lose_answers=100, lose_writes=True)
            with pytest.raises(LeaseLostError):
                await pair.first.use()

        play(script)

    def test_store_calls_are_bounded(self) -> None:
        """A store that loses the answer to every write is not called without end."""

        async def script(pair: Pair) -> None:
            pair.stores[0].faults = StoreFaults(lose_answers=10_000, lose_writes=True)
            assert await pair.first.contend() is None
            assert pair.model.counters.calls <= 6

        play(script)
