"""Tests that a lost path is never taken for a failed target, and costs no retry where none ran."""

import pytest
from msgspec.structs import replace

from azureswitch.exceptions import (
    NoTargetError,
    OutcomeLostError,
    PathLostError,
    Ran,
    TargetBrokenError,
    TargetError,
    TargetUnreachableError,
)
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    AttemptSilent,
    CancelAttempt,
    FinishCall,
    FirstTokenArrived,
    PublishDigest,
    StartAttempt,
)
from azureswitch.serving._fleet import PATHLESS_SECONDS
from azureswitch.serving._state import ServingState
from tests.serving.fixtures import Driver, booking, engine, model_call, only, plain_call, snapshot

TARGETS = (*(engine(f"e{n}") for n in range(4)), *(booking(f"s{n}") for n in range(3)))


def driver() -> Driver:
    """Return a host before four engines and three plain targets."""
    return Driver(config=snapshot(targets=TARGETS))


def end(host: Driver, start: StartAttempt, how: AttemptEnd, error: TargetError) -> list[object]:
    """Let an attempt end now."""
    event = AttemptEnded(now=host.now, call=start.call, attempt=start.attempt, end=how, error=error)
    return list(host.send(event))


def unreachable(host: Driver, start: StartAttempt, **more: bool) -> list[object]:
    """Let an attempt end as no path led to its target."""
    error = TargetUnreachableError(target=start.targets[0], **more)
    return end(host, start, AttemptEnd.REFUSED, error)


def suspects(host: Driver) -> set[str]:
    """Return the targets that this host tells others to avoid."""
    host.tick(host.now + 0.3)
    digests = [effect.digest for effect in only(PublishDigest, host.effects)]
    return {str(name) for digest in digests for name in digest.suspects}


def ejected(state: ServingState, now: float) -> int:
    """Return how many targets this host avoids since its attempts failed."""
    return state.fleet.ejected(now=now)


class TestUnreachable:
    """No path of this host leads to a target."""

    @pytest.mark.parametrize("repeatable", [True, False])
    def test_other_target(self, repeatable: bool) -> None:
        """The call goes elsewhere at once, for free, and no other host is told to avoid it."""
        host = driver()
        call = replace(plain_call("c1", repeatable=repeatable), unshared=True)
        (first,) = host.start_all([call])
        left = host.state.retries.left
        (second,) = only(StartAttempt, unreachable(host, first))
        assert second.targets != first.targets
        assert host.state.retries.left == left
        assert ejected(host.state, host.now) == 1
        assert not suspects(host)

    def test_witnessed(self) -> None:
        """A target that another host does not reach either is avoided and suspected."""
        host = driver()
        (first,) = host.start_all([model_call("c1")])
        unreachable(host, first, witnessed=True)
        assert ejected(host.state, host.now) == 1
        assert suspects(host) == set(first.targets)

    @pytest.mark.parametrize("isolated", [True, False])
    def test_no_path_at_all(self, isolated: bool) -> None:
        """The call is refused at once as not run, with when to come back, and so are others."""
        host = driver()
        starts = host.start_all([plain_call("c1", repeatable=True)])
        sent = 0
        while starts:
            sent += 1
            starts = only(StartAttempt, unreachable(host, starts[0], isolated=isolated))
        assert sent == (1 if isolated else 3)
        error = host.error("c1")
        assert isinstance(error, NoTargetError)
        assert error.ran is Ran.NOT_RUN
        assert error.retry_after
        (refused,) = only(FinishCall, host.arrive(plain_call("c2", repeatable=True)))
        assert isinstance(refused.error, NoTargetError)
        assert refused.error.retry_after

    def test_belief_has_an_age(self) -> None:
        """After a second targets without a path are tried again."""
        host = driver()
        (first,) = host.start_all([plain_call("c1", repeatable=True)])
        unreachable(host, first, isolated=True)
        host.tick(PATHLESS_SECONDS + 0.1)
        assert host.start_all([plain_call("c2", repeatable=True)])


class TestPathLost:
    """A path is lost under a request that has been sent."""

    def test_broken(self) -> None:
        """The request is sent again, and its target is neither avoided nor counted as crashed."""
        host = driver()
        (first,) = host.start_all([model_call("c1")])
        error = PathLostError(target=first.targets[0])
        end(host, first, AttemptEnd.BROKEN, error)
        host.tick(0.3)
        assert len(only(StartAttempt, host.effects)) == 2
        assert not ejected(host.state, host.now)
        assert not suspects(host)
        assert not host.state.crashes.changed

    def test_not_repeatable(self) -> None:
        """What must not run twice ends with its outcome unknown, and is not sent again."""
        host = driver()
        call = replace(plain_call("c1"), unshared=True)
        (first,) = host.start_all([call])
        error = PathLostError(target=first.targets[0])
        assert not only(StartAttempt, end(host, first, AttemptEnd.BROKEN, error))
        assert isinstance(host.error("c1"), OutcomeLostError)

    @pytest.mark.parametrize("path_lost", [True, False])
    def test_silent(self, path_lost: bool) -> None:
        """A call tries another target beside; only one whose path is sound is avoided for it."""
        host = driver()
        (first,) = host.start_all([model_call("c1")])
        silent = AttemptSilent(
            now=host.now, call=first.call, attempt=first.attempt, path_lost=path_lost
        )
        (second,) = only(StartAttempt, host.send(silent))
        assert second.targets != first.targets
        assert not only(CancelAttempt, host.effects)
        answered = FirstTokenArrived(now=host.now, call=first.call, attempt=second.attempt)
        (cancelled,) = only(CancelAttempt, host.send(answered))
        assert cancelled.attempt == first.attempt
        assert ejected(host.state, host.now) == (0 if path_lost else 1)

    def test_crash_still_counts(self) -> None:
        """A connection that a target broke on a sound path counts as its crash."""
        host = driver()
        (first,) = host.start_all([model_call("c1")])
        end(host, first, AttemptEnd.BROKEN, TargetBrokenError(target=first.targets[0]))
        assert ejected(host.state, host.now) == 1
