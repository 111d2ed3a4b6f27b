"""Reference pages in Markdown, made from the tables that check the files."""

from collections.abc import Iterator
from typing import Any

from azureswitch.settings._table import Need, Setting, Table


def reference(table: Table) -> str:
    """Return the reference of a table as a Markdown section."""
    lines = [f"## {table.title}"]
    for section in table.sections:
        title = f"{section} NAME" if section in table.named else section
        lines += ["", f"### `[{title}]`", ""]
        lines += ["| Key | Value | Default | Meaning |", "|---|---|---|---|"]
        lines += [_row(setting) for setting in table.of(section)]
    return "\n".join(lines) + "\n"


def _row(setting: Setting[Any]) -> str:
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in _cells(setting)) + " |"


def _cells(setting: Setting[Any]) -> Iterator[str]:
    yield f"`{setting.key}`"
    yield setting.kind.expected + (f", in {setting.unit}" if setting.unit else "")
    if isinstance(setting.default, Need):
        yield "required"
    else:
        shown = setting.kind.show(setting.default)
        yield f"`{shown}`" if shown else "none"
    yield setting.help
