"""Claims of a fleet under the faults that they are made for."""

import asyncio

import pytest

from azureswitch.coordination.claims import Granted, Replayed, _layout
from azureswitch.coordination.claims._model import HEAD_KIND, SEGMENT_KIND
from azureswitch.exceptions import (
    ClaimUnavailableError,
    IdempotencyInProgressError,
    IdempotencyMismatchError,
    OutcomeLostError,
    StoreUnavailableError,
)
from azureswitch.serving import ClaimOutcome
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.store import VALUE_LIMIT, StoreFaults
from tests.claims.fleet import ANSWER, Fleet, Host

DOWN = StoreFaults(down=True)
UP = StoreFaults()
SOON = 3.0
"""Seconds after which an outcome stands in the store, while the store is up."""


def kind(result):
    """Return the type of a result or failure."""
    return result if isinstance(result, type) else type(result)


async def _replay(fleet):
    first = await fleet.hosts[0].serve("k")
    await asyncio.sleep(SOON)
    again = [await host.serve("k") for host in fleet.hosts]
    assert all(result.body == ANSWER.body for result in again)
    return [first, *again]


async def _not_run(fleet):
    first = await fleet.hosts[0].serve("k", outcome=ClaimOutcome.NOT_RUN)
    await asyncio.sleep(1.0)
    return [first, await fleet.hosts[1].serve("k", mark="b")]


async def _store_down_before(fleet):
    fleet.faults(DOWN)
    began = asyncio.get_running_loop().time()
    first = await fleet.hosts[0].serve("k")
    assert asyncio.get_running_loop().time() - began < 0.1
    fleet.faults(UP)
    await asyncio.sleep(1.0)
    return [first, await fleet.hosts[1].serve("k"), await fleet.hosts[0].serve("k")]


async def _store_down_during(fleet):
    fleet.faults(StoreFaults(delay=0.2))
    claim = asyncio.create_task(fleet.hosts[0].serve("k"))
    await asyncio.sleep(0.3)
    fleet.faults(DOWN)
    first = await claim
    fleet.faults(UP)
    await asyncio.sleep(SOON)
    return [first, await fleet.hosts[1].serve("k")]


async def _store_down_after(fleet):
    call, first = await fleet.hosts[0].claim("k")
    fleet.faults(DOWN)
    fleet.sent["k"] += 1
    await fleet.hosts[0].claims.settle(call=call, outcome=ClaimOutcome.DONE, answer=ANSWER)
    await asyncio.sleep(120.0)
    meanwhile = await fleet.hosts[1].serve("k")
    fleet.faults(UP)
    assert await fleet.hosts[0].claims.drain(timeout=30.0)
    return [first, meanwhile, await fleet.hosts[1].serve("k")]


async def _answer_lost(fleet):
    fleet.faults(StoreFaults(lose_answers=1))
    first = await fleet.hosts[0].serve("k")
    await asyncio.sleep(SOON)
    return [first, await fleet.hosts[1].serve("k")]


async def _write_lost(fleet):
    fleet.faults(StoreFaults(lose_answers=1, lose_writes=True))
    return [await fleet.hosts[0].serve("k")]


async def _answer_lost_then_down(fleet):
    """The claim is committed, yet its caller is told that it did not run; so it never may."""
    fleet.faults(StoreFaults(delay=0.2, lose_answers=1))
    claim = asyncio.create_task(fleet.hosts[0].serve("k"))
    await asyncio.sleep(0.5)
    fleet.faults(DOWN)
    first = await claim
    assert fleet.model.counters.creates == 1
    fleet.faults(UP)
    await asyncio.sleep(SOON)
    return [first, await fleet.hosts[1].serve("k")]


async def _given_up_before_commit(fleet):
    fleet.faults(StoreFaults(delay=1.0))
    first = await fleet.hosts[0].serve("k", wait=1.5)
    fleet.faults(UP)
    await asyncio.sleep(SOON)
    return [first, await fleet.hosts[1].serve("k")]


async def _caller_left(fleet):
    fleet.faults(StoreFaults(delay=0.2))
    claim = asyncio.create_task(fleet.hosts[0].serve("k"))
    await asyncio.sleep(0.3)
    claim.cancel()
    fleet.faults(UP)
    await asyncio.sleep(SOON)
    return [await fleet.hosts[1].serve("k")]


