"""Answers to callers while engines fail, hosts leave and jobs move between hosts."""

import json
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from azureswitch.exceptions import StoreUnavailableError
from azureswitch_standins.engine import CostModel, EngineFaults, expected_answer
from tests.entry.rig import KEY, MODEL, OTHER_KEY, Rig
from tests.waiting import PATIENCE, wait_until

PATH = "/v1/completions"
SLOW = CostModel(decode_base=0.01, prefill_rate=1_000_000.0)


@pytest.fixture
def rig() -> Iterator[Rig]:
    """Return a running rig whose engines produce a token every 10 ms."""
    with Rig(cost=SLOW).running() as running:
        yield running


@pytest.fixture
def pair() -> Iterator[Rig]:
    """Return a running rig with two hosts."""
    with Rig(cost=SLOW, hosts=2).running() as running:
        yield running


def body(prompt: str, tokens: int, *, stream: bool = True) -> dict[str, object]:
    """Return a completion body."""
    return {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream}


def events(text: str) -> list[str]:
    """Return the payloads of server-sent events."""
    return [event.removeprefix("data: ") for event in text.split("\n\n") if event]


def tokens(text: str) -> list[str]:
    """Return the texts of a whole stream and check that it is one."""
    payloads = events(text)
    assert payloads[-1] == "[DONE]"
    pieces = [json.loads(payload)["choices"][0]["text"] for payload in payloads[:-1]]
    return [piece for piece in pieces if piece]


