"""A table of settings, which both checks a file and makes its reference page."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final, Generic, Literal, TypeVar

from azureswitch.settings._kind import Kind

T = TypeVar("T")


class Need(Enum):
    """Stands in place of a default where there is none."""

    REQUIRED = "required"


REQUIRED: Final = Need.REQUIRED


@dataclass(frozen=True, slots=True, kw_only=True)
class Setting(Generic[T]):
    """One key of a section.

    Attributes:
        section: The section; in a section with a name, such as ``[place north-1]``, its first word.
        key: The key.
        kind: Its type and range.
        help: What it is for, as a full sentence.
        default: Its value where the file does not give one, or ``REQUIRED``.
        unit: Its unit, where the type does not say it.
    """

    section: str
    key: str
    kind: Kind[T]
    help: str
    default: T | Literal[Need.REQUIRED] = REQUIRED
    unit: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """All settings of one kind of file.

    Attributes:
        title: What the file is for, as a heading.
        settings: The settings, in the order of the reference page.
        named: Sections that carry a name and may stand any number of times.
    """

    title: str
    settings: tuple[Setting[Any], ...]
    named: frozenset[str] = frozenset()

    @property
    def sections(self) -> tuple[str, ...]:
        """The sections, in order."""
        return tuple(dict.fromkeys(setting.section for setting in self.settings))

    def of(self, section: str) -> tuple[Setting[Any], ...]:
        """Return the settings of a section."""
        return tuple(setting for setting in self.settings if setting.section == section)


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Spot:
    """Where a value stands in a file; ``name`` is empty in a section without one."""

    section: str
    name: str
    key: str


class Values:
    """The checked values of one file."""

    def __init__(self, *, file: str, values: Mapping[Spot, object], names: tuple[Spot, ...]):
        self._file = file
        self._values = values
        self._names = names

    @property
    def file(self) -> str:
        """The file that they come from."""
        return self._file

    def get(self, setting: Setting[T], name: str = "") -> T:
        """Return the value of a setting, of the section with a name where it carries one."""
        spot = Spot(section=setting.section, name=name, key=setting.key)
        return self._values[spot]  # type: ignore[return-value]

    def names(self, section: str) -> tuple[str, ...]:
        """Return the names of all sections of a kind, in the order of the file."""
        return tuple(spot.name for spot in self._names if spot.section == section)