async def _paused_and_waking(fleet):
    call, first = await fleet.hosts[0].claim("k")
    early = await fleet.hosts[1].serve("k")
    fleet.bury(fleet.hosts[0])
    await asyncio.sleep(60.0)
    late = await fleet.hosts[1].serve("k")
    fleet.sent["k"] += 1
    await fleet.hosts[0].claims.settle(call=call, outcome=ClaimOutcome.DONE, answer=ANSWER)
    await asyncio.sleep(SOON)
    return [first, early, late, await fleet.hosts[2].serve("k")]


async def _died_after_claim(fleet):
    _, first = await fleet.hosts[0].claim("k")
    fleet.hosts[0].stop()
    fleet.bury(fleet.hosts[0])
    await asyncio.sleep(SOON)
    return [first, await fleet.hosts[1].serve("k"), await fleet.hosts[2].serve("k")]


async def _died_after_send(fleet):
    fleet.sent["k"] += 1
    return await _died_after_claim(fleet)


async def _late_answer(fleet):
    call, first = await fleet.hosts[0].claim("k")
    fleet.sent["k"] += 1
    await fleet.hosts[0].claims.settle(call=call, outcome=ClaimOutcome.UNKNOWN)
    await asyncio.sleep(SOON)
    lost = await fleet.hosts[1].serve("k")
    await fleet.hosts[0].claims.settle(call=call, outcome=ClaimOutcome.DONE, answer=ANSWER)
    await asyncio.sleep(SOON)
    return [first, lost, await fleet.hosts[1].serve("k")]


async def _owner_paused(fleet):
    """The owner takes the ask, is paused, and goes on after another owner committed it."""
    owner = fleet.owner("k")
    asker = next(host for host in fleet.hosts if host is not owner)
    fleet.network.pause(address=owner.address)
    first = await asker.serve("k")
    await asyncio.sleep(SOON)
    fleet.network.resume(address=owner.address)
    await asyncio.sleep(SOON)
    return [first, *[await host.serve("k") for host in fleet.hosts]]


async def _young_host(fleet):
    """A host that has just started and knows nobody is asked for a call that runs elsewhere."""
    _, first = await fleet.hosts[0].claim("k")
    young = Host(name="10.0.0.9:70", fleet=fleet)
    fleet.views[young.address] = (fleet.member(young),)
    await asyncio.sleep(0.1)
    _, repeat = await young.claim("k")
    return [first, repeat]


async def _leaving_while_claiming(fleet):
    """The caller has left, and its host drains before the claim is granted and released."""
    other = fleet.owner("k")
    leaving = next(host for host in fleet.hosts if host is not other)
    fleet.faults(StoreFaults(delay=0.3))
    claim = asyncio.create_task(leaving.serve("k", outcome=ClaimOutcome.NOT_RUN))
    await asyncio.sleep(0.1)
    assert await leaving.claims.drain(timeout=10.0)
    claim.cancel()
    leaving.stop()
    fleet.bury(leaving)
    return [await other.serve("k")]


async def _mismatch(fleet):
    first = await fleet.hosts[0].serve("k")
    await asyncio.sleep(SOON)
    return [first, await fleet.hosts[1].serve("k", mark="other")]


SCENARIOS = [
    (_replay, [Granted, Replayed, Replayed, Replayed], 1),
    (_not_run, [Granted, Granted], 1),
    (_store_down_before, [ClaimUnavailableError, Granted, IdempotencyInProgressError], 1),
    (_store_down_during, [ClaimUnavailableError, Granted], 1),
    (_store_down_after, [Granted, ClaimUnavailableError, Replayed], 1),
    (_answer_lost, [Granted, Replayed], 1),
    (_write_lost, [Granted], 1),
    (_answer_lost_then_down, [ClaimUnavailableError, Granted], 1),
    (_given_up_before_commit, [ClaimUnavailableError, Granted], 1),
    (_caller_left, [Granted], 1),
    (_paused_and_waking, [Granted, IdempotencyInProgressError, OutcomeLostError, Replayed], 1),
    (_died_after_claim, [Granted, OutcomeLostError, OutcomeLostError], 0),
    (_died_after_send, [Granted, OutcomeLostError, OutcomeLostError], 1),
    (_late_answer, [Granted, OutcomeLostError, Replayed], 1),
    (_owner_paused, [Granted, Replayed, Replayed, Replayed], 1),
    (_young_host, [Granted, IdempotencyInProgressError], 0),
    (_leaving_while_claiming, [Granted], 1),
    (_mismatch, [Granted, IdempotencyMismatchError], 1),
]


