"""The specification of configuration: accept, spread, restart, and start while the store is down.

A write to the head is a slot: it may land at any later time, or never, and its answer may be lost.
News and bodies may be late: any accepted revision may reach any host at any time.
"""

from models.checker import NUMBER, Action, Sorts, State, Step
from models.logic import Expr, both, choose, count, either, implies, negate, put

CHANGE, HOST, PAIR, SLOT = "change", "host", "pair", "slot"

HOSTS = 4
"""Hosts of the fleet, in the proof too: the rule for starting counts them."""

NO_ANSWER = -1

FIELDS = {
    "head": int,  # the revision accepted last
    "accepted": int,  # writes that took effect
    "applied": (CHANGE, int),  # how often a change took effect
    "flying": (SLOT, bool),
    "base": (SLOT, int),
    "change": (SLOT, CHANGE),
    "rev": (HOST, int),  # the revision in force; zero while the host starts
    "high": (HOST, int),  # the highest that was in force on this process
    "need": (HOST, int),  # a revision that half of the others had when this process began
    "answer": (PAIR, int),  # what another host said to a starting one
    "kept": (PAIR, bool),  # the other host had ``need`` at that time and lives since
}

PEERS = {host: [other for other in range(HOSTS) if other != host] for host in range(HOSTS)}


def pair(host: int, other: int) -> int:
    """Return the index of an ordered pair of hosts."""
    return host * HOSTS + other


def initial(s: State, sorts: Sorts) -> Expr:
    """The first revision is in force everywhere, and changes are about to be made."""
    return both(
        s.head == 1,
        s.accepted == 1,
        sorts.every(CHANGE, lambda c: s.applied[c] == 0),
        sorts.every(SLOT, lambda w: negate(s.flying[w])),
        sorts.every(HOST, lambda h: both(s.rev[h] == 1, s.high[h] == 1, s.need[h] == 0)),
        sorts.every(PAIR, lambda p: both(s.answer[p] == NO_ANSWER, negate(s.kept[p]))),
    )


def _serve(s: State, h: int, revision: Expr) -> dict[str, Expr]:
    high = choose(s.high[h] < revision, revision, s.high[h])
    return {"rev": put(s.rev, h, revision), "high": put(s.high, h, high)}


def _forget(array: Expr, h: int, value: Expr) -> Expr:
    for other in PEERS[h]:
        array = put(array, pair(h, other), value)
    return array


def _keep(s: State, h: int, revision: Expr) -> Expr:
    kept = s.kept
    for other in PEERS[h]:
        kept = put(kept, pair(h, other), s.rev[other] >= revision)
        kept = put(kept, pair(other, h), False)
    return kept


def chosen(s: State, h: int, other: int) -> Expr:
    """Whether another host's answer is the highest of a majority's."""
    answers = [s.answer[pair(h, peer)] for peer in PEERS[h]]
    answered = count(answer > 0 for answer in answers)
    asked = count(either(answer == NO_ANSWER, answer > 0) for answer in answers)
    highest = both(*(answer <= s.answer[pair(h, other)] for answer in answers))
    return both(2 * answered > asked, highest)


def actions(mutation: str) -> list[Action]:
    """Return all that may happen, with one rule broken where a mutation is named."""

    def if_mutated(name: str, broken: Expr, rule: Expr) -> Expr:
        return either(rule, broken) if mutation == name else rule

    def propose(s: State, w: Expr, c: Expr) -> Step:
        """Propose a change, or propose it again after looking for its id in the store."""
        fresh = if_mutated("apply a lost change again", True, s.applied[c] == 0)
        return both(fresh, negate(s.flying[w])), lambda: {
            "flying": put(s.flying, w, True),
            "base": put(s.base, w, s.head),
            "change": put(s.change, w, c),
        }

    def land(s: State, w: Expr) -> Step:
        current = if_mutated("ignore version", True, s.base[w] == s.head)
        change = s.change[w]
        return both(s.flying[w], current), lambda: {
            "head": s.base[w] + 1,
            "accepted": s.accepted + 1,
            "applied": put(s.applied, change, s.applied[change] + 1),
            "flying": put(s.flying, w, False),
        }

    def read(s: State, h: int) -> Step:
        """Take the head from the store while it is up."""
        return s.head > s.rev[h], lambda: _serve(s, h, s.head)

    def hear(s: State, h: int, revision: Expr) -> Step:
        """Take a body that another host passed on, however late."""
        newer = if_mutated("accept lower revision", True, revision > s.rev[h])
        exists = both(revision >= 1, revision <= s.head)
        return both(s.rev[h] > 0, exists, newer), lambda: _serve(s, h, revision)

    def restart(s: State, h: int, revision: Expr) -> Step:
        """Replace the process on a host; its answers and what it kept for others are gone."""
        half = 2 * count(s.rev[other] >= revision for other in PEERS[h]) >= len(PEERS[h])
        return both(revision >= 1, half), lambda: {
            "rev": put(s.rev, h, 0),
            "high": put(s.high, h, 0),
            "need": put(s.need, h, revision),
            "answer": _forget(s.answer, h, NO_ANSWER),
            "kept": _keep(s, h, revision),
        }

    def ask(s: State, h: int, other: int) -> Step:
        at = pair(h, other)
        waits = both(h != other, s.rev[h] == 0, s.answer[at] < 1)
        return waits, lambda: {"answer": put(s.answer, at, s.rev[other])}

    def start(s: State, h: int, other: int) -> Step:
        """Serve by the highest answer of a majority while the store is down."""
        answer = s.answer[pair(h, other)]
        rule = if_mutated("serve by the first answer", True, chosen(s, h, other))
        return both(h != other, s.rev[h] == 0, answer > 0, rule), lambda: _serve(s, h, answer)

    return [
        Action(name="propose", step=propose, uses=(SLOT, CHANGE)),
        Action(name="write lands", step=land, uses=(SLOT,)),
        Action(name="read head", step=read, uses=(HOST,)),
        Action(name="hear", step=hear, uses=(HOST, NUMBER)),
        Action(name="restart", step=restart, uses=(HOST, NUMBER)),
        Action(name="ask", step=ask, uses=(HOST, HOST)),
        Action(name="start", step=start, uses=(HOST, HOST)),
    ]


def still_needed(s: State, h: int) -> Expr:
    """Whether half of the other hosts had ``need`` when this process began and live since."""
    return 2 * count(s.kept[pair(h, other)] for other in PEERS[h]) >= len(PEERS[h])


def safety(s: State, sorts: Sorts) -> dict[str, Expr]:
    """Return what users rely on, by name."""
    return {
        "no accepted change is overwritten": s.head == s.accepted,
        "no change is applied twice": sorts.every(CHANGE, lambda c: s.applied[c] <= 1),
        "no process goes back": sorts.every(HOST, lambda h: s.rev[h] >= s.high[h]),
        "only accepted revisions are in force": sorts.every(HOST, lambda h: s.rev[h] <= s.head),
        "no start goes back": sorts.every(
            HOST,
            lambda h: implies(both(s.rev[h] > 0, still_needed(s, h)), s.rev[h] >= s.need[h]),
        ),
    }
