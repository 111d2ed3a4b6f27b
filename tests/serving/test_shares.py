"""Fairness among customers under overload, by engine time over the fleet.

Guards against a burst of one large customer that costs the small ones their credit.
"""

import pytest

from azureswitch.core import CustomerName
from azureswitch.serving import Rank
from azureswitch.serving.overload import Asked, Capacity, Demand, Reason, TargetRoom, decide
from tests.serving.callers import CallerSimulation
from tests.serving.overload import CAPACITY, ENGINES, HOSTS, PACE, add_load

SMALL = ("a", "b", "c", "d")
FULL = TargetRoom(slots=6, taken=6, wait=0.05, queued=0.0)


class TestDecide:
    """`decide` for customers above and below their share."""

    @pytest.mark.parametrize(
        ("above", "others", "reason"),
        [
            (True, False, Reason.RESERVED),
            (True, True, None),
            (False, False, None),
            (False, True, None),
        ],
    )
    def test_share(self, above: bool, others: bool, reason: Reason | None) -> None:
        """A customer above its share leaves capacity to those below theirs, of the same rank."""
        asked = Asked(
            rank=Rank(),
            above=above,
            objective=1.0,
            patience=4.0,
            first=0.5,
            idle=0.1,
            rooms=(FULL, FULL),
        )
        demand = Demand(rank=Rank(), above=others, rate=10.0, objective=0.3, work=0.03)
        assert decide(asked, Capacity(rooms=(FULL, FULL)), (demand,)) is reason


class TestUse:
    """Use of customers at several hosts."""

    def test_shared(self) -> None:
        """A host learns from digests that a customer has used more than its share elsewhere."""
        simulation = CallerSimulation(
            pace=PACE, engines=4, hosts=2, seed=1, overload_control=True, customers=("a", "b")
        )
        first, second = simulation._hosts
        for state in (first, second):
            state.fairness.charge(CustomerName("b"), 0.1, now=0.0)
        first.fairness.charge(CustomerName("a"), 2.0, now=0.0)
        simulation.run(1.0)
        for state in (first, second):
            assert state.fairness.above_share(CustomerName("a"), now=1.0)
            assert not state.fairness.above_share(CustomerName("b"), now=1.0)


class TestBurst:
    """A burst of one customer beside the usual load of the others."""

    def test_small(self) -> None:
        """The burst costs the large customer first.

        Without fairness, small customers had 0.51 to 0.66 of their requests on time and the large
        one 0.54; with it 0.80 to 0.88 and 0.46.
        """
        simulation = CallerSimulation(
            pace=PACE,
            engines=ENGINES,
            hosts=HOSTS,
            seed=1,
            overload_control=True,
            customers=(*SMALL, "large"),
        )
        for name in SMALL:
            add_load(simulation, factor=0.25, start=0.0, seconds=8.0, customer=name)
        add_load(simulation, factor=2.0 * CAPACITY, start=1.0, seconds=7.0, customer="large")
        simulation.run(20.0)
        shares = [simulation.share_on_time(name) for name in SMALL]
        large = simulation.share_on_time(CustomerName("large"))
        assert min(shares) > 1.5 * large
