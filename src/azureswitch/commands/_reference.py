"""``azureswitch reference``."""

from dataclasses import dataclass

from azureswitch.commands._base import OperatorCommand, text
from azureswitch.commands._exits import ExitCode
from azureswitch.commands._settings import OPERATOR_TABLE
from azureswitch.inventory import INVENTORY, RULES
from azureswitch.settings import reference

_INTRODUCTION = """# Settings

Every file that azureswitch reads is INI in UTF-8. Lines that begin with `#` or `;` are comments.
A list may go on over indented lines. Unknown sections and keys, values out of their range and
references to nothing are refused, with an error that names file, section and key. Durations are in
seconds, or carry a unit: `200 ms`, `5 min`, `1 d`.

This page is made from the tables that check the files: `azureswitch reference`.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReferenceReport:
    """The reference page of all settings and exit codes, in Markdown."""

    page: str


@text.register
def _(report: ReferenceReport) -> str:
    return report.page


def page() -> str:
    """Return the reference page."""
    # Imported here, since every other command would start twice as slowly with the daemon's parts.
    from azureswitch.entry import ENTRY_TABLE

    tables = (ENTRY_TABLE, OPERATOR_TABLE, INVENTORY, RULES)
    return "\n".join((_INTRODUCTION, *map(reference, tables), _exit_codes()))


def _exit_codes() -> str:
    rows = "\n".join(f"| {code.value} | {code.name} | {code.meaning} |" for code in ExitCode)
    heading = "## Exit codes of the operators' program\n\n| Code | Name | Meaning |\n|---|---|---|"
    return f"{heading}\n{rows}"


class ReferenceCommand(OperatorCommand):
    """Prints the reference page of all settings."""

    name = "reference"
    description = "Print the reference of all settings and exit codes, in Markdown."

    async def report(self) -> ReferenceReport:
        """Make the page."""
        return ReferenceReport(page=page())
