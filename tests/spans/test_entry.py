"""Tests of large prompts through an entry host, before engines too small for them alone."""

from collections.abc import Iterator

import httpx
import pytest
from msgspec.structs import replace

from azureswitch.inventory import Target
from azureswitch_standins.engine import CostModel, EngineSettings, EngineStandin, expected_answer
from tests.entry.rig import FAST, KEY, MODEL, Rig
from tests.waiting import PATIENCE, wait_until

MEMORY = 3_000
TOKENS = 5_000
OUTPUT = 200
BODY = {"model": MODEL, "prompt": "word" * TOKENS, "max_tokens": OUTPUT}
SLOW = replace(FAST, decode_base=2 * PATIENCE / OUTPUT)
"""Costs with which an answer takes twice as long as any wait of a test.

What frees an engine's memory within that wait is not the end of the answer, and a test's thread
that gets no processor for a while still meets the answer under way.
"""


@pytest.fixture
def cost() -> CostModel:
    """Return what the work of the engines takes."""
    return FAST


@pytest.fixture
def rig(monkeypatch: pytest.MonkeyPatch, cost: CostModel) -> Iterator[Rig]:
    """Return a running rig whose engines have little memory."""
    monkeypatch.setattr(
        "tests.entry.rig.Target",
        lambda **fields: Target(**{**fields, "memory": MEMORY if "memory" in fields else 0}),
    )
    made = Rig()
    made.engines = [
        EngineStandin(settings=EngineSettings(name=engine, memory=MEMORY, cost=cost))
        for engine in ("engine-0", "engine-1")
    ]
    with made.running() as running:
        yield running


def free(rig: Rig) -> bool:
    """Whether no engine holds any memory."""
    return not any(engine.counters.memory_used for engine in rig.engines)


class TestLargePrompts:
    """A prompt of more than one engine's memory."""

    def test_answer_is_whole_and_memory_free(self, rig: Rig) -> None:
        """The prompt is answered as one engine would, and nothing stays held."""
        for _ in range(2):
            answer = rig.post("/v1/completions", BODY)
            text = answer.json()["choices"][0]["text"]
            assert text == "".join(expected_answer("word" * TOKENS, OUTPUT))
        wait_until(lambda: free(rig))

    @pytest.mark.parametrize("cost", [SLOW])
    def test_caller_that_leaves_frees_all_memory(self, rig: Rig) -> None:
        """Every engine's span is given back when the caller goes away in the middle."""
        url, headers = f"{rig.url}/v1/completions", {"authorization": f"Bearer {KEY}"}
        body = {**BODY, "stream": True}
        with httpx.stream("POST", url, json=body, headers=headers, timeout=PATIENCE) as answer:
            # The connection is closed with its iterator, so the iterator is kept.
            parts = answer.iter_bytes()
            next(parts)
            assert all(engine.counters.memory_used for engine in rig.engines)
        wait_until(lambda: free(rig))
