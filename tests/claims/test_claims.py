"""Claims of a fleet under faults of the store, of hosts and of the network."""

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
FLUSH_SECONDS = 3.0
"""Seconds after which an outcome is in the store, while the store is up."""


def kind(result):
    """Return the type of a result or failure."""
    return result if isinstance(result, type) else type(result)


async def _replay(fleet):
    first = await fleet.hosts[0].serve("k")
    await asyncio.sleep(FLUSH_SECONDS)
    again = [await host.serve("k") for host in fleet.hosts]
    assert all(result.body == ANSWER.body for result in again)
    return [first, *again]


async def _not_run(fleet):
    first = await fleet.hosts[0].serve("k", outcome=ClaimOutcome.NOT_RUN)
    await asyncio.sleep(1.0)
    return [first, await fleet.hosts[1].serve("k", mark="b")]


async def _store_down_before(fleet):
    fleet.set_faults(DOWN)
    began = asyncio.get_running_loop().time()
    first = await fleet.hosts[0].serve("k")
    assert asyncio.get_running_loop().time() - began < 0.1
    fleet.set_faults(UP)
    await asyncio.sleep(1.0)
    return [first, await fleet.hosts[1].serve("k"), await fleet.hosts[0].serve("k")]


async def _store_down_during(fleet):
    fleet.set_faults(StoreFaults(delay=0.2))
    claim = asyncio.create_task(fleet.hosts[0].serve("k"))
    await asyncio.sleep(0.3)
    fleet.set_faults(DOWN)
    first = await claim
    fleet.set_faults(UP)
    await asyncio.sleep(FLUSH_SECONDS)
    return [first, await fleet.hosts[1].serve("k")]


async def _store_down_after(fleet):
    call, first = await fleet.hosts[0].claim("k")
    fleet.set_faults(DOWN)
    fleet.sent["k"] += 1
    await fleet.hosts[0].claims.settle(call=call, outcome=ClaimOutcome.DONE, answer=ANSWER)
    await asyncio.sleep(120.0)
    meanwhile = await fleet.hosts[1].serve("k")
    fleet.set_faults(UP)
    assert await fleet.hosts[0].claims.drain(timeout=30.0)
    return [first, meanwhile, await fleet.hosts[1].serve("k")]


async def _answer_lost(fleet):
    fleet.set_faults(StoreFaults(lose_answers=1))
    first = await fleet.hosts[0].serve("k")
    await asyncio.sleep(FLUSH_SECONDS)
    return [first, await fleet.hosts[1].serve("k")]


async def _write_lost(fleet):
    fleet.set_faults(StoreFaults(lose_answers=1, lose_writes=True))
    return [await fleet.hosts[0].serve("k")]


async def _answer_lost_then_down(fleet):
    """The claim is committed, but its caller is answered not run; so the call must never run."""
    fleet.set_faults(StoreFaults(delay=0.2, lose_answers=1))
    claim = asyncio.create_task(fleet.hosts[0].serve("k"))
    await asyncio.sleep(0.5)
    fleet.set_faults(DOWN)
    first = await claim
    assert fleet.model.counters.creates == 1
    fleet.set_faults(UP)
    await asyncio.sleep(FLUSH_SECONDS)
    return [first, await fleet.hosts[1].serve("k")]


async def _abandoned_before_commit(fleet):
    fleet.set_faults(StoreFaults(delay=1.0))
    first = await fleet.hosts[0].serve("k", wait=1.5)
    fleet.set_faults(UP)
    await asyncio.sleep(FLUSH_SECONDS)
    return [first, await fleet.hosts[1].serve("k")]


async def _caller_left(fleet):
    fleet.set_faults(StoreFaults(delay=0.2))
    claim = asyncio.create_task(fleet.hosts[0].serve("k"))
    await asyncio.sleep(0.3)
    claim.cancel()
    fleet.set_faults(UP)
    await asyncio.sleep(FLUSH_SECONDS)
    return [await fleet.hosts[1].serve("k")]


