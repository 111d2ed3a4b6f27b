"""The record that every benchmark gives, and its check against a bound."""

from enum import Enum

from msgspec import Struct


class Direction(Enum):
    """On which side of its bound a value must stay."""

    AT_MOST = "at_most"
    AT_LEAST = "at_least"
    NONE = "none"


class Record(Struct, frozen=True, kw_only=True):
    """One figure.

    Attributes:
        name: Its stable name, such as ``cascade.ttft_p95.1k``.
        value: What was measured.
        unit: Its unit, such as ``s``, ``ratio`` or ``bytes``.
        bound: The regression bound, or None where there is none.
        direction: On which side of the bound the value must stay.
        baseline: The same figure of the baseline, or None.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    direction: Direction = Direction.NONE
    baseline: float | None = None

    @property
    def holds(self) -> bool:
        """Whether the value is on its side of the bound."""
        if self.bound is None or self.direction is Direction.NONE:
            return True
        if self.direction is Direction.AT_MOST:
            return self.value <= self.bound
        return self.value >= self.bound


def at_most(
    name: str, value: float, unit: str, bound: float, baseline: float | None = None
) -> Record:
    """Return a figure that must not exceed its bound."""
    return Record(
        name=name,
        value=value,
        unit=unit,
        bound=bound,
        direction=Direction.AT_MOST,
        baseline=baseline,
    )
