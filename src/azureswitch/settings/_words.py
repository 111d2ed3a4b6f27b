"""Types of settings that are words: names, choices, lines of text, paths."""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from re import compile
from typing import TypeVar

from azureswitch.settings._kind import Kind

E = TypeVar("E", bound=Enum)


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