async def _paused_after_claim(fleet):
    call, first = await fleet.hosts[0].claim("k")
    early = await fleet.hosts[1].serve("k")
    fleet.declare_dead(fleet.hosts[0])
    await asyncio.sleep(60.0)
    late = await fleet.hosts[1].serve("k")
    fleet.sent["k"] += 1
    await fleet.hosts[0].claims.settle(call=call, outcome=ClaimOutcome.DONE, answer=ANSWER)
    await asyncio.sleep(FLUSH_SECONDS)
    return [first, early, late, await fleet.hosts[2].serve("k")]


async def _died_after_claim(fleet):
    _, first = await fleet.hosts[0].claim("k")
    fleet.hosts[0].stop()
    fleet.declare_dead(fleet.hosts[0])
    await asyncio.sleep(FLUSH_SECONDS)
    return [first, await fleet.hosts[1].serve("k"), await fleet.hosts[2].serve("k")]


async def _died_after_send(fleet):
    fleet.sent["k"] += 1
    return await _died_after_claim(fleet)


async def _late_answer(fleet):
    call, first = await fleet.hosts[0].claim("k")
    fleet.sent["k"] += 1
    await fleet.hosts[0].claims.settle(call=call, outcome=ClaimOutcome.UNKNOWN)
    await asyncio.sleep(FLUSH_SECONDS)
    lost = await fleet.hosts[1].serve("k")
    await fleet.hosts[0].claims.settle(call=call, outcome=ClaimOutcome.DONE, answer=ANSWER)
    await asyncio.sleep(FLUSH_SECONDS)
    return [first, lost, await fleet.hosts[1].serve("k")]


async def _owner_paused(fleet):
    """The owner receives the request, is paused, and resumes after another owner committed it."""
    owner = fleet.owner("k")
    claimer = next(host for host in fleet.hosts if host is not owner)
    fleet.network.pause(address=owner.address)
    first = await claimer.serve("k")
    await asyncio.sleep(FLUSH_SECONDS)
    fleet.network.resume(address=owner.address)
    await asyncio.sleep(FLUSH_SECONDS)
    return [first, *[await host.serve("k") for host in fleet.hosts]]


async def _started_host(fleet):
    """A host that has just started and knows no other receives a call that runs elsewhere."""
    _, first = await fleet.hosts[0].claim("k")
    started = Host(name="10.0.0.9:70", fleet=fleet)
    fleet.views[started.address] = (fleet.member(started),)
    await asyncio.sleep(0.1)
    _, repeat = await started.claim("k")
    return [first, repeat]


async def _leaving_while_claiming(fleet):
    """The caller leaves, and its host drains until the claim is granted and released."""
    other = fleet.owner("k")
    leaving = next(host for host in fleet.hosts if host is not other)
    fleet.set_faults(StoreFaults(delay=0.3))
    claim = asyncio.create_task(leaving.serve("k", outcome=ClaimOutcome.NOT_RUN))
    await asyncio.sleep(0.1)
    assert await leaving.claims.drain(timeout=10.0)
    claim.cancel()
    leaving.stop()
    fleet.declare_dead(leaving)
    return [await other.serve("k")]


async def _mismatch(fleet):
    first = await fleet.hosts[0].serve("k")
    await asyncio.sleep(FLUSH_SECONDS)
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
    (_abandoned_before_commit, [ClaimUnavailableError, Granted], 1),
    (_caller_left, [Granted], 1),
    (_paused_after_claim, [Granted, IdempotencyInProgressError, OutcomeLostError, Replayed], 1),
    (_died_after_claim, [Granted, OutcomeLostError, OutcomeLostError], 0),
    (_died_after_send, [Granted, OutcomeLostError, OutcomeLostError], 1),
    (_late_answer, [Granted, OutcomeLostError, Replayed], 1),
    (_owner_paused, [Granted, Replayed, Replayed, Replayed], 1),
    (_started_host, [Granted, IdempotencyInProgressError], 0),
    (_leaving_while_claiming, [Granted], 1),
    (_mismatch, [Granted, IdempotencyMismatchError], 1),
]


