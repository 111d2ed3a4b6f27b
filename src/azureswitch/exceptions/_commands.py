"""Command lines that could not be carried out."""

from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError, Ran


class CommandError(AzureswitchError):
    """A command of the operators' program could not be carried out; it changed nothing."""

    code: ClassVar[str] = "command_error"
    ran: ClassVar[Ran] = Ran.NOT_RUN


class CommandLineError(CommandError):
    """The command line has an option that is not known, or one without its value.

    Attributes:
        detail: What is wrong with it.
    """

    code: ClassVar[str] = "command_line_invalid"
    detail: str

    @property
    def message(self) -> str:
        return f"The command line is refused: {self.detail.rstrip('.')}."


class InvalidOptionError(CommandError):
    """An option of the command line is missing or out of its range."""

    code: ClassVar[str] = "option_invalid"
    option: str
    value: str
    expected: str

    @property
    def message(self) -> str:
        return f"--{self.option} is {self.value!r}; expected {self.expected}."


class EntryUnreachableError(CommandError):
    """No entry host gave an answer that can be read.

    Attributes:
        addresses: The operations addresses that were asked.
    """

    code: ClassVar[str] = "entry_unreachable"
    addresses: str

    @property
    def message(self) -> str:
        return f"No entry host answered at {self.addresses or 'any address'}."


class StatusPartError(CommandError):
    """A part of a host's status is not of the form that this version reads.

    Attributes:
        host: The host.
        part: The part.
        detail: What is wrong.
    """

    code: ClassVar[str] = "status_part_unreadable"
    host: str
    part: str
    detail: str

    @property
    def message(self) -> str:
        return f"The part {self.part!r} of {self.host}'s status cannot be read: {self.detail}"


class MissingKeyError(CommandError):
    """Standard input held no API key."""

    code: ClassVar[str] = "key_missing"

    @property
    def message(self) -> str:
        return "Give the API key on standard input, or ask for a new one with --new."


class UnknownCustomerError(CommandError):
    """The inventory holds no such customer."""

    code: ClassVar[str] = "customer_not_found"
    customer: str

    @property
    def message(self) -> str:
        return f"The inventory holds no customer named {self.customer!r}."
