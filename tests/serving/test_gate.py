"""Tests that a request satisfies both kinds of limit: announced ones and those of cold targets."""

import pytest
from msgspec.structs import replace

from azureswitch.core import HostName, TargetName
from azureswitch.exceptions import LimitReachedError, RefusedError, TargetsColdError
from azureswitch.inventory import Target, Warmup
from azureswitch.serving import AttemptEnd, AttemptEnded, LimitNamed, SnapshotAdopted, StartAttempt
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
from tests.serving.fixtures import Driver, booking, engine, model_call, only, plain_call, snapshot

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

    @pytest.mark.parametrize("cold", [0, 1, 2])
    def test_retry_time_with_announced_limits(self, cold: int) -> None:
        """Callers are not told to come back long before the announced limits admit them."""
        world = ColdWorld(hosts=1, targets=2, cold=cold)
        world.run(1.0)
        for name in world.entries:
            world._reduce(HOST, LimitNamed(now=world.now, target=name, rate=0.1, text="0.1"))
        state = world.hosts[HOST].state
        pool = state.fleet.pool(service=SERVICE, model="m")
        assert pool is not None
        assert limit_reached(state, pool, now=world.now).seconds >= 1.0 / (2 * 0.1)

    def test_waiting_calls_of_many_customers(self) -> None:
        """A customer's second call is refused if the calls of all take the tokens to come."""
        world = world_of(limited=0, cold=3, targets=3, run=0.8)
        calls = [world.ask(HOST, customer=name) for name in ("ann", "bob", "cat", "ann")]
        errors = [world.answers[id].error for id in calls]
        assert errors[:3] == [None, None, None]
        assert isinstance(errors[3], TargetsColdError)


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

    @pytest.mark.parametrize("count", [1, 20], ids=["sample", "all engines"])
    def test_models(self, count: int) -> None:
        """Engines without a token get no call, although a warm engine keeps calls admitted.

        If all engines were cold, the call would be refused on arrival, before any choice.
        """
        cold = tuple(replace(engine(f"e{number}"), cold=3.0) for number in range(count))
        driver = self.driver((*cold, engine("warm")))
        calls = [model_call(f"c{number}", tokens=1_000) for number in range(20)]
        sent = {name for start in driver.start_all(calls) for name in start.targets}
        assert sent == {"warm"}

    def test_spans(self) -> None:
        """A prompt that needs several engines is not spread over engines without a token."""
        cold = tuple(replace(engine(name), cold=3.0) for name in ("e1", "e2"))
        call = model_call("c1", tokens=900_000, deadline=600.0)
        assert not self.driver((*cold, engine("e3"))).start_all([call])
        warm = self.driver(tuple(engine(name) for name in ("e1", "e2", "e3")))
        assert warm.start_all([call])

    def test_last_resort(self) -> None:
        """A retry after the only warm engine has failed does not go to one without a token."""
        cold = tuple(replace(engine(name), cold=3.0) for name in ("e1", "e2"))
        driver = self.driver((*cold, engine("warm")))
        (start,) = driver.start_all([model_call("c1", tokens=1_000)])
        assert start.targets == ("warm",)
        driver.send(
            AttemptEnded(
                now=driver.now, call=start.call, attempt=start.attempt, end=AttemptEnd.REFUSED
            )
        )
        sent = only(StartAttempt, driver.effects) + only(StartAttempt, driver.tick(0.5))
        assert len(sent) > 1
        assert {item.targets for item in sent} == {("warm",)}

    def test_restarted_target(self) -> None:
        """An attempt whose target has restarted is not sent there again beyond the cold limit."""
        driver = self.driver((replace(engine("e1"), started=1, cold=0.0, entry_version=1),))
        assert driver.start_all([model_call("c1", tokens=1_000)])
        config = driver.state.snapshot
        assert config is not None
        target = replace(engine("e1"), started=2, cold=3.0, entry_version=2)
        listed = replace(
            config,
            revision=config.revision + 1,
            inventory=replace(config.inventory, targets=(target,)),
        )
        assert not only(StartAttempt, driver.send(SnapshotAdopted(now=driver.now, snapshot=listed)))
