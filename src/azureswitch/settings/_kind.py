"""The base of all types of settings."""

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

T = TypeVar("T")


class Kind(ABC, Generic[T]):
    """A type of setting."""

    @property
    @abstractmethod
    def expected(self) -> str:
        """What is accepted, as a phrase for errors and for the reference page."""

    @abstractmethod
    def parse(self, text: str) -> T:
        """Read a value.

        Raises:
            ValueError: The text is not of this type or out of its range.
        """

    def show(self, value: T) -> str:
        """Return the text that ``parse`` reads as ``value``."""
        return str(value)
