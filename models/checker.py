"""Checks a specification: by induction to all depths, and by search for counterexamples.

In the proof the hosts, claims and writes are uninterpreted sorts: it holds for any number of them.
The search has a few of each, visits every state that can be reached, nearest first, and names the
steps that lead to a broken promise.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import product
from typing import Any, TypeAlias

from msgspec import Struct
from z3 import (
    ArraySort,
    BoolSort,
    Const,
    DeclareSort,
    ForAll,
    IntSort,
    Solver,
    unsat,
)

from models.logic import Expr, both, negate

_Key: TypeAlias = tuple[Expr, ...]

PROOF_TIMEOUT = 20_000
"""Milliseconds for one obligation at most."""

NUMBER = "number"
"""The sort of integers, for parameters that are counts."""

STATE_LIMIT = 20_000
"""States that a search visits at most."""


class State:
    """The variables of a specification at one time, as attributes."""

    def __init__(self, *, variables: Mapping[str, Expr]) -> None:
        self._variables = dict(variables)

    def __getattr__(self, name: str) -> Expr:
        return self._variables[name]

    @property
    def values(self) -> dict[str, Expr]:
        """All variables by name."""
        return self._variables

    def after(self, changes: Mapping[str, Expr]) -> "State":
        """Return the state with some variables changed."""
        return State(variables=self._variables | dict(changes))


class Sorts:
    """What the parameters of actions range over.

    Args:
        names: All sorts.
        sizes: How many members the finite ones have; the others have any number.
    """

    def __init__(self, *, names: Iterable[str], sizes: Mapping[str, int]) -> None:
        self._sizes = sizes
        unbounded = [name for name in names if name not in sizes]
        self._sorts = {
            name: IntSort() if name == NUMBER else DeclareSort(name.title()) for name in unbounded
        }

    def sort(self, kind: Any) -> Expr:
        """Return the z3 sort of a field's declaration."""
        if isinstance(kind, tuple):
            return ArraySort(self.sort(kind[0]), self.sort(kind[1]))
        if isinstance(kind, str):
            return self._sorts.get(kind, IntSort())
        return {int: IntSort(), bool: BoolSort()}[kind]

    def every(self, name: str, rule: Callable[[Expr], Expr]) -> Expr:
        """Return that a rule holds for every member."""
        if name in self._sizes:
            return both(*(rule(member) for member in range(self._sizes[name])))
        variable = Const(f"any_{name}_{id(rule)}", self._sorts[name])
        return ForAll([variable], rule(variable))

    def members(self, name: str) -> Iterable[Expr]:
        """Return all members, or one of which nothing is known where there is any number."""
        if name in self._sizes:
            return range(self._sizes[name])
        return (Const(f"the_{name}", self._sorts[name]),)


Step: TypeAlias = tuple[Expr, Callable[[], dict[str, Expr]]]
"""The guard of an action and its changes, which are worked out only where the guard holds."""


class Action(Struct, frozen=True, kw_only=True):
    """Something that may happen.

    Attributes:
        name: What.
        step: Returns its guard and its changes, given the state and the parameters.
        uses: The sorts of its parameters.
    """

    name: str
    step: Callable[..., Step]
    uses: tuple[str, ...]


class Spec(Struct, frozen=True, kw_only=True):
    """A specification.

    Attributes:
        name: Its name.
        fields: The variables: int, bool, a sort, or a pair of a sort and what it maps to.
        sizes: How many members each sort has in a search.
        finite: How many members the sorts have that are finite in the proof too.
        initial: Returns that a state is a first one.
        start: The first state of a search.
        actions: Returns what may happen, given the name of the rule to break or an empty string.
        safety: Returns the promises by name.
        canonical: Returns what equivalent states have in common.
        mutations: The rules that can be broken.
    """

    name: str
    fields: Mapping[str, Any]
    sizes: Mapping[str, int]
    finite: Mapping[str, int]
    initial: Callable[[State, Sorts], Expr]
    start: Mapping[str, Expr]
    actions: Callable[[str], list[Action]]
    safety: Callable[[State, Sorts], dict[str, Expr]]
    canonical: Callable[[Mapping[str, Expr]], Mapping[str, Expr]]
    mutations: tuple[str, ...]


class Obligation(Struct, frozen=True, kw_only=True):
    """One thing to prove, and whether it was."""

    name: str
    proved: bool


