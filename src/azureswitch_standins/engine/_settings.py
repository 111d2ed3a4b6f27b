"""The engine's cost model and limits."""

from msgspec import Struct, field


class CostModel(Struct, frozen=True, kw_only=True):
    """How long an engine's work takes.

    An engine works in steps.  One step gives each running sequence one output token and spends up
    to ``chunk`` seconds on prompts that are still being prefilled, smallest priority first.  So a
    step with prefill beside a full batch stays under 66 ms with the defaults, and prefill gets
    about half of a busy engine and all of an idle one.

    Attributes:
        prefill_rate: Prompt tokens a second where there is no context before them.
        attention: Seconds for each prompt token and token of context before it, which makes
            a prompt of a million tokens cost twice what its length alone would.
        chunk: Seconds of prefill in one step, at most.
        decode_base: Seconds of a step for the batch as a whole.
        decode_sequence: Seconds of a step for each running sequence.
        decode_context: Seconds of a step for each token of context of the running sequences.
        remote_step: Seconds that a step takes more for each remote span a running sequence reads.
        copy_rate: KV tokens a second copied from another engine.
    """

    prefill_rate: float = 20_000.0
    attention: float = 1e-10
    chunk: float = 0.03
    decode_base: float = 0.02
    decode_sequence: float = 0.000_15
    decode_context: float = 1e-8
    remote_step: float = 0.002
    copy_rate: float = 200_000.0

    def prefill_seconds(self, *, start: int, end: int) -> float:
        """Return how long prompt tokens from ``start`` up to ``end`` take alone."""
        return (end - start) / self.prefill_rate + self.attention * (end**2 - start**2) / 2

    def decode_seconds(self, *, sequences: int, context: int, remote: int = 0) -> float:
        """Return how long a step without prefill takes."""
        if not sequences:
            return 0.0
        return (
            self.decode_base
            + self.decode_sequence * sequences
            + self.decode_context * context
            + self.remote_step * remote
        )

    def isolated_first_token(self, *, prompt: int) -> float:
        """Return the time to the first token of a request alone on an idle engine."""
        return self.prefill_seconds(start=0, end=prompt)

    def isolated_seconds(self, *, prompt: int, output: int) -> float:
        """Return the time to the last token of a request alone on an idle engine."""
        step = self.decode_seconds(sequences=1, context=prompt)
        return self.isolated_first_token(prompt=prompt) + step * max(0, output - 1)


class EngineSettings(Struct, frozen=True, kw_only=True):
    """What one engine is.

    Attributes:
        name: Its name in the inventory.
        models: The models loaded at its start.
        memory: KV memory in tokens.
        sequences: Sequences in the batch, at most.
        queue: Requests waiting outside the batch, at most.
        checks_fence: Whether it refuses orders with an old fencing number.
        cost: How long its work takes.
        report_interval: Seconds between two load reports.
        cache_lag: Seconds by which cache events are late.
        cache_gap: Share of cache events that is lost.
        load_seconds: Seconds that loading a model takes.
        seed: Seed of what is drawn at random.
    """

    name: str = "engine"
    models: tuple[str, ...] = ("base",)
    memory: int = 480_000
    sequences: int = 64
    queue: int = 256
    checks_fence: bool = True
    cost: CostModel = field(default_factory=CostModel)
    report_interval: float = 0.25
    cache_lag: float = 1.0
    cache_gap: float = 0.02
    load_seconds: float = 3.0
    seed: int = 0
