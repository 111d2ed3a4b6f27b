"""A target that names a limit in its answers gets no more than that from a gateway."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.gateway.fixtures import Act, Bed, model_headers, serve

WINDOW = 4.0
"""Seconds in which the requests at a target are counted."""

SETTLE = 3.0
"""Seconds after a target first named its limit from which on it is kept."""

BURST = 5.0
"""Requests that may be over what the limit allows."""

SLACK = 1.5
"""Times the limit that may arrive."""

PAUSE = 0.05
"""Seconds between two requests of a caller."""


def most(times: list[float], *, begin: float) -> int:
    """Return the most requests in any window that ends after a moment."""
    ends = [at for at in times if at >= begin]
    return max((sum(end - WINDOW < at <= end for at in times) for end in ends), default=0)


def allowed(limit: str) -> float:
    """Return how many requests a window may hold."""
    return SLACK * float(limit) * WINDOW + BURST


async def ask(bed: Bed, path: str, id: str) -> int:
    """Send a request and return the status of its answer."""
    headers = model_headers() if path == "/ask/" else ()
    return (await bed.ask(path, id=id, headers=headers)).head.status


async def press(bed: Bed, path: str, *, seconds: float, pause: float = PAUSE) -> list[int]:
    """Send requests one after the other, and return their statuses."""
    clock = asyncio.get_running_loop().time
    end = clock() + seconds
    waiting = []
    while clock() < end:
        number = bed.fleet.arrivals * 1_000 + len(waiting)
        waiting.append(asyncio.create_task(ask(bed, path, f"q{number}")))
        await asyncio.sleep(pause)
    return list(await asyncio.gather(*waiting))


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario."""
    asyncio.run(scenario())  # type: ignore[arg-type]


class TestOneHost:
    """A gateway that has no peers."""

    @pytest.mark.parametrize(
        ("path", "name", "act", "limit"),
        [
            ("/read/", "s0", Act.ANSWER, "0.5"),
            ("/read/", "s0", Act.ANSWER, "4"),
            ("/read/", "s0", Act.FAIL, "1"),
            ("/book/", "s0", Act.ANSWER, "1"),
            ("/ask/", "e0", Act.ANSWER, "1"),
        ],
        ids=["half", "four", "failing", "book", "ask"],
    )
    def test_target_gets_more_than_it_named(
        self, path: str, name: str, act: Act, limit: str
    ) -> None:
        """It gets no more in any window, and callers are served by the others."""

        async def scenario() -> None:
            async with serve(count=2) as bed:
                bed.fleet.limits = {name: limit}
                bed.fleet.acts = [act] * (1_000 if act is Act.FAIL else 0)
                statuses = await press(bed, path, seconds=SETTLE + WINDOW)
                times = bed.fleet.times[name]
                assert most(times, begin=times[0] + SETTLE) <= allowed(limit)
                if act is Act.ANSWER:
                    assert set(statuses) == {200}

        run(scenario)

    def test_refusals_are_not_sent_again_beyond_the_limit(self) -> None:
        """A target that turns requests away beside its limit gets no more of them."""

        async def scenario() -> None:
            async with serve(count=1) as bed:
                bed.fleet.limits = {"s0": "1"}
                bed.fleet.acts = [Act.REFUSE] * 1_000
                await press(bed, "/read/", seconds=SETTLE + WINDOW)
                times = bed.fleet.times["s0"]
                assert most(times, begin=times[0] + SETTLE) <= allowed("1")

        run(scenario)

    def test_all_targets_of_a_service_name_limits(self) -> None:
        """What exceeds them is refused at once as not run, with the time to come back."""

        async def scenario() -> None:
            async with serve(count=2) as bed:
                bed.fleet.limits = {"s0": "1", "s1": "2"}
                statuses = await press(bed, "/read/", seconds=SETTLE + WINDOW)
                assert set(statuses) == {200, 503}
                assert statuses.count(200) >= SETTLE + WINDOW - 1.0
                for name, limit in bed.fleet.limits.items():
                    times = bed.fleet.times[name]
                    assert most(times, begin=times[0] + SETTLE) <= allowed(limit)
                clock = asyncio.get_running_loop().time
                began = clock()
                asked = (bed.ask("/read/", id=f"last{n}") for n in range(12))
                answers = await asyncio.gather(*asked)
                refused = [answer for answer in answers if answer.head.status == 503]
                assert len(refused) >= 6
                assert len({answer.head.retry_after for answer in refused}) == len(refused)
                assert clock() - began < 1.0

        run(scenario)

    def test_limit_outlasts_the_list_of_targets(self) -> None:
        """A list of the store that comes anew takes nothing of it away."""

        async def scenario() -> None:
            async with serve(count=2) as bed:
                bed.fleet.limits = {"s0": "1"}
                listed = tuple(bed.gateway._targets.values())

                async def relist() -> None:
                    for _ in range(7):
                        await asyncio.sleep(1.0)
                        bed.gateway.set_targets(tuple(t for t in listed if t.name != "s0"))
                        bed.gateway.set_targets(listed)

                _, statuses = await asyncio.gather(relist(), press(bed, "/read/", seconds=7.0))
                times = bed.fleet.times["s0"]
                assert most(times, begin=times[0] + SETTLE) <= allowed("1")
                assert set(statuses) == {200}

        run(scenario)
