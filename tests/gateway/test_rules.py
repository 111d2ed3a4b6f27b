"""Property tests: invariants seen by callers and targets under arbitrary target failures."""

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
MAX_RUNS = 2
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
    """The result of a request as its caller saw it.

    Attributes:
        id: Its id.
        path: Where it was sent.
        after: The id of the last event that the caller already had.
        answer: The answer, or None if it was aborted or the caller disconnected.
    """

    id: str
    path: str
    after: int
    answer: HttpAnswer | None


async def send(bed: Bed, id: str, path: str, after: int, leaves: bool) -> Outcome:
    """Send a request, and disconnect before its answer if ``leaves`` is true."""
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
        # The caller has no complete answer; only the number of runs is checked.
        answer = None
    return Outcome(id=id, path=path, after=after if has_some else 0, answer=answer)


def check(outcome: Outcome, runs: int) -> None:
    """Check one caller's outcome against the number of runs at targets."""
    limit = 1 if outcome.path in ONCE else MAX_RUNS
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


class TestInvariants:
    """Runs stay within limits, refusals are truthful, and answers complete and not mixed up."""

    @settings(max_examples=60, deadline=None)
    @given(acts=ACTS, requests=REQUESTS)
    def test_any_targets(self, acts: list[Act], requests: list[tuple[str, int, bool]]) -> None:
        """The invariants hold for any script of target failures and disconnecting callers."""

        async def scenario() -> None:
            async with serve(acts=acts) as bed:
                sends = [
                    send(bed, f"r{index}", path, after, leaves)
                    for index, (path, after, leaves) in enumerate(requests)
                ]
                outcomes = await asyncio.gather(*sends)
                # Requests of disconnected callers must also end before runs are counted.
                await asyncio.sleep(0.05)
                runs = Counter(run.id for run in bed.fleet.runs)
                for outcome in outcomes:
                    check(outcome, runs[outcome.id])
                assert not bed.reservations.held

        asyncio.run(scenario())
