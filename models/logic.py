"""Logic that works on z3 expressions and on plain values alike.

A specification is written once with it; the proof gives it z3 expressions, the search plain values.
Plain arrays are tuples.
"""

from collections.abc import Iterable
from typing import Any

import z3

Expr = Any
"""A z3 expression or a plain value."""


def both(*parts: Expr) -> Expr:
    """Return that all parts hold."""
    open_parts = [part for part in parts if part is not True]
    if not open_parts:
        return True
    if any(part is False for part in open_parts):
        return False
    return z3.And(*open_parts)


def either(*parts: Expr) -> Expr:
    """Return that some part holds."""
    open_parts = [part for part in parts if part is not False]
    if not open_parts:
        return False
    if any(part is True for part in open_parts):
        return True
    return z3.Or(*open_parts)


def negate(part: Expr) -> Expr:
    """Return that a part does not hold."""
    return not part if isinstance(part, bool) else z3.Not(part)


def implies(given: Expr, then: Expr) -> Expr:
    """Return that one part leads to another."""
    return either(negate(given), then)


def put(array: Expr, index: Expr, value: Expr) -> Expr:
    """Return an array with one element changed."""
    if isinstance(array, z3.ExprRef):
        return z3.Store(array, index, value)
    return (*array[:index], value, *array[index + 1 :])


def one_of(value: Expr, choices: Iterable[Expr]) -> Expr:
    """Return that a value is one of several."""
    return either(*(value == choice for choice in choices))


def choose(condition: Expr, then: Expr, otherwise: Expr) -> Expr:
    """Return one value or another."""
    if isinstance(condition, bool):
        return then if condition else otherwise
    return z3.If(condition, then, otherwise)


def count(conditions: Iterable[Expr]) -> Expr:
    """Return how many conditions hold."""
    return sum(choose(condition, 1, 0) for condition in conditions)
