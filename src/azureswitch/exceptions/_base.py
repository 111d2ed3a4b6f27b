"""The root of the tree of failures."""

from collections.abc import Mapping
from enum import Enum
from http import HTTPStatus
from inspect import get_annotations
from typing import ClassVar, dataclass_transform, get_origin


class Ran(Enum):
    """Whether a failed request ran at a target."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


def _of_class(kind: object) -> bool:
    """Return whether an annotation declares an attribute of the class, and so no field."""
    return get_origin(kind) is ClassVar


@dataclass_transform(kw_only_default=True, eq_default=False)
class AzureswitchError(Exception):
    """Base of all failures.

    A subclass declares its fields as a data class does, and takes them by keyword.  No code is
    generated for it: an exception cannot be a `msgspec.Struct`, and every process that starts
    defines some 80 of them.

    Attributes:
        code: The stable name of the failure in answers, logs and metrics.
        status: The HTTP status that a caller sees.
        ran: Whether the request ran.
        field_names: The names of its fields.

    Raises:
        TypeError: A field is missing or not known.
    """

    field_names: ClassVar[tuple[str, ...]] = ()

    code: ClassVar[str] = "internal_error"
    status: ClassVar[HTTPStatus] = HTTPStatus.INTERNAL_SERVER_ERROR
    ran: ClassVar[Ran] = Ran.UNKNOWN

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        declared = get_annotations(cls)
        added = [name for name, kind in declared.items() if not _of_class(kind)]
        cls.field_names = tuple(dict.fromkeys((*cls.field_names, *added)))

    def __init__(self, **values: object) -> None:
        super().__init__()
        unknown = values.keys() - set(self.field_names)
        missing = [
            name for name in self.field_names if name not in values and not hasattr(self, name)
        ]
        if unknown or missing:
            kind = type(self).__name__
            raise TypeError(f"{kind}: unknown fields {sorted(unknown)}, missing fields {missing}.")
        self.__dict__.update(values)

    @property
    def fields(self) -> Mapping[str, object]:
        """The values of its fields."""
        return {name: getattr(self, name) for name in self.field_names}

    @property
    def message(self) -> str:
        """One short sentence for people."""
        return "Something failed inside azureswitch."

    @property
    def retry_after(self) -> float | None:
        """Seconds after which a new try may succeed, or None when it would not help."""
        return None

    def __str__(self) -> str:
        return self.message

    def __repr__(self) -> str:
        fields = ", ".join(f"{name}={value!r}" for name, value in self.fields.items())
        return f"{type(self).__name__}({fields})"