class TestFailingEngines:
    """Broken, crossed and refused attempts."""

    @pytest.mark.parametrize("stream", [True, False])
    @pytest.mark.parametrize(
        "faults",
        [
            EngineFaults(cut_after=4),
            EngineFaults(cross=True),
            EngineFaults(refuse=True),
            EngineFaults(dead=True),
        ],
        ids=["cut", "crossed", "refusing", "dead"],
    )
    def test_whole_answer(self, rig: Rig, faults: EngineFaults, stream: bool) -> None:
        """A failing engine causes neither gaps nor repetitions, and leaves no memory allocated."""
        rig.run(rig.engines[0].set_faults(faults=faults))
        prompts = [f"Question {index}?" for index in range(6)]
        with ThreadPoolExecutor(max_workers=6) as pool:
            answers = list(
                pool.map(lambda prompt: rig.post(PATH, body(prompt, 12, stream=stream)), prompts)
            )
        for prompt, answer in zip(prompts, answers, strict=True):
            want = expected_answer(prompt, 12)
            if stream:
                assert tokens(answer.text) == want
            else:
                assert answer.json()["choices"][0]["text"] == "".join(want)
                assert answer.json()["usage"]["completion_tokens"] == 12
        wait_until(lambda: not rig.engines[1].counters.running)

    def test_no_job_id(self, rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
        """A long answer is streamed even if its journal record cannot be written."""

        async def fail(**_: object) -> str:
            raise StoreUnavailableError(key="job-secret/key")

        monkeypatch.setattr(rig.entry.parts.journal, "record", fail)
        prompt = "long " * 3_000
        answer = rig.post(PATH, body(prompt, 100), **{"x-request-timeout": "4"})
        assert tokens(answer.text) == expected_answer(prompt, 100)

    def test_failure_in_the_middle(self, rig: Rig) -> None:
        """A stream that cannot be continued ends with a typed error and without ``[DONE]``."""
        for engine in rig.engines:
            rig.run(engine.set_faults(faults=EngineFaults(cut_after=3)))
        answer = rig.post(PATH, body("Endless?", 60), **{"x-request-timeout": "2"})
        last = json.loads(events(answer.text)[-1])["error"]
        assert answer.status_code == 200
        assert last["ran"] == "unknown"
        assert last["code"] in ("deadline_exceeded", "retries_exhausted")

    def test_deadline_before_the_first_token(self, rig: Rig) -> None:
        """A request is answered at its deadline, and the engine's memory is released."""
        for engine in rig.engines:
            rig.run(engine.set_faults(faults=EngineFaults(stall=2.0)))
        answer = rig.post(PATH, body("Stalled?", 5), **{"x-request-timeout": "0.3"})
        assert (answer.status_code, answer.json()["error"]["ran"]) == (504, "unknown")


class TestServices:
    """Non-idempotent calls."""

    def test_lost_answer(self, rig: Rig) -> None:
        """A call whose outcome is lost gets a typed error and is never sent again."""
        rig.plain.broken = True
        codes = [
            rig.post("/s/desk/orders", 1, **{"idempotency-key": "lost"}).json()["error"]["code"]
            for _ in range(2)
        ]
        assert codes == ["outcome_unknown", "outcome_unknown"]
        assert rig.plain.calls["lost"] == 1

    def test_vanished_caller(self, rig: Rig) -> None:
        """A call continues after its caller left, and its answer is available by the key."""
        rig.plain.delay = 0.2
        url = f"{rig.url}/s/desk/orders"
        headers = {"authorization": f"Bearer {KEY}", "idempotency-key": "left"}
        timeout = httpx.Timeout(PATIENCE, read=0.1)
        with pytest.raises(httpx.ReadTimeout):
            httpx.post(url, content=b"7", headers=headers, timeout=timeout)
        wait_until(lambda: not rig.call(lambda: rig.entry.shell.open_calls))
        answer = httpx.post(url, content=b"7", headers=headers, timeout=PATIENCE)
        assert (answer.status_code, answer.text) == (201, "7")
        assert rig.plain.calls["left"] == 1


class TestLoops:
    """Background loops of the host."""

    def test_failed_loop(self, rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
        """A loop that fails once is restarted, so that requests still end by their deadlines."""
        failures = [RuntimeError()]

        def fail_once() -> None:
            if failures:
                raise failures.pop()

        monkeypatch.setattr(rig.entry.shell, "_check_stalls", fail_once)
        wait_until(lambda: not failures)
        rig.plain.delay = 10.0
        headers = {"idempotency-key": "k", "x-request-timeout": "0.6"}
        began = time.monotonic()
        answer = rig.post("/s/desk/orders", 1, **headers)
        assert answer.json()["error"]["code"] == "deadline_exceeded"
        assert time.monotonic() - began < 8.0


class TestLeaving:
    """A host that shuts down."""

    def test_nothing_is_cut(self, rig: Rig) -> None:
        """Streams are completed while readiness fails and new work is refused as not run."""
        entry = rig.entries[0]
        with ThreadPoolExecutor(max_workers=9) as pool:
            runs = [
                pool.submit(rig.post, PATH, body(f"Run {index}?", 150, stream=index % 2 == 0))
                for index in range(8)
            ]
            wait_until(lambda: sum(engine.counters.running for engine in rig.engines) == 8)
            stopping = pool.submit(lambda: rig.run(entry.stop(graceful=True)))
            wait_until(lambda: rig.entry.shell.leaving)
            ready = rig.get("/readyz")
            refused = rig.post(PATH, body("Late?", 3))
            answers = [run.result() for run in runs]
            stopping.result()
        assert (ready.status_code, ready.json()["reason"]) == (503, "leaving")
        assert refused.status_code == 503
        assert refused.json()["error"]["code"] == "host_leaving"
        assert refused.json()["error"]["ran"] == "not_run"
        for index, answer in enumerate(answers):
            want = expected_answer(f"Run {index}?", 150)
            if index % 2 == 0:
                assert tokens(answer.text) == want
            else:
                assert answer.json()["choices"][0]["text"] == "".join(want)
        with pytest.raises(httpx.ConnectError):
            rig.get("/readyz")


class TestJobs:
    """Jobs."""

    def submit(self, pair: Rig, prompt: str, count: int) -> str:
        """Submit a job and return its id."""
        answer = pair.post("/v1/jobs", body(prompt, count, stream=False))
        assert (answer.status_code, answer.json()["status"]) == (202, "running")
        return str(answer.json()["id"])

    @pytest.mark.parametrize("entry", [0, 1])
    def test_poll_and_resume(self, pair: Rig, entry: int) -> None:
        """Any host reports a job's status and serves its stream from any offset."""
        job = self.submit(pair, "Review?", 30)
        want = expected_answer("Review?", 30)
        assert pair.get(f"/v1/jobs/{job}", entry=entry).json()["status"] == "running"
        for offset in (0, 7, 30):
            stream = pair.get(f"/v1/jobs/{job}/stream?offset={offset}", entry=entry)
            assert tokens(stream.text) == want[offset:]
        shown = pair.get(f"/v1/jobs/{job}", entry=entry).json()
        assert (shown["status"], shown["tokens"]) == ("done", 30)
        assert shown["answer"]["choices"][0]["text"] == "".join(want)

    def test_host_is_replaced(self, pair: Rig) -> None:
        """A completed job is available at another host after its own has stopped gracefully."""
        job = self.submit(pair, "Overnight?", 5)
        assert pair.get(f"/v1/jobs/{job}/stream").text.endswith("[DONE]\n\n")
        pair.run(pair.entries[0].stop(graceful=True))
        shown = pair.get(f"/v1/jobs/{job}", entry=1).json()
        assert shown["answer"]["choices"][0]["text"] == "".join(expected_answer("Overnight?", 5))

    def test_reader_of_a_job(self, pair: Rig) -> None:
        """A leaving host continues to serve the stream of a job that runs at another."""
        job = self.submit(pair, "Season?", 250)
        with ThreadPoolExecutor(max_workers=1) as pool:
            reading = pool.submit(pair.get, f"/v1/jobs/{job}/stream", entry=1)
            time.sleep(0.2)
            pair.run(pair.entries[1].stop(graceful=True))
            assert tokens(reading.result().text) == expected_answer("Season?", 250)

    def test_other_customer(self, pair: Rig) -> None:
        """A job is not available to another customer."""
        job = self.submit(pair, "Mine?", 3)
        for path in (f"/v1/jobs/{job}", f"/v1/jobs/{job}/stream"):
            answer = pair.get(path, key=OTHER_KEY)
            assert answer.json()["error"]["code"] == "request_not_found"

    def test_refused(self, pair: Rig) -> None:
        """A job that is not admitted is refused at once."""
        answer = pair.post("/v1/jobs", {**body("a", 3), "model": "nobody"})
        assert answer.json()["error"]["code"] == "model_not_found"

    def test_host_dies(self, pair: Rig) -> None:
        """A stream continues at another host without gaps or repetitions after its host died."""
        job = self.submit(pair, "Survive?", 60)
        want = expected_answer("Survive?", 60)
        time.sleep(0.2)
        pair.run(pair.entries[0].stop(graceful=False))
        stream = pair.get(f"/v1/jobs/{job}/stream?offset=5", entry=1)
        assert tokens(stream.text) == want[5:]
