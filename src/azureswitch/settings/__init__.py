"""A checked reader of INI files.

A `Table` of typed settings says what a file may hold.  `read` returns its values or raises an error
that names file, section and key; `reference` makes the page for operators from the same table.
"""

from azureswitch.settings._addresses import Address, HostPort
from azureswitch.settings._kind import Kind
from azureswitch.settings._lists import Items
from azureswitch.settings._numbers import Integer, Number, Seconds
from azureswitch.settings._read import parse, read
from azureswitch.settings._reference import reference
from azureswitch.settings._table import REQUIRED, Setting, Table, Values
from azureswitch.settings._words import NAME, NAME_PATTERN, Choice, ExistingFile, Flag, Text

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
