"""The settings of the operators' program."""

from os import environ
from pathlib import Path

from msgspec import Struct

from azureswitch.settings import (
    Address,
    HostPort,
    Items,
    Setting,
    Table,
    Text,
    read,
)

SETTINGS_VARIABLE = "AZURESWITCH_SETTINGS"
"""The environment variable that names the settings file where no option does."""

DEFAULT_FILE = "azureswitch.ini"
"""The settings file where neither an option nor the environment names one."""

AUTHOR_KIND = Text(pattern=r"[^\x00-\x1f\x7f]{1,128}", form="one line of at most 128 characters")
"""What the name of an operator may be."""

_AUTHOR = Setting(
    section="operator",
    key="name",
    kind=AUTHOR_KIND,
    help="Who the audit trail says made a change; `--author` goes before it.",
)
_STORE = Setting(
    section="platform", key="store", kind=HostPort(), help="The platform's object store."
)
_OPERATIONS = Setting(
    section="entries",
    key="operations",
    kind=Items(kind=HostPort()),
    default=(),
    help="Operations addresses of entry hosts, which `azureswitch status` asks.",
)

OPERATOR_TABLE = Table(
    title="Settings of the operators' program",
    settings=(_AUTHOR, _STORE, _OPERATIONS),
)
"""What a settings file of the operators' program may hold."""


class OperatorSettings(Struct, frozen=True, kw_only=True):
    """Who operates, and where the platform and the hosts are.

    Attributes:
        author: Who the audit trail says made a change.
        store: The platform's object store.
        operations: Operations addresses of entry hosts.
    """

    author: str
    store: Address
    operations: tuple[Address, ...] = ()


def read_settings(path: str | None) -> OperatorSettings:
    """Read the settings of the operators' program.

    Args:
        path: The file, or None for the one of the environment or the working directory.

    Returns:
        The settings.

    Raises:
        SettingsError: The file was refused; the error names file, section and key.
    """
    values = read(Path(path or environ.get(SETTINGS_VARIABLE) or DEFAULT_FILE), OPERATOR_TABLE)
    return OperatorSettings(
        author=values.get(_AUTHOR),
        store=values.get(_STORE),
        operations=values.get(_OPERATIONS),
    )
