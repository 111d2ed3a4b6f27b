"""Calls to the platform's object store and host list that failed."""

from typing import ClassVar

from azureswitch.exceptions._base import AzureswitchError, Ran


class StoreError(AzureswitchError):
    """A call to the platform's object store failed.

    Attributes:
        key: The object, as ``kind/name``.
    """

    code: ClassVar[str] = "store_error"
    key: str

    @property
    def message(self) -> str:
        return f"The store call for {self.key!r} failed."


class StoreConflictError(StoreError):
    """The object's version is not the expected one, or it exists already; nothing was written."""

    code: ClassVar[str] = "store_conflict"
    ran: ClassVar[Ran] = Ran.NOT_RUN


class StoreNotFoundError(StoreError):
    """The object does not exist; nothing was written."""

    code: ClassVar[str] = "store_not_found"
    ran: ClassVar[Ran] = Ran.NOT_RUN


class StoreUnavailableError(StoreError):
    """The store was not reached or refused the call; nothing was written."""

    code: ClassVar[str] = "store_unavailable"
    ran: ClassVar[Ran] = Ran.NOT_RUN
    seconds: float | None = None

    @property
    def retry_after(self) -> float | None:
        return self.seconds


class StoreAnswerTooLargeError(StoreUnavailableError):
    """The answer to a read is larger than any valid one; nothing was written."""

    code: ClassVar[str] = "store_answer_too_large"


class StoreOutcomeUnknownError(StoreError):
    """The write may or may not have taken effect."""

    code: ClassVar[str] = "store_outcome_unknown"


class StoreVersionGoneError(StoreError):
    """The version to watch from is too old; list again and watch from there."""

    code: ClassVar[str] = "store_version_gone"
    ran: ClassVar[Ran] = Ran.NOT_RUN


class StoreValueTooLargeError(StoreError):
    """The value is over the store's limit in bytes; nothing was written."""

    code: ClassVar[str] = "store_value_too_large"
    ran: ClassVar[Ran] = Ran.NOT_RUN
    limit: int


class HostListError(AzureswitchError):
    """The platform's host list could not be read."""

    code: ClassVar[str] = "host_list_error"

    @property
    def message(self) -> str:
        return "The host list cannot be read."


class DeploymentUnreadableError(AzureswitchError):
    """An object of the platform's store is not what its kind says.

    Attributes:
        version: The object's version.
        detail: What is wrong.
    """

    code: ClassVar[str] = "deployment_unreadable"
    version: int
    detail: str

    @property
    def message(self) -> str:
        return f"The object of version {self.version} cannot be read: {self.detail}"


class PlatformSettingsError(AzureswitchError):
    """The settings that the platform gives this process cannot be used.

    Attributes:
        path: The settings file.
        detail: What is wrong.
    """

    code: ClassVar[str] = "platform_settings_error"
    path: str
    detail: str

    @property
    def message(self) -> str:
        return f"The settings {self.path!r} cannot be used: {self.detail}"


class AddressUnavailableError(AzureswitchError):
    """An address on which the process must listen cannot be used.

    Attributes:
        detail: Why.
    """

    code: ClassVar[str] = "address_unavailable"
    ran: ClassVar[Ran] = Ran.NOT_RUN
    detail: str

    @property
    def message(self) -> str:
        return f"An address cannot be used: {self.detail}"
