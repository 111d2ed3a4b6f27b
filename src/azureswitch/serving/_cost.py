"""Predicts what a call costs in engine seconds and corrects the prediction by what was seen."""

from msgspec import Struct

from azureswitch.core import TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving._events import Call
from azureswitch.serving._pace import read_seconds

PREFILL_RATE = 20_000.0
"""Prompt tokens per second that an engine is taken to prefill before anything was seen."""

ATTENTION_SPAN = 1_000_000.0
"""Prompt tokens at which attention doubles the time of a prefill, before anything was seen."""

DECODE_SECONDS = 0.001
"""Engine seconds per output token in a full batch."""

EXPECTED_OUTPUT = 0.5
"""Share of the permitted output tokens that a call is expected to produce at first."""

TOKEN_INTERVAL = 0.05
"""Seconds between two output tokens, before anything was seen."""

PLAIN_SECONDS = 0.005
"""Seconds that a call keeps a plain target busy, before anything was seen."""

SMOOTHING = 0.05
"""Weight of one new sample in a smoothed figure."""

STRETCH_SMOOTHING = 0.1
"""Weight of one new sample of how much longer a prefill takes beside other work."""

STRETCH_MOST = 4.0
"""The greatest such sample that is believed."""

DURATION_MARGIN = 1.15
"""Times what was lately seen that a call is given, so that few admitted ones run out of time."""

CORRECTION_LIMITS = (0.02, 50.0)
"""The least and the greatest factor by which a prediction is corrected."""


class Cost(Struct, frozen=True, kw_only=True):
    """What a call is expected to cost.

    Attributes:
        prefill: Engine seconds to the first token on an idle engine.
        decode: Engine seconds for the output, as a share of a full batch.
        answer: Seconds from the first token to the last, as lately seen.
        stretch: How much longer than alone a prefill takes beside other work, as lately seen.
        longest: Seconds from the first token to the last where all tokens permitted are written.
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
    def likely(self) -> float:
        """Seconds from an attempt's start to its whole answer, beside other work."""
        return (self.prefill * self.stretch + self.answer) * DURATION_MARGIN

    def most(self, *, margin: float) -> float:
        """Return the seconds that an attempt hardly ever exceeds.

        Few streams take longer than the tokens permitted take alone, and hardly any twice as long.

        Args:
            margin: Times its prediction that it may take.
        """
        return max(self.likely, (self.prefill * self.stretch + self.longest) * margin)


def _base_prefill(tokens: int) -> float:
    return tokens / PREFILL_RATE * (1.0 + tokens / ATTENTION_SPAN)


def _kind(call: Call) -> tuple[str, int]:
    """Return the model and the order of magnitude, by fours, of a call's prompt."""
    return call.model, call.prompt_tokens.bit_length() // 2


def _bounded(factor: float) -> float:
    least, greatest = CORRECTION_LIMITS
    return min(greatest, max(least, factor))


class CostModel:
    """Predictions per model and prompt length, and the speed of each target."""

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
            cached_tokens: Prompt tokens that the engine is expected to have in its cache.

        Returns:
            The cost on an engine of ordinary speed.
        """
        if not call.model:
            return Cost(prefill=self._plain.get(call.service, PLAIN_SECONDS), decode=0.0)
        prefill = self.prefill_seconds(
            model=call.model, prompt_tokens=call.prompt_tokens, cached_tokens=cached_tokens
        )
        output = call.output_tokens * self._outputs.get(call.model, EXPECTED_OUTPUT)
        interval = self._intervals.get(_kind(call), TOKEN_INTERVAL)
        return Cost(
            prefill=prefill,
            decode=self.decode_seconds(output),
            answer=output * interval,
            stretch=self._stretches.get(_kind(call), 1.0),
        )

    def prefill_seconds(self, *, model: str, prompt_tokens: int, cached_tokens: int) -> float:
        """Return the engine seconds that the uncached part of a prompt takes to prefill."""
        cached = min(cached_tokens, prompt_tokens)
        base = _base_prefill(prompt_tokens) - _base_prefill(cached)
        return base * self._factors.get((model, prompt_tokens.bit_length()), self._factor(model))

    @staticmethod
    def decode_seconds(tokens: float) -> float:
        """Return the engine seconds that output tokens take in a full batch."""
        return tokens * DECODE_SECONDS

    def predict_paced(self, call: Call, *, pace: EnginePace, engines: int) -> Cost:
        """Predict the cost of a call on engines whose pace is published.

        Args:
            call: The call.
            pace: How fast the engines work.
            engines: How many may share the reading of its prompt.
        """
        reading = read_seconds(pace, call.prompt_tokens) / max(1, engines)
        return Cost(
            prefill=reading,
            decode=call.output_tokens * pace.stream_step,
            longest=call.output_tokens * pace.step,
        )

    def _factor(self, model: str) -> float:
        return self._factors.get((model, 0), 1.0)

    def speed(self, target: TargetName) -> float:
        """Return how much longer than an ordinary engine a target takes; one is ordinary."""
        return self._speeds.get(target, 1.0)

    def restart(self, target: TargetName) -> None:
        """Forget the speed of a target that has started again."""
        self._speeds.pop(target, None)

    def observe_first_token(
        self, *, call: Call, target: TargetName, cached_tokens: int, seconds: float
    ) -> None:
        """Learn from the time to the first token on a target that had nothing else to prefill."""
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
        """Learn how much longer than expected a first token took, other work included."""
        if call.model and expected > 0.0:
            known = self._stretches.get(_kind(call), 1.0)
            sample = min(STRETCH_MOST, max(1.0, seconds / expected))
            self._stretches[_kind(call)] = known + STRETCH_SMOOTHING * (sample - known)

    def observe_end(self, *, call: Call, tokens: int, seconds: float) -> None:
        """Learn from a whole answer.

        Args:
            call: The call.
            tokens: Its output tokens; zero for plain calls.
            seconds: From the first token to the end, or from the start to the end of plain calls.
        """
        if not call.model:
            known = self._plain.get(call.service, PLAIN_SECONDS)
            self._plain[call.service] = self._smooth(known, seconds)
        elif call.output_tokens:
            share = min(1.0, tokens / call.output_tokens)
            known = self._outputs.get(call.model, EXPECTED_OUTPUT)
            self._outputs[call.model] = self._smooth(known, share)
            if tokens > 1:
                interval = self._intervals.get(_kind(call), TOKEN_INTERVAL)
                sample = seconds / (tokens - 1)
                self._intervals[_kind(call)] = self._smooth(interval, sample)

    @staticmethod
    def _smooth(known: float, sample: float) -> float:
        return known + SMOOTHING * (sample - known)
