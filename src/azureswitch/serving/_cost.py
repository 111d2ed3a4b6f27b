"""Predicts the cost of a call in engine seconds and calibrates the prediction by observations."""

from msgspec import Struct

from azureswitch.core import TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving._events import Call
from azureswitch.serving._pace import read_seconds

PREFILL_RATE = 20_000.0
"""Assumed prefill rate in prompt tokens per second before any observation."""

ATTENTION_TOKENS = 1_000_000.0
"""Prompt tokens at which attention doubles the prefill time, before any observation."""

DECODE_SECONDS_PER_TOKEN = 0.001
"""Engine seconds per output token in a full batch."""

DEFAULT_OUTPUT_SHARE = 0.5
"""Share of the permitted output tokens that a call is expected to use, before any observation."""

DEFAULT_TOKEN_INTERVAL_SECONDS = 0.05
"""Seconds between two output tokens, before any observation."""

DEFAULT_PLAIN_SECONDS = 0.005
"""Seconds that a call occupies a plain target, before any observation."""

SMOOTHING = 0.05
"""Weight of a new sample in an exponential moving average."""

STRETCH_SMOOTHING = 0.1
"""Weight of a new sample in the moving average of the prefill stretch."""

MAX_STRETCH = 4.0
"""Upper bound of a stretch sample."""

DURATION_MARGIN = 1.15
"""Factor on the predicted duration, so that few admitted calls exceed their deadline."""

CORRECTION_LIMITS = (0.02, 50.0)
"""Lower and upper bound of the factor by which a prediction is corrected."""


class Cost(Struct, frozen=True, kw_only=True):
    """Predicted cost of a call.

    Attributes:
        prefill: Engine seconds to the first token on an idle engine.
        decode: Engine seconds for the output, as a share of a full batch.
        answer: Seconds from the first token to the last, by recent observations.
        stretch: Factor by which other work prolongs a prefill, by recent observations.
        longest: Seconds from the first token to the last if all permitted tokens are produced;
            zero if the engines' pace is not published.
    """

    prefill: float
    decode: float
    answer: float = 0.0
    stretch: float = 1.0
    longest: float = 0.0

    @property
    def total(self) -> float:
        """All engine seconds."""
        return self.prefill + self.decode

    @property
    def expected_seconds(self) -> float:
        """Predicted seconds from an attempt's start to its last token, with a margin."""
        return (self.prefill * self.stretch + self.answer) * DURATION_MARGIN

    def upper_bound(self, *, margin: float) -> float:
        """Return a duration in seconds that an attempt rarely exceeds.

        Few streams take longer than all permitted tokens take on an idle engine, and hardly any
        take twice as long.

        Args:
            margin: Factor on the duration with all permitted tokens.
        """
        return max(self.expected_seconds, (self.prefill * self.stretch + self.longest) * margin)


def _base_prefill(tokens: int) -> float:
    return tokens / PREFILL_RATE * (1.0 + tokens / ATTENTION_TOKENS)


def _bucket(call: Call) -> tuple[str, int]:
    """Return the model and the prompt length bucket of a call; buckets grow by a factor of four."""
    return call.model, call.prompt_tokens.bit_length() // 2


def _bounded(factor: float) -> float:
    least, greatest = CORRECTION_LIMITS
    return min(greatest, max(least, factor))


