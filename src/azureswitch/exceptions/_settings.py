"""Settings, inventory and rules files that were refused."""

from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError, Ran


class SettingsError(AzureswitchError):
    """A settings, inventory or rules file was refused.

    Attributes:
        file: The file.
        section: The section, or an empty string for the file as a whole.
        key: The key, or an empty string for the section as a whole.
    """

    code: ClassVar[str] = "settings_error"
    ran: ClassVar[Ran] = Ran.NOT_RUN
    file: str
    section: str = ""
    key: str = ""

    @property
    def place(self) -> str:
        """Where in the file the failure lies."""
        return f"{self.file}: [{self.section}] {self.key}".rstrip()


class SettingsFileMissingError(SettingsError):
    """The file does not exist or cannot be read."""

    code: ClassVar[str] = "settings_file_missing"

    @property
    def message(self) -> str:
        return f"{self.file} cannot be read."


class SettingsSyntaxError(SettingsError):
    """The file is not INI."""

    code: ClassVar[str] = "settings_syntax"
    detail: str

    @property
    def message(self) -> str:
        return f"{self.file} is not INI: {self.detail}."


class UnknownSettingError(SettingsError):
    """The section or key is not known."""

    code: ClassVar[str] = "settings_unknown"

    @property
    def message(self) -> str:
        return f"{self.place} is not known."


class MissingSettingError(SettingsError):
    """A required section or key is missing."""

    code: ClassVar[str] = "settings_missing"

    @property
    def message(self) -> str:
        return f"{self.place} is required."


class InvalidSettingError(SettingsError):
    """A value is not of its type or out of its range."""

    code: ClassVar[str] = "settings_invalid"
    value: str
    expected: str

    @property
    def message(self) -> str:
        return f"{self.place} is {self.value!r}; expected {self.expected}."


class DuplicateSettingError(SettingsError):
    """The section or key stands twice, or a value that must be unique does."""

    code: ClassVar[str] = "settings_duplicate"

    @property
    def message(self) -> str:
        return f"{self.place} stands twice."


class DanglingReferenceError(SettingsError):
    """An entry names a place, service or model that the inventory does not hold."""

    code: ClassVar[str] = "settings_dangling"
    value: str

    @property
    def message(self) -> str:
        return f"{self.place} names {self.value!r}, which the inventory does not hold."
