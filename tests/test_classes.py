"""Data classes of our own do what those of the standard library do."""

import copy
import dataclasses
from collections.abc import Callable
from typing import Any, ClassVar

import msgspec
import pytest

from azureswitch import classes

FROZEN = {"frozen": True, "slots": True, "kw_only": True}
OPEN = {"slots": True, "kw_only": True}
BY_IDENTITY = {"slots": True, "kw_only": True, "eq": False}
FAILURE = {"kw_only": True, "eq": False}
ORDERED = {**FROZEN, "order": True}
MIXED = {"frozen": True}

Define = Callable[..., Callable[[type], type]]


def _family(define: Define, options: dict[str, Any]) -> tuple[type, type]:
    """Return a class and one derived from it, defined by one of the two decorators."""

    @define(**options)
    class Base:
        """A base."""

        kind: ClassVar[str] = "base"
        first: int

        def twice(self) -> int:
            return self.first * 2

    @define(**options)
    class Derived(Base):
        """Derived."""

        kind: ClassVar[str] = "derived"
        second: str = "b"
        third: list[int] = dataclasses.field(default_factory=list, hash=False)
        aside: float = dataclasses.field(default=0.5, compare=False)
        hidden: float = dataclasses.field(default=0.25, repr=False)
        _private: "int | None" = None

    return Base, Derived


def _failures(define: Define) -> tuple[type, type]:
    @define(**FAILURE)
    class BaseError(Exception):
        """A failure."""

        code: ClassVar[str] = "base"

    @define(**FAILURE)
    class DerivedError(BaseError):
        """A failure with details."""

        detail: str
        seconds: float = 1.0
        parts: list[int] = dataclasses.field(default_factory=list)

    return BaseError, DerivedError


def _outcome(act: Callable[[], object]) -> object:
    """Return what an act gives, or the kind of its failure."""
    try:
        return act()
    except Exception as error:
        return type(error)


ACTS: dict[str, Callable[[type, type], object]] = {
    "shows": lambda base, derived: (repr(base(first=1)), repr(derived(first=1, third=[2]))),
    "holds what it is told": lambda base, derived: [
        getattr(derived(first=1, second="c", hidden=3.0), field.name)
        for field in dataclasses.fields(derived)
    ],
    "makes a default for each": lambda base, derived: (
        derived(first=1).third is derived(first=1).third
    ),
    "needs what has no default": lambda base, derived: derived(),
    "knows no other": lambda base, derived: derived(first=1, other=2),
    "takes what it is told in order": lambda base, derived: derived(1).first,
    "is equal": lambda base, derived: derived(first=1) == derived(first=1),
    "differs in a base's field": lambda base, derived: derived(first=1) == derived(first=2),
    "differs in a field": lambda base, derived: (derived(first=1, second="x") == derived(first=1)),
    "does not compare aside": lambda base, derived: (
        derived(first=1, aside=9.0) == derived(first=1)
    ),
    "differs by class": lambda base, derived: base(first=1) == derived(first=1),
    "compares one field": lambda base, derived: (
        base(first=1) == base(first=1),
        base(first=1) == base(first=2),
    ),
    "hashes": lambda base, derived: (
        # Both are kept: one made where another was, would have its identity.
        len({hash(each) for each in [derived(first=1, third=[n]) for n in (1, 2)]})
    ),
    "hashes one field": lambda base, derived: hash(base(first=1)) == hash((1,)),
    "can be a key": lambda base, derived: {base(first=1): 2}[base(first=1)],
    "orders": lambda base, derived: base(first=1) < base(first=2),
    "changes": lambda base, derived: setattr(derived(first=1), "first", 2),
    "changes its own": lambda base, derived: setattr(derived(first=1), "second", 2),
    "loses": lambda base, derived: delattr(derived(first=1), "first"),
    "has a dictionary": lambda base, derived: hasattr(derived(first=1), "__dict__"),
    "has slots": lambda base, derived: (
        base.__dict__.get("__slots__"),
        derived.__dict__.get("__slots__"),
    ),
    "is replaced": lambda base, derived: repr(dataclasses.replace(derived(first=1), second="z")),
    "is told as a dictionary": lambda base, derived: dataclasses.asdict(derived(first=1)),
    "has fields": lambda base, derived: [
        (f.name, f.type, f.default, f.repr, f.compare, f.kw_only)
        for f in dataclasses.fields(derived)
    ],
    "has class variables": lambda base, derived: (base.kind, derived.kind),
    "has defaults as attributes": lambda base, derived: type(getattr(derived, "second", None)),
    "has methods": lambda base, derived: derived(first=2).twice(),
    "keeps its text and names": lambda base, derived: (
        derived.__doc__,
        derived.__name__,
        derived.__qualname__,
        derived.__module__,
    ),
    "is copied": lambda base, derived: repr(copy.copy(derived(first=1, second="q"))),
    "is copied deeply": lambda base, derived: repr(copy.deepcopy(derived(first=1, third=[5]))),
    "is encoded": lambda base, derived: msgspec.json.encode(derived(first=1, third=[5])),
    "is decoded": lambda base, derived: repr(
        msgspec.json.decode(b'{"first":4,"third":[5]}', type=derived)
    ),
    "is decoded only whole": lambda base, derived: msgspec.json.decode(b"{}", type=derived),
    "matches": lambda base, derived: derived.__match_args__,
    "is noted as frozen": lambda base, derived: vars(derived)["__dataclass_params__"].frozen,
}

