"""A checked reader of INI files.

A `Table` of typed settings says what a file may hold.  `read` returns its values or raises an error
that names file, section and key; `reference` makes the page for operators from the same table.
"""

from azureswitch.settings._kinds import (
    NAME,
    NAME_PATTERN,
    Address,
    Choice,
    ExistingFile,
    Flag,
    HostPort,
    Integer,
    Items,
    Kind,
    Number,
    Seconds,
    Text,
)
from azureswitch.settings._read import parse, read
from azureswitch.settings._reference import reference
from azureswitch.settings._table import REQUIRED, Setting, Table, Values

__all__ = [
    "NAME",
    "NAME_PATTERN",
    "REQUIRED",
    "Address",
    "Choice",
    "ExistingFile",
    "Flag",
    "HostPort",
    "Integer",
    "Items",
    "Kind",
    "Number",
    "Seconds",
    "Setting",
    "Table",
    "Text",
    "Values",
    "parse",
    "read",
    "reference",
]
