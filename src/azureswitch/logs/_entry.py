"""What a line of the log says."""

from enum import Enum
from typing import ClassVar

from absl import logging
from msgspec import Struct


class Level(Enum):
    """How much a line matters."""

    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


class Entry(Struct, frozen=True, kw_only=True):
    """Base of all entries; the fields of a subclass become the keys of its line.

    Attributes:
        part: The part of the program that says it, which begins the sentence.
        sentence: What happened, in a few words.
        level: How much it matters; a warning is never left out for volume.
    """

    part: ClassVar[str]
    sentence: ClassVar[str]
    level: ClassVar[Level] = Level.INFO

    @property
    def request(self) -> str | None:
        """The id of the request that it is about, or None."""
        return None
