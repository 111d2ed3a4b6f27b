"""Reading and checking an INI file against its table."""

from collections.abc import Iterator
from configparser import (
    ConfigParser,
    DuplicateOptionError,
    DuplicateSectionError,
    Error,
    SectionProxy,
)
from pathlib import Path
from re import compile
from typing import Any

from azureswitch.exceptions import (
    DuplicateSettingError,
    InvalidSettingError,
    MissingSettingError,
    SettingsFileMissingError,
    SettingsSyntaxError,
    UnknownSettingError,
)
from azureswitch.settings._table import Need, Setting, Spot, Table, Values
from azureswitch.settings._words import NAME_PATTERN

_NAME = compile(NAME_PATTERN)
_NO_DEFAULTS = "\x00"
"""A section name that no file can hold, so that ``[DEFAULT]`` is a section like any other."""


def read(path: Path, table: Table) -> Values:
    """Read a file.

    Args:
        path: The file.
        table: What it may hold.

    Returns:
        The values, with defaults in place of those that the file leaves out.

    Raises:
        SettingsError: The file was refused; the error names file, section and key.
    """
    try:
        content = path.read_bytes()
    except (OSError, ValueError) as error:
        raise SettingsFileMissingError(file=str(path)) from error
    return parse(content, table, file=str(path))


def parse(content: bytes, table: Table, *, file: str) -> Values:
    """Check the content of a file.

    Args:
        content: The content, in UTF-8.
        table: What it may hold.
        file: The name of the file, for errors.

    Returns:
        The values, with defaults in place of those that the file leaves out.

    Raises:
        SettingsError: The content was refused; the error names file, section and key.
    """
    parser = _syntax(content, file)
    values: dict[Spot, object] = {}
    names: list[Spot] = []
    for title in parser.sections():
        section, name = _split(title, table, file)
        spot = Spot(section=section, name=name, key="")
        if spot in names:
            raise DuplicateSettingError(file=file, section=title)
        names.append(spot)
        values.update(_values(parser[title], title, spot, table, file))
    for section in table.sections:
        if section in table.named or any(spot.section == section for spot in names):
            continue
        values.update(_absent(section, table, file))
    return Values(file=file, values=values, names=tuple(names))


def _syntax(content: bytes, file: str) -> ConfigParser:
    parser = ConfigParser(
        default_section=_NO_DEFAULTS,
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        interpolation=None,
        empty_lines_in_values=False,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(content.decode(), source=file)
    except DuplicateSectionError as error:
        raise DuplicateSettingError(file=file, section=error.section) from error
    except DuplicateOptionError as error:
        raise DuplicateSettingError(file=file, section=error.section, key=error.option) from error
    except Error as error:
        detail = error.message.splitlines()[0]
        raise SettingsSyntaxError(file=file, detail=detail) from error
    except UnicodeDecodeError as error:
        raise SettingsSyntaxError(file=file, detail="it is not in UTF-8") from error
    return parser


def _split(title: str, table: Table, file: str) -> tuple[str, str]:
    section, _, name = title.partition(" ")
    if section not in table.sections or bool(name) != (section in table.named):
        raise UnknownSettingError(file=file, section=title)
    if name and not _NAME.fullmatch(name):
        raise UnknownSettingError(file=file, section=title)
    return section, name


def _values(
    proxy: SectionProxy, title: str, spot: Spot, table: Table, file: str
) -> Iterator[tuple[Spot, object]]:
    settings = {setting.key: setting for setting in table.of(spot.section)}
    for key in proxy:
        if key not in settings:
            raise UnknownSettingError(file=file, section=title, key=key)
    for key, setting in settings.items():
        text = proxy.get(key)
        value = (
            _default(setting, title, file) if text is None else _parse(setting, text, proxy, file)
        )
        yield Spot(section=spot.section, name=spot.name, key=key), value


def _absent(section: str, table: Table, file: str) -> Iterator[tuple[Spot, object]]:
    for setting in table.of(section):
        yield Spot(section=section, name="", key=setting.key), _default(setting, section, file)


def _default(setting: Setting[Any], title: str, file: str) -> object:
    if isinstance(setting.default, Need):
        raise MissingSettingError(file=file, section=title, key=setting.key)
    return setting.default


def _parse(setting: Setting[Any], text: str, proxy: SectionProxy, file: str) -> object:
    try:
        return setting.kind.parse(text)
    except ValueError as error:
        raise InvalidSettingError(
            file=file,
            section=proxy.name,
            key=setting.key,
            value=text,
            expected=setting.kind.expected,
        ) from error