class TestClaims:
    """The facade over several hosts."""

    @pytest.mark.parametrize(("scenario", "results", "sent"), SCENARIOS)
    def test_scenario(self, scenario, results, sent):
        """Each fault leads to the stated answers, and the call runs at most once."""

        async def main():
            fleet = Fleet()
            return [kind(result) for result in await scenario(fleet)], fleet.sent["k"]

        assert run_virtual(main()) == (results, sent)

    def test_every_host_an_owner(self):
        """Hosts that all believe they are alone still grant each key to exactly one."""

        async def main():
            fleet = Fleet()
            fleet.split()
            keys = [f"k{number}" for number in range(40)]
            asks = [host.serve(key) for key in keys for host in fleet.hosts]
            results = await asyncio.gather(*asks)
            return sum(kind(result) is Granted for result in results), fleet.sent, keys

        granted, sent, keys = run_virtual(main())
        assert granted == len(keys)
        assert all(sent[key] == 1 for key in keys)

    @pytest.mark.parametrize("turns", range(6))
    def test_cancelled(self, turns):
        """It ends when cancelled, in whatever turn of the loop after it was woken."""

        async def main():
            host = Fleet(size=1).hosts[0]
            # Between two ticks, where it waits to be woken.
            await asyncio.sleep(10.01)
            host.claims._woken.set()
            for _ in range(turns):
                await asyncio.sleep(0.0)
            host.task.cancel()
            await asyncio.wait([host.task], timeout=60.0)
            return host.task.done()

        assert run_virtual(main())

    def test_customers_are_apart(self):
        """Equal keys of two customers have nothing in common, whatever their bytes."""

        async def main():
            fleet = Fleet()
            pairs = [("a", "bk"), ("ab", "k"), ("a", "k"), ("b", "k")]
            return [await fleet.hosts[0].serve(key, customer=who) for who, key in pairs]

        assert [kind(result) for result in run_virtual(main())] == [Granted] * 4

    def test_rotation_and_retention(self, monkeypatch):
        """Keys stay known through sealing, merging and other owners, and go after retention."""
        monkeypatch.setattr(_layout, "OPEN_LIMIT", 300)

        async def main():
            fleet = Fleet(retention=400.0)
            fleet.faults(StoreFaults(delay=0.005))
            keys = [f"k{number}" for number in range(400)]
            for start in range(0, len(keys), 20):
                await asyncio.gather(*(fleet.hosts[0].serve(key) for key in keys[start:][:20]))
                await asyncio.sleep(SOON)
            segments = [item.name for item in fleet.model.list(kind=SEGMENT_KIND).items]
            fleet.split()
            repeats = await asyncio.gather(*(fleet.hosts[2].serve(key) for key in keys))
            await asyncio.sleep(500.0)
            fresh = await asyncio.gather(*(fleet.hosts[1].serve(key) for key in keys))
            for number in range(6):
                await asyncio.gather(*(fleet.hosts[1].serve(f"{number}{key}") for key in keys[:80]))
                await asyncio.sleep(SOON)
            left = {item.name for item in fleet.model.list(kind=SEGMENT_KIND).items}
            return segments, repeats, fresh, left

        segments, repeats, fresh, left = run_virtual(main())
        assert any("1-8" in name for name in segments)
        assert {kind(result) for result in repeats} == {Replayed}
        assert {kind(result) for result in fresh} == {Granted}
        assert not left & set(segments)

    def test_segments_cannot_be_stored(self, monkeypatch):
        """Where only heads can be written, claims stop before the outcomes of earlier ones do."""

        async def refuse(**_):
            raise StoreUnavailableError(key=SEGMENT_KIND)

        async def main():
            fleet = Fleet()
            host = fleet.hosts[0]
            fleet.split()
            create = host.store.create
            monkeypatch.setattr(
                host.store,
                "create",
                lambda **ask: (refuse if ask["kind"] == SEGMENT_KIND else create)(**ask),
            )
            results = []
            for start in range(0, 6_000, 600):
                keys = [f"k{number}" for number in range(start, start + 600)]
                results += await asyncio.gather(*(host.serve(key, body=4_000) for key in keys))
                await asyncio.sleep(SOON)
            drained = await host.claims.drain(timeout=30.0)
            heads = fleet.model.list(kind=HEAD_KIND).items
            largest = max(len(head.value) for head in heads)
            return {kind(result) for result in results}, largest, drained

        results, largest, drained = run_virtual(main())
        assert results == {Granted, ClaimUnavailableError}
        assert largest < VALUE_LIMIT
        assert drained
