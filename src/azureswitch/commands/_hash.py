"""``azureswitch hash-key``."""

from hashlib import sha256
from secrets import token_urlsafe

from cleo.helpers import option
from msgspec import Struct

from azureswitch.commands._base import OperatorCommand, text
from azureswitch.exceptions import MissingKeyError

KEY_BYTES = 32
"""Random bytes of a new key."""


class KeyReport(Struct, frozen=True, kw_only=True):
    """A key's hash.

    Attributes:
        key: The key where it is a new one, else empty.
        key_hash: What the inventory holds.
    """

    key: str
    key_hash: str


@text.register
def _(report: KeyReport) -> str:
    lines = [f"key_hash = {report.key_hash}"]
    if report.key:
        lines.insert(0, f"# Give this key to the customer; it is not kept: {report.key}")
    return "\n".join(lines)


class HashKeyCommand(OperatorCommand):
    """Prints the line of an inventory for an API key."""

    name = "hash-key"
    description = "Print the key_hash of an API key read from standard input, or of a new one."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        *OperatorCommand.options,
        option("new", description="Make a new random key."),
    ]

    async def report(self) -> KeyReport:
        """Hash the key.

        Raises:
            MissingKeyError: Standard input is empty.
        """
        new = token_urlsafe(KEY_BYTES) if self.option("new") else ""
        # The key is no argument, so that no shell history and no list of processes has it.
        key = new or self.io.input.stream.readline().strip()
        if not key:
            raise MissingKeyError()
        return KeyReport(key=new, key_hash=sha256(key.encode()).hexdigest())
