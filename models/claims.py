"""The specification of claims: one key, any number of claims, hosts and writes in flight.

Every write that a host has planned, sent, or has an answer for is a slot.  A slot remembers the
version on which it was planned; it may land at any later time, or never, and its answer may arrive
at any time, or never.  So lost answers, pauses, several owners and changes of owner are all just
orders of these actions.  Retention is left out: within it, keys do not expire.
"""

from models.checker import Action, Sorts, State, Step
from models.logic import Expr, both, either, implies, negate, one_of, put

ASKING, GRANTED, SENT, ENDED, OVER, DEAD = range(6)
"""What a claimer does: OVER is given up or not run, DEAD is crashed."""

FREE, CLAIMED, NOT_RUN, DONE, UNKNOWN = range(5)
"""What a key's record says."""

EMPTY, FLYING, LANDED = range(3)
"""How far a planned write is."""

CLAIM, SLOT = "claim", "slot"

FIELDS = {
    "version": int,  # of the head object
    "owner": CLAIM,  # the claim in the key's record
    "record": int,  # the state in the key's record
    "phase": (CLAIM, int),  # what the claimer does
    "ran": (CLAIM, bool),  # the call was sent and may have run
    "told": (CLAIM, bool),  # the caller was told "not run"
    "out": (CLAIM, int),  # the outcome that the claimer reports; FREE for none
    "stage": (SLOT, int),
    "base": (SLOT, int),
    "plan_owner": (SLOT, CLAIM),
    "plan": (SLOT, int),
}


def initial(s: State, sorts: Sorts) -> Expr:
    """Nothing has happened: every claim that will ever be made is about to be asked for."""
    return both(
        s.version == 1,
        s.record == FREE,
        sorts.every(CLAIM, lambda c: both(s.phase[c] == ASKING, s.out[c] == FREE)),
        sorts.every(CLAIM, lambda c: negate(either(s.ran[c], s.told[c]))),
        sorts.every(SLOT, lambda w: s.stage[w] == EMPTY),
    )


def _planned(s: State, w: Expr, c: Expr, record: Expr, stage: Expr = FLYING) -> dict[str, Expr]:
    return {
        "stage": put(s.stage, w, stage),
        "base": put(s.base, w, s.version),
        "plan_owner": put(s.plan_owner, w, c),
        "plan": put(s.plan, w, record),
    }


def usable(s: State, c: Expr) -> Expr:
    """Whether a claim may replace the record."""
    return either(s.record == FREE, both(s.record == NOT_RUN, s.owner != c))


def _settles(s: State, c: Expr) -> Expr:
    """The record that the outcome of a claim replaces."""
    held = both(s.owner == c, s.record == CLAIMED)
    late = both(s.owner == c, s.record == UNKNOWN, s.out[c] == DONE)
    fenced = both(s.out[c] == NOT_RUN, usable(s, c))
    return either(held, late, fenced)


def _phase(s: State, c: Expr, phase: Expr) -> dict[str, Expr]:
    return {"phase": put(s.phase, c, phase)}


def _not_run(s: State, c: Expr) -> dict[str, Expr]:
    return _phase(s, c, OVER) | {
        "ran": put(s.ran, c, False),
        "told": put(s.told, c, True),
        "out": put(s.out, c, NOT_RUN),
    }


def actions(mutation: str) -> list[Action]:
    """Return all that may happen, with one rule broken where a mutation is named."""

    def if_mutated(name: str, broken: Expr, rule: Expr) -> Expr:
        return either(rule, broken) if mutation == name else rule

    def plan_claim(s: State, w: Expr, c: Expr) -> Step:
        free = if_mutated("reuse after unknown", s.record == UNKNOWN, usable(s, c))
        lapsed = both(s.record == CLAIMED, s.owner != c)
        free = if_mutated("lease by clock", lapsed, free)
        return free, lambda: _planned(s, w, c, CLAIMED)

    def recognise(s: State, w: Expr, c: Expr) -> Step:
        return both(s.owner == c, s.record == CLAIMED), lambda: _planned(s, w, c, CLAIMED, LANDED)

    def plan_outcome(s: State, w: Expr, c: Expr) -> Step:
        return both(s.out[c] != FREE, _settles(s, c)), lambda: _planned(s, w, c, s.out[c])

    def land(s: State, w: Expr) -> Step:
        current = if_mutated("ignore version", True, s.base[w] == s.version)
        return both(s.stage[w] == FLYING, current), lambda: {
            "version": s.version + 1,
            "owner": s.plan_owner[w],
            "record": s.plan[w],
            "stage": put(s.stage, w, LANDED),
        }

    def grant(s: State, w: Expr, c: Expr) -> Step:
        granted = both(s.stage[w] == LANDED, s.plan[w] == CLAIMED, s.plan_owner[w] == c)
        over = both(s.phase[c] == OVER, s.told[c])
        wanted = if_mutated("take a late grant", over, s.phase[c] == ASKING)
        return both(granted, wanted), lambda: _phase(s, c, GRANTED)

    def give_up(s: State, c: Expr) -> Step:
        return either(s.phase[c] == ASKING, s.phase[c] == GRANTED), lambda: _not_run(s, c)

    def send(s: State, c: Expr) -> Step:
        may = if_mutated("send before commit", s.phase[c] == ASKING, s.phase[c] == GRANTED)
        return may, lambda: _phase(s, c, SENT) | {"ran": put(s.ran, c, True)}

    def end(s: State, c: Expr, outcome: Expr) -> Step:
        late = both(s.phase[c] == ENDED, s.out[c] == UNKNOWN, outcome == DONE)
        guard = either(s.phase[c] == SENT, late)
        return guard, lambda: _phase(s, c, ENDED) | {"out": put(s.out, c, outcome)}

    def refuse(s: State, c: Expr) -> Step:
        return s.phase[c] == SENT, lambda: _not_run(s, c)

    def crash(s: State, c: Expr) -> Step:
        return one_of(s.phase[c], (ASKING, GRANTED, SENT)), lambda: _phase(s, c, DEAD)

    return [
        Action(name="plan claim", step=plan_claim, uses=(SLOT, CLAIM)),
        Action(name="recognise claim", step=recognise, uses=(SLOT, CLAIM)),
        Action(name="plan outcome", step=plan_outcome, uses=(SLOT, CLAIM)),
        Action(name="write lands", step=land, uses=(SLOT,)),
        Action(name="grant arrives", step=grant, uses=(SLOT, CLAIM)),
        Action(name="give up", step=give_up, uses=(CLAIM,)),
        Action(name="send", step=send, uses=(CLAIM,)),
        Action(name="end done", step=lambda s, c: end(s, c, DONE), uses=(CLAIM,)),
        Action(name="end unknown", step=lambda s, c: end(s, c, UNKNOWN), uses=(CLAIM,)),
        Action(name="target refuses", step=refuse, uses=(CLAIM,)),
        Action(name="crash", step=crash, uses=(CLAIM,)),
    ]


def safety(s: State, sorts: Sorts) -> dict[str, Expr]:
    """Return what users rely on, by name."""
    return {
        "at most one run": sorts.every(
            CLAIM,
            lambda c: sorts.every(CLAIM, lambda d: implies(both(s.ran[c], s.ran[d]), c == d)),
        ),
        "told not run, did not run": sorts.every(
            CLAIM, lambda c: implies(s.told[c], negate(s.ran[c]))
        ),
        "a replayed outcome ran": implies(s.record == DONE, s.ran[s.owner]),
    }
