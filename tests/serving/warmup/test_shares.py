"""Tests which hosts may send to a limited target, and how many requests they send in a second."""

from random import Random

import pytest

from azureswitch.core import HostName, TargetName
from azureswitch.serving.warmup import Shares
from tests.serving.cold import BOUND, WARMUP

TARGET = TargetName("e0")
HOSTS = tuple(HostName(f"h{index}") for index in range(80))
STEP = 0.01
SECONDS = 4.0


def shares(view: tuple[HostName, ...], host: HostName, *, fleet: int = len(HOSTS)) -> Shares:
    """Return a host's shares by the live hosts that it sees."""
    known = Shares(host=host, fleet_hosts=fleet)
    known.set_hosts(view, fleet_hosts=fleet)
    return known


def max_sent(hosts: list[Shares], *, rate: float, target: TargetName = TARGET) -> int:
    """Return the most requests in any second if hosts send as soon as they may."""
    times: list[float] = []
    for step in range(int(SECONDS / STEP)):
        now = step * STEP
        for host in hosts:
            if host.may_send(target, rate=rate, now=now):
                host.take(target)
                times.append(now)
    windows = (sum(at <= other < at + 1.0 - STEP / 2 for other in times) for at in times)
    return max(windows, default=0)


class TestSubset:
    """The hosts that may send."""

    @pytest.mark.parametrize(
        ("rate", "count"), [(0.5, 1), (1.9, 1), (2.0, 1), (4.0, 2), (17.0, 8), (136.0, 68)]
    )
    def test_size(self, rate: float, count: int) -> None:
        """Hosts that see each other agree on half as many hosts as there are requests a second."""
        senders = [host for host in HOSTS if shares(HOSTS, host).is_sender(TARGET, rate=rate)]
        assert len(senders) == count

    def test_dead_host_is_replaced(self) -> None:
        """The share of a dead host passes to one other host once hosts know of it."""
        senders = {h for h in HOSTS if shares(HOSTS, h).is_sender(TARGET, rate=17.0)}
        dead = min(senders)
        rest = tuple(host for host in HOSTS if host != dead)
        after = {h for h in rest if shares(rest, h).is_sender(TARGET, rate=17.0)}
        assert len(after) == 8
        assert senders - after == {dead}

    def test_targets_have_different_senders(self) -> None:
        """Every host may send to some of 54 cold targets, so that any host can serve callers."""
        for host in HOSTS:
            known = shares(HOSTS, host)
            names = (TargetName(f"e{index}") for index in range(54))
            assert any(known.is_sender(name, rate=17.0) for name in names)


class TestRate:
    """The requests of all hosts together in any one second."""

    @pytest.mark.parametrize("rate", [0.5, 1.0, 1.9, 2.0, 3.0, 5.0, 17.0, 40.0])
    def test_hosts_that_agree(self, rate: float) -> None:
        """Hosts that see each other send no more than the rate, and half of it at least."""
        sent = max_sent([shares(HOSTS, host) for host in HOSTS], rate=rate)
        assert sent <= (rate if rate >= 2.0 else 1.0 + rate / 2.0)
        assert sent >= 0.5 * rate - 1.0

    @pytest.mark.parametrize("fleet", range(12))
    @pytest.mark.parametrize("sizes", [(80,), (40, 40), (41, 39), (50, 30), (20,) * 4, (1,) * 80])
    def test_sides_that_do_not_see_each_other(self, sizes: tuple[int, ...], fleet: int) -> None:
        """The sides of a partition together stay within the bound at each of 54 targets.

        Which hosts draw a target depends on names, so that several fleets are tried.
        """
        hosts = [HostName(f"fleet{fleet}-{index}") for index in range(80)]
        known: list[Shares] = []
        begin = 0
        for size in sizes:
            view = tuple(hosts[begin : begin + size])
            known += [shares(view, host) for host in view]
            begin += size
        for index in range(54):
            target = TargetName(f"e{index}")
            senders = [h for h in known if h.is_sender(target, rate=WARMUP.rate)]
            assert not senders or max_sent(senders, rate=WARMUP.rate, target=target) <= BOUND

    @pytest.mark.parametrize("share", [0.4, 0.52, 0.6, 0.7, 0.8, 0.95])
    def test_hosts_with_different_views(self, share: float) -> None:
        """Hosts that each see another part of the fleet stay within the bound at each target."""
        random = Random(round(share * 100))
        known = [
            shares((host, *random.sample(HOSTS, round(share * len(HOSTS)))), host, fleet=len(HOSTS))
            for host in HOSTS
        ]
        for index in range(54):
            target = TargetName(f"e{index}")
            senders = [h for h in known if h.is_sender(target, rate=WARMUP.rate)]
            assert not senders or max_sent(senders, rate=WARMUP.rate, target=target) <= BOUND

    def test_frozen_host(self) -> None:
        """A host that resumes sends one request at once, however long it was frozen."""
        alone = shares((HOSTS[0],), HOSTS[0], fleet=1)
        alone.refill(TARGET, rate=17.0, now=0.0)
        sent = 0
        while alone.may_send(TARGET, rate=17.0, now=60.0):
            alone.take(TARGET)
            sent += 1
        assert sent == 1

    def test_restarted_host(self) -> None:
        """A bucket starts empty, so that hosts that start together send nothing at once."""
        alone = shares((HOSTS[0],), HOSTS[0], fleet=1)
        assert not alone.may_send(TARGET, rate=17.0, now=0.0)
        assert alone.wait(TARGET, rate=17.0, now=0.0) == pytest.approx(1.0 / 1.125)

    def test_host_that_joins_the_subset(self) -> None:
        """The bucket of a host that was not in the subset before starts empty."""
        rest = tuple(h for h in HOSTS if not shares(HOSTS, h).is_sender(TARGET, rate=17.0))
        known = shares(HOSTS, rest[0])
        known.refill(TARGET, rate=17.0, now=0.0)
        known.set_hosts((rest[0],), fleet_hosts=1)
        known.refill(TARGET, rate=17.0, now=5.0)
        assert not known.may_send(TARGET, rate=17.0, now=5.0)
        assert known.may_send(TARGET, rate=17.0, now=6.0)

    def test_forgotten_targets(self) -> None:
        """Nothing is kept for targets that are no longer limited, as their names may change."""
        known = shares(HOSTS, HOSTS[0])
        for index in range(100):
            known.may_send(TargetName(f"x{index}"), rate=17.0, now=0.0)
        known.keep(frozenset({TARGET}))
        assert not known._positions
        assert not known._buckets
