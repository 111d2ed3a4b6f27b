"""Types of settings that are numbers, each with a range."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf, isfinite
from re import compile
from types import MappingProxyType

from azureswitch.settings._kind import Kind

_TIME_UNITS: Mapping[str, float] = MappingProxyType(
    {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3_600.0, "d": 86_400.0}
)
"""Seconds per unit that a duration may carry."""

_DURATION = compile(r"(?P<number>[0-9]+(?:\.[0-9]+)?) ?(?P<unit>ms|s|min|h|d)?")
_INTEGER = compile(r"-?[0-9][0-9_]{0,30}")
_NUMBER = compile(r"-?[0-9]+(?:\.[0-9]+)?")


def _range(low: float, high: float) -> str:
    if low == -inf and high == inf:
        return ""
    if low == high:
        return f" of {low:,.12g}"
    if high == inf:
        return f" of at least {low:,.12g}"
    if low == -inf:
        return f" of at most {high:,.12g}"
    return f" from {low:,.12g} to {high:,.12g}"


def _check(value: float, low: float, high: float) -> None:
    if not low <= value <= high:
        raise ValueError(value)


@dataclass(frozen=True, slots=True, kw_only=True)
class Integer(Kind[int]):
    """A whole number; underscores may group its digits."""

    low: float = -inf
    high: float = inf

    @property
    def expected(self) -> str:
        """What is accepted."""
        return f"a whole number{_range(self.low, self.high)}"

    def parse(self, text: str) -> int:
        """Read a value."""
        if not _INTEGER.fullmatch(text):
            raise ValueError(text)
        value = int(text)
        _check(value, self.low, self.high)
        return value


@dataclass(frozen=True, slots=True, kw_only=True)
class Number(Kind[float]):
    """A finite decimal number."""

    low: float = -inf
    high: float = inf

    @property
    def expected(self) -> str:
        """What is accepted."""
        return f"a number{_range(self.low, self.high)}"

    def parse(self, text: str) -> float:
        """Read a value."""
        if not _NUMBER.fullmatch(text):
            raise ValueError(text)
        value = float(text)
        if not isfinite(value):
            raise ValueError(text)
        _check(value, self.low, self.high)
        return value

    def show(self, value: float) -> str:
        """Return the shortest text."""
        return f"{value:g}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Seconds(Kind[float]):
    """A duration, in seconds where it carries no unit of ``ms``, ``s``, ``min``, ``h`` or ``d``."""

    low: float = 0.0
    high: float = inf

    @property
    def expected(self) -> str:
        """What is accepted."""
        return f"a duration{_range(self.low, self.high)} s, such as `1.5`, `200 ms` or `5 min`"

    def parse(self, text: str) -> float:
        """Read a value as seconds."""
        match = _DURATION.fullmatch(text)
        if match is None:
            raise ValueError(text)
        value = float(match["number"]) * _TIME_UNITS[match["unit"] or "s"]
        if not isfinite(value):
            raise ValueError(text)
        _check(value, self.low, self.high)
        return value

    def show(self, value: float) -> str:
        """Return the duration in seconds."""
        return f"{value:g} s"