class CostModel:
    """Predicts costs per model and prompt length, and tracks the speed of each target."""

    def __init__(self) -> None:
        self._factors: dict[tuple[str, int], float] = {}
        self._speeds: dict[TargetName, float] = {}
        self._outputs: dict[str, float] = {}
        self._intervals: dict[tuple[str, int], float] = {}
        self._stretches: dict[tuple[str, int], float] = {}
        self._plain: dict[str, float] = {}

    def predict(self, call: Call, *, cached_tokens: int = 0) -> Cost:
        """Predict the cost of a call.

        Args:
            call: The call.
            cached_tokens: Prompt tokens that the engine's prefix cache is expected to hold.

        Returns:
            The cost on an engine of average speed.
        """
        if not call.model:
            return Cost(prefill=self._plain.get(call.service, DEFAULT_PLAIN_SECONDS), decode=0.0)
        prefill = self.prefill_seconds(
            model=call.model, prompt_tokens=call.prompt_tokens, cached_tokens=cached_tokens
        )
        output = call.output_tokens * self._outputs.get(call.model, DEFAULT_OUTPUT_SHARE)
        interval = self._intervals.get(_bucket(call), DEFAULT_TOKEN_INTERVAL_SECONDS)
        return Cost(
            prefill=prefill,
            decode=self.decode_seconds(output),
            answer=output * interval,
            stretch=self._stretches.get(_bucket(call), 1.0),
        )

    def prefill_seconds(self, *, model: str, prompt_tokens: int, cached_tokens: int) -> float:
        """Return the engine seconds of prefilling the uncached part of a prompt."""
        cached = min(cached_tokens, prompt_tokens)
        base = _base_prefill(prompt_tokens) - _base_prefill(cached)
        return base * self._factors.get((model, prompt_tokens.bit_length()), self._factor(model))

    @staticmethod
    def decode_seconds(tokens: float) -> float:
        """Return the engine seconds of output tokens in a full batch."""
        return tokens * DECODE_SECONDS_PER_TOKEN

    def predict_paced(self, call: Call, *, pace: EnginePace, engines: int) -> Cost:
        """Predict the cost of a call on engines whose pace is published.

        Args:
            call: The call.
            pace: The performance model of the engines.
            engines: Maximum number of engines that share the prefill.
        """
        prefill = read_seconds(pace, call.prompt_tokens) / max(1, engines)
        return Cost(
            prefill=prefill,
            decode=call.output_tokens * pace.stream_step,
            longest=call.output_tokens * pace.step,
        )

    def _factor(self, model: str) -> float:
        return self._factors.get((model, 0), 1.0)

    def speed(self, target: TargetName) -> float:
        """Return a target's duration relative to an average engine; more than one is slower."""
        return self._speeds.get(target, 1.0)

    def restart(self, target: TargetName) -> None:
        """Discard the speed of a target that has restarted."""
        self._speeds.pop(target, None)

    def observe_first_token(
        self, *, call: Call, target: TargetName, cached_tokens: int, seconds: float
    ) -> None:
        """Record the time to the first token on a target without other prefill work."""
        base = _base_prefill(call.prompt_tokens) - _base_prefill(cached_tokens)
        if not call.model or base <= 0.0:
            return
        for key in ((call.model, 0), (call.model, call.prompt_tokens.bit_length())):
            known = self._factors.get(key)
            sample = _bounded(seconds / base)
            self._factors[key] = sample if known is None else self._smooth(known, sample)
        predicted = self.prefill_seconds(
            model=call.model, prompt_tokens=call.prompt_tokens, cached_tokens=cached_tokens
        )
        self._speeds[target] = self._smooth(self.speed(target), _bounded(seconds / predicted))

    def observe_stretch(self, *, call: Call, expected: float, seconds: float) -> None:
        """Record the ratio of the observed to the expected time to the first token under load."""
        if call.model and expected > 0.0:
            known = self._stretches.get(_bucket(call), 1.0)
            sample = min(MAX_STRETCH, max(1.0, seconds / expected))
            self._stretches[_bucket(call)] = known + STRETCH_SMOOTHING * (sample - known)

    def observe_end(self, *, call: Call, tokens: int, seconds: float) -> None:
        """Record a completed answer.

        Args:
            call: The call.
            tokens: Its output tokens; zero for plain calls.
            seconds: Seconds from the first token to the end; for plain calls, from the start.
        """
        if not call.model:
            known = self._plain.get(call.service, DEFAULT_PLAIN_SECONDS)
            self._plain[call.service] = self._smooth(known, seconds)
        elif call.output_tokens:
            share = min(1.0, tokens / call.output_tokens)
            known = self._outputs.get(call.model, DEFAULT_OUTPUT_SHARE)
            self._outputs[call.model] = self._smooth(known, share)
            if tokens > 1:
                interval = self._intervals.get(_bucket(call), DEFAULT_TOKEN_INTERVAL_SECONDS)
                sample = seconds / (tokens - 1)
                self._intervals[_bucket(call)] = self._smooth(interval, sample)

    @staticmethod
    def _smooth(known: float, sample: float) -> float:
        return known + SMOOTHING * (sample - known)
