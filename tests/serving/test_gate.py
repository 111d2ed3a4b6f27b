"""Tests that a request satisfies both kinds of limit: announced ones and those of cold targets."""

import pytest
from msgspec.structs import replace

from azureswitch.core import HostName, TargetName
from azureswitch.exceptions import LimitReachedError, RefusedError, TargetsColdError
from azureswitch.inventory import Target, Warmup
from azureswitch.serving import LimitNamed
from azureswitch.serving._throttling import (
    all_limited,
    cold_limited,
    count_held_back,
    is_cold,
    is_limited,
    limit_reached,
    permitted,
    seconds_until_permitted,
)
from tests.serving.cold import ColdWorld
from tests.serving.engines import SERVICE
from tests.serving.fixtures import Driver, booking, engine, model_call, plain_call, snapshot

HOST = HostName("h0")
RATE = 1.0


def world_of(*, limited: int, cold: int, targets: int = 2, run: float = 0.0) -> ColdWorld:
    """Return a world of one host; the last targets are limited and the first ones are cold."""
    world = ColdWorld(hosts=1, targets=targets, cold=cold)
    world.run(run)
    names = [TargetName(f"e{index}") for index in range(targets)][targets - limited :]
    for name in names:
        world._reduce(HOST, LimitNamed(now=world.now, target=name, rate=RATE, text="1"))
    return world


class TestGate:
    """What may be sent now, what is held back and with which error calls are refused."""

    @pytest.mark.parametrize(
        ("limited", "cold", "allowed", "held_back", "error"),
        [
            (0, 0, 2, 0, None),
            (0, 1, 1, 1, None),
            (1, 0, 1, 1, None),
            (0, 2, 0, 2, TargetsColdError),
            (2, 0, 0, 2, LimitReachedError),
            (1, 1, 0, 2, TargetsColdError),
            (2, 2, 0, 2, TargetsColdError),
        ],
    )
    def test_at_once(
        self, limited: int, cold: int, allowed: int, held_back: int, error: type[RefusedError]
    ) -> None:
        """With empty buckets and no permits only targets without any limit may get a request."""
        world = world_of(limited=limited, cold=cold)
        state = world.hosts[HOST].state
        pool = state.fleet.pool(service=SERVICE, model="m")
        assert pool is not None
        states = state.fleet.states(pool)
        assert len(permitted(state, states, now=world.now)) == allowed
        assert count_held_back(state, pool, now=world.now) == held_back
        assert all_limited(state, pool, now=world.now) is (error is not None)
        assert cold_limited(state, pool, now=world.now) is (error is TargetsColdError)
        if error is not None:
            refused = limit_reached(state, pool, now=world.now)
            assert isinstance(refused, error)
            assert refused.seconds > 0.0

    def test_both_kinds(self) -> None:
        """A cold target that announces a limit needs a token and a permit."""
        world = world_of(limited=1, cold=1, targets=1, run=1.0)
        state = world.hosts[HOST].state
        name = TargetName("e0")
        (target,) = (state.fleet.state(name),)
        assert target is not None
        assert is_cold(state, target, now=world.now)
        assert is_limited(state, target, now=world.now)
        assert state.warmup.may_send(name, now=world.now)
        assert not permitted(state, [target], now=world.now)

    def test_wait(self) -> None:
        """The wait for a cold target is that for the next token of this host."""
        world = world_of(limited=0, cold=2)
        state = world.hosts[HOST].state
        pool = state.fleet.pool(service=SERVICE, model="m")
        assert pool is not None
        wait = seconds_until_permitted(state, pool, now=0.0)
        assert wait == pytest.approx(1.0 / 1.125)
        assert not permitted(state, state.fleet.states(pool), now=wait - 0.01)
        assert len(permitted(state, state.fleet.states(pool), now=wait + 0.01)) == 2


class TestServicesWithoutAPace:
    """Plain services, and models whose engines' pace is not published."""

    @staticmethod
    def driver(targets: tuple[Target, ...]) -> Driver:
        """Return a host whose services are all limited while cold."""
        config = snapshot(targets=targets)
        services = tuple(
            replace(service, warmup=Warmup(seconds=3.0, rate=17.0))
            for service in config.inventory.services
        )
        inventory = replace(config.inventory, services=services)
        return Driver(config=replace(config, inventory=inventory))

    def test_plain_prefers_warm(self) -> None:
        """Calls go to a warm target until it runs several more than a cold one."""
        driver = self.driver((replace(booking("s1"), cold=3.0), booking("s2")))
        driver.tick(1.0)
        calls = [plain_call(f"c{number}", repeatable=True) for number in range(5)]
        sent = [start.targets[0] for start in driver.start_all(calls)]
        assert sent[:3] == ["s2", "s2", "s2"]
        assert sorted(sent[3:]) == ["s1", "s2"]

    @pytest.mark.parametrize("tokens", [1_000, 900_000], ids=["one engine", "spans"])
    def test_models(self, tokens: int) -> None:
        """Engines without a token get no part of a prompt."""
        names = ("e1", "e2", "e3")
        engines = tuple(replace(engine(name), cold=3.0) for name in names)
        driver = self.driver(engines)
        assert not driver.start_all([model_call("c1", tokens=tokens, deadline=600.0)])
        warm = self.driver(tuple(engine(name) for name in names))
        assert warm.start_all([model_call("c1", tokens=tokens, deadline=600.0)])
