"""The inductive invariant of configuration, from which the promises follow."""

from models.checker import Sorts, State
from models.configuration import CHANGE, HOST, PEERS, SLOT, pair, safety
from models.logic import Expr, both, implies


def invariant(s: State, sorts: Sorts) -> dict[str, Expr]:
    """Return the parts of the inductive invariant by name."""

    def remembers(h: int) -> Expr:
        return both(*(_remembers(s, h, other) for other in PEERS[h]))

    def agrees(h: int) -> Expr:
        return both(s.rev[h] >= 0, s.high[h] == s.rev[h])

    def in_flight(w: Expr) -> Expr:
        return implies(both(s.flying[w], s.base[w] == s.head), s.applied[s.change[w]] == 0)

    return safety(s, sorts) | {
        "hosts know how high they were": sorts.every(HOST, agrees),
        "answers are no newer than the host": sorts.every(HOST, remembers),
        "bases are accepted revisions": sorts.every(
            SLOT, lambda w: implies(s.flying[w], s.base[w] <= s.head)
        ),
        "a write that can land is a new change": sorts.every(SLOT, in_flight),
        "changes are counted": sorts.every(CHANGE, lambda c: s.applied[c] >= 0),
    }


def _remembers(s: State, h: int, other: int) -> Expr:
    answer, kept = s.answer[pair(h, other)], s.kept[pair(h, other)]
    answered = implies(both(kept, answer >= 0), answer >= s.need[h])
    return both(
        answer <= s.head,
        answer >= -1,
        implies(kept, both(s.rev[other] >= s.need[h], s.need[h] >= 1)),
        implies(s.rev[h] == 0, answered),
    )