def prove(spec: Spec, invariant: Callable[[State, Sorts], dict[str, Expr]]) -> Iterator[Obligation]:
    """Prove that the invariant holds at first, is kept by every action, and implies safety.

    Args:
        spec: What to prove.
        invariant: Returns the parts of the inductive invariant by name.
    """
    sorts = Sorts(names=spec.sizes, sizes=spec.finite)
    s = State(variables={name: Const(name, sorts.sort(kind)) for name, kind in spec.fields.items()})
    for name, part in invariant(s, sorts).items():
        yield _obligation(f"at first: {name}", [(spec.initial(s, sorts), part)])
    holds = both(*invariant(s, sorts).values())
    for action in spec.actions(""):
        for name, cases in _cases(action, s, sorts, invariant).items():
            premises = [(both(holds, guard), part) for guard, part in cases]
            yield _obligation(f"{action.name}: {name}", premises)
    for name, promise in spec.safety(s, sorts).items():
        yield _obligation(f"always: {name}", [(holds, promise)])


def _cases(
    action: "Action",
    s: State,
    sorts: Sorts,
    invariant: Callable[[State, Sorts], dict[str, Expr]],
) -> dict[str, list[tuple[Expr, Expr]]]:
    """Return the guard and what must hold after it, by part of the invariant and parameters."""
    cases: dict[str, list[tuple[Expr, Expr]]] = defaultdict(list)
    for parameters in product(*map(sorts.members, action.uses)):
        guard, changes = action.step(s, *parameters)
        for name, part in invariant(s.after(changes()), sorts).items():
            cases[name].append((guard, part))
    return cases


def _obligation(name: str, cases: Iterable[tuple[Expr, Expr]]) -> Obligation:
    return Obligation(name=name, proved=all(_follows(given, goal) for given, goal in cases))


def _follows(given: Expr, goal: Expr) -> bool:
    if goal is True or given is False:
        return True
    solver = Solver()
    solver.set("timeout", PROOF_TIMEOUT)
    solver.add(given, negate(goal))
    return bool(solver.check() == unsat)


class Search(Struct, frozen=True, kw_only=True):
    """What a search found.

    Attributes:
        states: States visited.
        steps: Steps taken.
        complete: Whether no state was left out.
        promise: The broken promise, or an empty string.
        trace: The shortest steps that break it.
    """

    states: int
    steps: int
    complete: bool
    promise: str = ""
    trace: tuple[str, ...] = ()


def search(spec: Spec, *, mutation: str = "") -> Search:
    """Visit the states that can be reached until a promise is broken.

    Args:
        spec: What to search.
        mutation: The rule that is broken, or an empty string.
    """
    sorts = Sorts(names=spec.sizes, sizes=spec.sizes)
    actions = spec.actions(mutation)
    if not spec.initial(State(variables=spec.start), sorts):
        raise ValueError(spec.name)
    came_from: dict[_Key, tuple[_Key, str] | None] = {_key(spec, spec.start): None}
    queue = deque([dict(spec.start)])
    steps = 0
    while queue and len(came_from) < STATE_LIMIT:
        now = queue.popleft()
        for label, then in _next(spec, State(variables=now), actions):
            steps += 1
            key = _key(spec, then)
            if key in came_from:
                continue
            came_from[key] = (_key(spec, now), label)
            queue.append(then)
            promise = _broken(spec, State(variables=then), sorts)
            if promise:
                trace = _trace(came_from, key)
                return Search(
                    states=len(came_from), steps=steps, complete=False, promise=promise, trace=trace
                )
    return Search(states=len(came_from), steps=steps, complete=not queue)


def _next(spec: Spec, s: State, actions: list[Action]) -> Iterator[tuple[str, dict[str, Expr]]]:
    for action in actions:
        for parameters in product(*(range(spec.sizes[name]) for name in action.uses)):
            guard, changes = action.step(s, *parameters)
            if guard:
                yield _label(action, parameters), s.after(changes()).values


def _label(action: Action, parameters: tuple[int, ...]) -> str:
    named = zip(action.uses, parameters, strict=True)
    shown = (f"{name} {at if name == NUMBER else at + 1}" for name, at in named)
    return f"{action.name} ({', '.join(shown)})"


def _broken(spec: Spec, s: State, sorts: Sorts) -> str:
    return next((name for name, holds in spec.safety(s, sorts).items() if not holds), "")


def _key(spec: Spec, variables: Mapping[str, Expr]) -> _Key:
    return tuple(spec.canonical(variables).values())


def _trace(came_from: Mapping[_Key, tuple[_Key, str] | None], key: _Key) -> tuple[str, ...]:
    labels = []
    link = came_from[key]
    while link is not None:
        labels.append(link[1])
        link = came_from[link[0]]
    return tuple(reversed(labels))