OPTIONS = {
    "frozen": FROZEN,
    "open": OPEN,
    "by identity": BY_IDENTITY,
    "ordered": ORDERED,
    "in order": MIXED,
}


@pytest.mark.parametrize("act", ACTS.values(), ids=ACTS)
@pytest.mark.parametrize("options", OPTIONS.values(), ids=OPTIONS)
def test_a_class_does_what_one_of_the_standard_library_does(
    act: Callable[[type, type], object], options: dict[str, Any]
) -> None:
    """Each act has the same outcome for both."""
    ours = _family(classes._define, options)
    theirs = _family(dataclasses.dataclass, options)
    assert _outcome(lambda: act(*ours)) == _outcome(lambda: act(*theirs))


@pytest.mark.parametrize(
    "act",
    [
        lambda base, derived: (str(base()), repr(base())),
        lambda base, derived: repr(derived(detail="x")),
        lambda base, derived: derived(detail="x").args,
        lambda base, derived: derived(),
        lambda base, derived: derived(detail="x") == derived(detail="x"),
        lambda base, derived: isinstance(hash(derived(detail="x")), int),
        lambda base, derived: setattr(derived(detail="x"), "detail", "y"),
        lambda base, derived: derived(detail="x").with_traceback(None).parts,
        lambda base, derived: (derived.seconds, hasattr(derived, "parts"), derived.code),
    ],
)
def test_a_failure_does_what_one_of_the_standard_library_does(
    act: Callable[[type, type], object],
) -> None:
    """Exceptions have no slots and may change."""
    ours = _outcome(lambda: act(*_failures(classes._define)))
    assert ours == _outcome(lambda: act(*_failures(dataclasses.dataclass)))


@pytest.mark.parametrize("options", [FROZEN, ORDERED], ids=["frozen", "ordered"])
def test_a_frozen_class_takes_no_attribute_that_it_does_not_declare(
    options: dict[str, Any],
) -> None:
    """It fails one way or the other."""
    _, derived = _family(classes._define, options)
    # The standard library asks the class that slots replaced, and gives a TypeError for some.
    with pytest.raises((dataclasses.FrozenInstanceError, TypeError)):
        derived(first=1).more = 2


@pytest.mark.parametrize(("base", "derived"), [(FROZEN, OPEN), (OPEN, FROZEN)])
@pytest.mark.parametrize("define", [classes._define, dataclasses.dataclass])
def test_a_class_and_its_base_are_frozen_alike(
    define: Define, base: dict[str, Any], derived: dict[str, Any]
) -> None:
    """A class that may change derives from none that is frozen."""

    @define(**base)
    class Base:
        first: int

    with pytest.raises(TypeError):

        @define(**derived)
        class Derived(Base):
            second: int


@pytest.mark.parametrize("outer", [classes._define, dataclasses.dataclass])
@pytest.mark.parametrize("inner", [classes._define, dataclasses.dataclass])
@pytest.mark.parametrize("options", [FROZEN, OPEN], ids=["frozen", "open"])
def test_classes_of_either_kind_derive_from_each_other(
    outer: Define, inner: Define, options: dict[str, Any]
) -> None:
    """One decorator may make the base, the other what derives from it."""

    @inner(**options)
    class Base:
        first: int

    @outer(**options)
    class Derived(Base):
        second: str = "b"

    made = Derived(first=1)
    assert (made.first, made.second, made == Derived(first=1)) == (1, "b", True)
    assert not hasattr(made, "__dict__")


def test_what_is_checked_after_construction_is() -> None:
    """The check runs, and may raise."""

    @classes._define(**FROZEN)
    class Positive:
        value: int

        def __post_init__(self) -> None:
            if self.value < 0:
                raise ValueError(self.value)

    assert Positive(value=1).value == 1
    with pytest.raises(ValueError, match="-1"):
        Positive(value=-1)


def test_a_method_of_its_own_stays() -> None:
    """What a class defines itself is not generated."""

    @classes._define(**FROZEN)
    class Nameless:
        value: int

        def __repr__(self) -> str:
            return "nameless"

        def __eq__(self, other: object) -> bool:
            return True

    assert (repr(Nameless(value=1)), Nameless(value=1) == Nameless(value=2)) == ("nameless", True)


def test_what_shows_itself_is_shown_once() -> None:
    """An instance inside itself ends the text."""

    @classes._define(**OPEN)
    class Node:
        inner: Any = None

    node = Node()
    node.inner = node
    assert repr(node).endswith("Node(inner=...)")
