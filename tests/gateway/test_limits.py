"""Tests that a gateway keeps to the rate limits that targets advertise in answers."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.gateway.fixtures import Act, Bed, model_headers, serve

WINDOW_SECONDS = 4.0
"""Length in seconds of the window over which a target's requests are counted."""

SETTLE_SECONDS = 3.0
"""Seconds after the first request from which on the limit must be kept."""

BURST = 5.0
"""Requests allowed in a window in addition to the limit."""

SLACK = 1.5
"""Factor by which the limit may be exceeded."""

PAUSE_SECONDS = 0.05
"""Default seconds between requests."""


def max_in_window(times: list[float], *, begin: float) -> int:
    """Return the most requests in any window that ends at or after ``begin``."""
    ends = [at for at in times if at >= begin]
    return max((sum(end - WINDOW_SECONDS < at <= end for at in times) for end in ends), default=0)


def max_allowed(limit: str) -> float:
    """Return the maximum number of requests in a window."""
    return SLACK * float(limit) * WINDOW_SECONDS + BURST


async def ask(bed: Bed, path: str, id: str) -> int:
    """Send a request and return the status of its answer."""
    headers = model_headers() if path == "/ask/" else ()
    return (await bed.ask(path, id=id, headers=headers)).head.status


async def send_at_pace(
    bed: Bed, path: str, *, seconds: float, pause: float = PAUSE_SECONDS
) -> list[int]:
    """Send requests at a fixed pace without awaiting answers, and return their statuses."""
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
    """A gateway without peers."""

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
    def test_target_limit_is_kept(self, path: str, name: str, act: Act, limit: str) -> None:
        """A target gets no more than its limit, and the others serve the remaining requests."""

        async def scenario() -> None:
            async with serve(count=2) as bed:
                bed.fleet.limits = {name: limit}
                bed.fleet.acts = [act] * (1_000 if act is Act.FAIL else 0)
                statuses = await send_at_pace(bed, path, seconds=SETTLE_SECONDS + WINDOW_SECONDS)
                times = bed.fleet.times[name]
                assert max_in_window(times, begin=times[0] + SETTLE_SECONDS) <= max_allowed(limit)
                if act is Act.ANSWER:
                    assert set(statuses) == {200}

        run(scenario)

    def test_refusals_are_not_sent_again_beyond_the_limit(self) -> None:
        """A target that refuses requests is not sent retries beyond its limit."""

        async def scenario() -> None:
            async with serve(count=1) as bed:
                bed.fleet.limits = {"s0": "1"}
                bed.fleet.acts = [Act.REFUSE] * 1_000
                await send_at_pace(bed, "/read/", seconds=SETTLE_SECONDS + WINDOW_SECONDS)
                times = bed.fleet.times["s0"]
                assert max_in_window(times, begin=times[0] + SETTLE_SECONDS) <= max_allowed("1")

        run(scenario)

    def test_all_targets_of_a_service_name_limits(self) -> None:
        """Requests beyond all limits are refused at once as not run, with distinct retry delays."""

        async def scenario() -> None:
            async with serve(count=2) as bed:
                bed.fleet.limits = {"s0": "1", "s1": "2"}
                statuses = await send_at_pace(
                    bed, "/read/", seconds=SETTLE_SECONDS + WINDOW_SECONDS
                )
                assert set(statuses) == {200, 503}
                assert statuses.count(200) >= SETTLE_SECONDS + WINDOW_SECONDS - 1.0
                for name, limit in bed.fleet.limits.items():
                    times = bed.fleet.times[name]
                    assert max_in_window(times, begin=times[0] + SETTLE_SECONDS) <= max_allowed(
                        limit
                    )
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
        """A limit is kept when the store's list of targets is replaced."""

        async def scenario() -> None:
            async with serve(count=2) as bed:
                bed.fleet.limits = {"s0": "1"}
                listed = tuple(bed.gateway._listed.by_name.values())

                async def relist() -> None:
                    for _ in range(7):
                        await asyncio.sleep(1.0)
                        bed.gateway.set_targets(tuple(t for t in listed if t.name != "s0"))
                        bed.gateway.set_targets(listed)

                _, statuses = await asyncio.gather(
                    relist(), send_at_pace(bed, "/read/", seconds=7.0)
                )
                times = bed.fleet.times["s0"]
                assert max_in_window(times, begin=times[0] + SETTLE_SECONDS) <= max_allowed("1")
                assert set(statuses) == {200}

        run(scenario)
