"""The inductive invariant of claims, from which the promises of the specification follow."""

from models.checker import Sorts, State
from models.claims import (
    ASKING,
    CLAIM,
    CLAIMED,
    DEAD,
    DONE,
    ENDED,
    FLYING,
    FREE,
    GRANTED,
    LANDED,
    NOT_RUN,
    OVER,
    SENT,
    SLOT,
    UNKNOWN,
    usable,
)
from models.logic import Expr, both, either, implies, one_of


def claim_invariant(s: State, sorts: Sorts) -> dict[str, Expr]:
    """Return the parts that speak of claims and the record alone, by name."""
    known = either(s.record == DONE, s.record == UNKNOWN)

    def sender(c: Expr) -> Expr:
        return implies(either(s.phase[c] == GRANTED, s.phase[c] == SENT), _held(s, c))

    def runner(c: Expr) -> Expr:
        return implies(s.ran[c], both(s.owner == c, either(_held(s, c), known)))

    def phases(c: Expr) -> Expr:
        return both(
            implies(s.ran[c], one_of(s.phase[c], (SENT, ENDED, DEAD))),
            implies(one_of(s.phase[c], (SENT, ENDED)), s.ran[c]),
        )

    def outcomes(c: Expr) -> Expr:
        return both(
            one_of(s.out[c], (FREE, NOT_RUN, DONE, UNKNOWN)),
            implies(either(s.told[c], s.out[c] == NOT_RUN), s.phase[c] == OVER),
            implies(one_of(s.out[c], (DONE, UNKNOWN)), both(s.ran[c], s.phase[c] == ENDED)),
        )

    def records(c: Expr) -> Expr:
        released = implies(s.record == NOT_RUN, s.out[c] == NOT_RUN)
        return implies(s.owner == c, both(implies(known, s.ran[c]), released))

    return {
        "a sender holds the record": sorts.every(CLAIM, sender),
        "a call that ran keeps the record": sorts.every(CLAIM, runner),
        "phases agree with runs": sorts.every(CLAIM, phases),
        "outcomes are true": sorts.every(CLAIM, outcomes),
        "records are true": sorts.every(CLAIM, records),
    }


def invariant(s: State, sorts: Sorts) -> dict[str, Expr]:
    """Return all parts of the inductive invariant by name."""

    def waiter(w: Expr) -> Expr:
        won = both(s.stage[w] == LANDED, s.plan[w] == CLAIMED)
        waits = s.phase[s.plan_owner[w]] == ASKING
        return implies(both(won, waits), _held(s, s.plan_owner[w]))

    def legal(w: Expr) -> Expr:
        current = both(s.stage[w] == FLYING, s.base[w] == s.version)
        return implies(current, _is_legal(s, w))

    def true(w: Expr) -> Expr:
        return implies(s.stage[w] == FLYING, both(_is_true(s, w), s.base[w] <= s.version))

    return claim_invariant(s, sorts) | {
        "a claim that waits for its grant holds the record": sorts.every(SLOT, waiter),
        "plans on the current version are legal": sorts.every(SLOT, legal),
        "plans are true": sorts.every(SLOT, true),
    }


def _held(s: State, c: Expr) -> Expr:
    return both(s.owner == c, s.record == CLAIMED)


def _is_legal(s: State, w: Expr) -> Expr:
    c = s.plan_owner[w]
    late = both(s.owner == c, s.record == UNKNOWN, s.plan[w] == DONE)
    return both(
        implies(s.plan[w] == CLAIMED, usable(s, c)),
        implies(s.plan[w] == NOT_RUN, either(_held(s, c), usable(s, c))),
        implies(one_of(s.plan[w], (DONE, UNKNOWN)), either(_held(s, c), late)),
    )


def _is_true(s: State, w: Expr) -> Expr:
    out = s.out[s.plan_owner[w]]
    return both(
        one_of(s.plan[w], (CLAIMED, NOT_RUN, DONE, UNKNOWN)),
        implies(s.plan[w] == NOT_RUN, out == NOT_RUN),
        implies(one_of(s.plan[w], (DONE, UNKNOWN)), one_of(out, (DONE, UNKNOWN))),
    )
