"""What must hold whatever targets do, from what callers and targets see."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from http import HTTPStatus

from hypothesis import given, settings
from hypothesis import strategies as st

from azureswitch.client import HttpAnswer
from azureswitch.exceptions import HttpBrokenError
from tests.gateway.fixtures import PATIENCE, Act, Bed, model_headers, serve, whole_stream

PATHS = ("/read/", "/book/", "/ask/", "/once/")
ONCE = ("/book/", "/once/")
MOST_RUNS = 2
EVENTS = 5

ACTS = st.lists(
    st.sampled_from([act for act in Act if act is not Act.HANG]), min_size=0, max_size=24
)
REQUESTS = st.lists(
    st.tuples(st.sampled_from(PATHS), st.integers(0, EVENTS - 1), st.booleans()),
    min_size=1,
    max_size=8,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What a caller saw of a request.

    Attributes:
        id: Its id.
        path: Where it was sent.
        after: The last event that it had.
        answer: The answer, or None where it was broken off or the caller left.
    """

    id: str
    path: str
    after: int
    answer: HttpAnswer | None


async def send(bed: Bed, id: str, path: str, after: int, leaves: bool) -> Outcome:
    """Send a request, and perhaps leave before its answer."""
    headers = model_headers() if path in ("/ask/", "/once/") else ()
    has_some = path == "/ask/" and after > 0
    if has_some:
        headers = (*headers, ("last-event-id", str(after)))
    asking = bed.ask(path, id=id, headers=headers)
    answer: HttpAnswer | None = None
    try:
        async with asyncio.timeout(0.005 if leaves else PATIENCE):
            answer = await asking
    except (HttpBrokenError, TimeoutError):
        # Both are answers that the caller does not have; the rules are checked from the runs.
        answer = None
    return Outcome(id=id, path=path, after=after if has_some else 0, answer=answer)


def check(outcome: Outcome, runs: int) -> None:
    """Check what one caller saw against what targets ran."""
    limit = 1 if outcome.path in ONCE else MOST_RUNS
    assert runs <= limit
    if outcome.answer is None:
        return
    status = outcome.answer.head.status
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        assert runs == 0 or outcome.path not in ONCE
        assert outcome.answer.head.retry_after is not None
    if status == HTTPStatus.OK:
        assert runs > 0
        whole = f"whole {outcome.id}".encode()
        if outcome.path in ("/ask/", "/once/"):
            whole = whole_stream(EVENTS, first=outcome.after + 1)
        assert outcome.answer.body == whole
    sealed = outcome.answer.head.header(name="x-azureswitch-response-seal") is not None
    targets_own = (HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.INTERNAL_SERVER_ERROR)
    assert sealed is (status in targets_own)


class TestRules:
    """Requests that may run once run once; promises are true; answers are whole and one's own."""

    @settings(max_examples=60, deadline=None)
    @given(acts=ACTS, requests=REQUESTS)
    def test_any_targets(self, acts: list[Act], requests: list[tuple[str, int, bool]]) -> None:
        """Targets refuse, fail, break off, tear, cross and encode answers, and callers leave."""

        async def scenario() -> None:
            async with serve(acts=acts) as bed:
                sends = [
                    send(bed, f"r{index}", path, after, leaves)
                    for index, (path, after, leaves) in enumerate(requests)
                ]
                outcomes = await asyncio.gather(*sends)
                # What callers left behind ends too before runs are counted.
                await asyncio.sleep(0.05)
                runs = Counter(run.id for run in bed.fleet.runs)
                for outcome in outcomes:
                    check(outcome, runs[outcome.id])
                assert not bed.reservations.held

        asyncio.run(scenario())