class TestClaims:
    """`Claims` on several hosts."""

    @pytest.mark.parametrize(("scenario", "results", "sent"), SCENARIOS)
    def test_scenario(self, scenario, results, sent):
        """Each fault leads to the expected results, and the call runs at most once."""

        async def main():
            fleet = Fleet()
            return [kind(result) for result in await scenario(fleet)], fleet.sent["k"]

        assert run_virtual(main()) == (results, sent)

    def test_isolated_hosts(self):
        """Hosts that each see only themselves as owner still grant each key exactly once."""

        async def main():
            fleet = Fleet()
            fleet.isolate_hosts()
            keys = [f"k{number}" for number in range(40)]
            calls = [host.serve(key) for key in keys for host in fleet.hosts]
            results = await asyncio.gather(*calls)
            return sum(kind(result) is Granted for result in results), fleet.sent, keys

        granted, sent, keys = run_virtual(main())
        assert granted == len(keys)
        assert all(sent[key] == 1 for key in keys)

    @pytest.mark.parametrize("turns", range(6))
    def test_cancelled(self, turns):
        """`run` ends when cancelled in any turn of the loop after its wake-up."""

        async def main():
            host = Fleet(size=1).hosts[0]
            # Between two ticks, while it waits for a wake-up.
            await asyncio.sleep(10.01)
            host.claims._wakeup.set()
            for _ in range(turns):
                await asyncio.sleep(0.0)
            host.task.cancel()
            await asyncio.wait([host.task], timeout=60.0)
            return host.task.done()

        assert run_virtual(main())

    def test_customers_are_independent(self):
        """Keys of two customers never collide, whatever the bytes of customer and key."""

        async def main():
            fleet = Fleet()
            pairs = [("a", "bk"), ("ab", "k"), ("a", "k"), ("b", "k")]
            return [await fleet.hosts[0].serve(key, customer=customer) for customer, key in pairs]

        assert [kind(result) for result in run_virtual(main())] == [Granted] * 4

    def test_rotation_and_retention(self, monkeypatch):
        """Keys are found after sealing, merging and a change of owner, and expire in time."""
        monkeypatch.setattr(_layout, "FREEZE_BYTES", 300)

        async def main():
            fleet = Fleet(retention=400.0)
            fleet.set_faults(StoreFaults(delay=0.005))
            keys = [f"k{number}" for number in range(400)]
            for start in range(0, len(keys), 20):
                await asyncio.gather(*(fleet.hosts[0].serve(key) for key in keys[start:][:20]))
                await asyncio.sleep(FLUSH_SECONDS)
            segments = [item.name for item in fleet.model.list(kind=SEGMENT_KIND).items]
            fleet.isolate_hosts()
            repeats = await asyncio.gather(*(fleet.hosts[2].serve(key) for key in keys))
            await asyncio.sleep(500.0)
            fresh = await asyncio.gather(*(fleet.hosts[1].serve(key) for key in keys))
            for number in range(6):
                await asyncio.gather(*(fleet.hosts[1].serve(f"{number}{key}") for key in keys[:80]))
                await asyncio.sleep(FLUSH_SECONDS)
            remaining = {item.name for item in fleet.model.list(kind=SEGMENT_KIND).items}
            return segments, repeats, fresh, remaining

        segments, repeats, fresh, remaining = run_virtual(main())
        assert any("1-8" in name for name in segments)
        assert {kind(result) for result in repeats} == {Replayed}
        assert {kind(result) for result in fresh} == {Granted}
        assert not remaining & set(segments)

    def test_segments_cannot_be_stored(self, monkeypatch):
        """If only heads can be written, claims are refused while outcomes are still recorded."""

        async def refuse(**_):
            raise StoreUnavailableError(key=SEGMENT_KIND)

        async def main():
            fleet = Fleet()
            host = fleet.hosts[0]
            fleet.isolate_hosts()
            create = host.store.create
            monkeypatch.setattr(
                host.store,
                "create",
                lambda **options: (refuse if options["kind"] == SEGMENT_KIND else create)(
                    **options
                ),
            )
            results = []
            for start in range(0, 6_000, 600):
                keys = [f"k{number}" for number in range(start, start + 600)]
                results += await asyncio.gather(*(host.serve(key, body=4_000) for key in keys))
                await asyncio.sleep(FLUSH_SECONDS)
            drained = await host.claims.drain(timeout=30.0)
            heads = fleet.model.list(kind=HEAD_KIND).items
            largest = max(len(head.value) for head in heads)
            return {kind(result) for result in results}, largest, drained

        results, largest, drained = run_virtual(main())
        assert results == {Granted, ClaimUnavailableError}
        assert largest < VALUE_LIMIT
        assert drained
