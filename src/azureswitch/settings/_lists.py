"""Lists as settings."""

from dataclasses import dataclass
from re import compile, escape
from typing import TypeVar

from azureswitch.settings._kind import Kind

T = TypeVar("T")


@dataclass(frozen=True, slots=True, kw_only=True)
class Items(Kind[tuple[T, ...]]):
    """A list of values of one type, without duplicates.

    Attributes:
        kind: The type of each value.
        separator: What stands between values, besides white space and line ends.
        least: How many values there must be at least.
    """

    kind: Kind[T]
    separator: str = ","
    least: int = 0

    @property
    def expected(self) -> str:
        """What is accepted."""
        count = f"at least {self.least} of " if self.least else ""
        return f"a list, separated by `{self.separator}`, of {count}{self.kind.expected}"

    def parse(self, text: str) -> tuple[T, ...]:
        """Read a value."""
        parts = compile(rf"\s*{escape(self.separator)}\s*|\s*\n\s*").split(text.strip())
        values = tuple(self.kind.parse(part) for part in parts if part)
        if len(values) < self.least or len(set(values)) < len(values):
            raise ValueError(text)
        return values

    def show(self, value: tuple[T, ...]) -> str:
        """Return the values with the separator between them."""
        return f"{self.separator} ".join(self.kind.show(item) for item in value)
