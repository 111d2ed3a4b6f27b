"""Types of settings: how a value is read, what is accepted, and how it is shown."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from ipaddress import ip_address
from math import inf, isfinite
from pathlib import Path
from re import compile, escape
from types import MappingProxyType
from typing import Generic, TypeVar

T = TypeVar("T")
E = TypeVar("E", bound=Enum)

HIGHEST_PORT = 65_535
"""The greatest TCP or UDP port."""

_TIME_UNITS: Mapping[str, float] = MappingProxyType(
    {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3_600.0, "d": 86_400.0}
)
"""Seconds per unit that a duration may carry."""

_DURATION = compile(r"(?P<number>[0-9]+(?:\.[0-9]+)?) ?(?P<unit>ms|s|min|h|d)?")
_INTEGER = compile(r"-?[0-9][0-9_]{0,30}")
_NUMBER = compile(r"-?[0-9]+(?:\.[0-9]+)?")
_PORT = compile(r"[0-9]{1,5}")


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Address:
    """An IP address with a port.

    Attributes:
        ip: The IP address, without brackets.
        port: The port, from 1 up, or 0 where the system is to choose one.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


class Kind(ABC, Generic[T]):
    """A type of setting."""

    @property
    @abstractmethod
    def expected(self) -> str:
        """What is accepted, as a phrase for errors and for the reference page."""

    @abstractmethod
    def parse(self, text: str) -> T:
        """Read a value.

        Raises:
            ValueError: The text is not of this type or out of its range.
        """

    def show(self, value: T) -> str:
        """Return the text that ``parse`` reads as ``value``."""
        return str(value)


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


@dataclass(frozen=True, slots=True, kw_only=True)
class HostPort(Kind[Address]):
    """An IP address with a port.

    Attributes:
        any_port: Whether port 0, a port of the system's choice, is accepted.
    """

    any_port: bool = False

    @property
    def expected(self) -> str:
        """What is accepted."""
        return "`IP:PORT`, such as `10.0.0.7:8080` or `[fd00::7]:8080`"

    def parse(self, text: str) -> Address:
        """Read a value."""
        ip, _, port = text.rpartition(":")
        if ip.startswith("[") and ip.endswith("]"):
            ip = ip[1:-1]
        elif ":" in ip:
            raise ValueError(text)
        if not _PORT.fullmatch(port):
            raise ValueError(text)
        number = int(port)
        _check(number, 0 if self.any_port else 1, HIGHEST_PORT)
        return Address(ip=str(ip_address(ip)), port=number)


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice(Kind[E]):
    """One of an enumeration's values."""

    options: type[E]

    @property
    def expected(self) -> str:
        """What is accepted."""
        return "one of " + ", ".join(f"`{option.value}`" for option in self.options)

    def parse(self, text: str) -> E:
        """Read a value."""
        return self.options(text)

    def show(self, value: E) -> str:
        """Return the option's own text."""
        return str(value.value)


@dataclass(frozen=True, slots=True, kw_only=True)
class Flag(Kind[bool]):
    """Yes or no."""

    @property
    def expected(self) -> str:
        """What is accepted."""
        return "`yes` or `no`"

    def parse(self, text: str) -> bool:
        """Read a value."""
        if text not in ("yes", "no"):
            raise ValueError(text)
        return text == "yes"

    def show(self, value: bool) -> str:
        """Return ``yes`` or ``no``."""
        return "yes" if value else "no"


@dataclass(frozen=True, slots=True, kw_only=True)
class Text(Kind[str]):
    """A line of text.

    Attributes:
        pattern: The regular expression that the whole value must match.
        form: What it asks for, as a phrase.
    """

    pattern: str = r"[^\x00-\x1f\x7f]+"
    form: str = "one line of text"

    @property
    def expected(self) -> str:
        """What is accepted."""
        return self.form

    def parse(self, text: str) -> str:
        """Read a value."""
        if not compile(self.pattern).fullmatch(text):
            raise ValueError(text)
        return text


NAME_PATTERN = r"[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?"
"""Lower-case letters, digits, dots and hyphens, at most 63, as in the names of hosts."""

NAME = Text(
    pattern=NAME_PATTERN,
    form="a name of at most 63 lower-case letters, digits, dots and hyphens",
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ExistingFile(Kind[Path]):
    """The path of a file that can be read."""

    @property
    def expected(self) -> str:
        """What is accepted."""
        return "the path of a file that exists"

    def parse(self, text: str) -> Path:
        """Read a value."""
        path = Path(text)
        if "\x00" in text or not path.is_file():
            raise ValueError(text)
        return path


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
