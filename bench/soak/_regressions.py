"""Runs that failed once, each with its cause; CI plays them again."""

from msgspec import Struct

from bench.soak._run import Plan


class Regression(Struct, frozen=True, kw_only=True):
    """A run that failed.

    Attributes:
        plan: The run.
        cause: Why it failed.
    """

    plan: Plan
    cause: str


REGRESSIONS: tuple[Regression, ...] = (
    Regression(
        plan=Plan(seed=45, faults=14, keepers=0, planned=0, restarts=0),
        cause="A host that was told of new settings while its program was being loaded ended.",
    ),
    Regression(
        plan=Plan(seed=29, faults=14, keepers=0, planned=0, restarts=0),
        cause="A loop that was cancelled as its watch or its peer's connection ended went on.",
    ),
    Regression(
        plan=Plan(seed=17, faults=14, keepers=0, planned=0, restarts=0),
        cause="A host that was told to stop while its program was being loaded cut off who waited.",
    ),
    Regression(
        plan=Plan(seed=34, faults=14, keepers=0, planned=0, restarts=0),
        cause="A host that stood still gave up streams whose events it had not read yet.",
    ),
    Regression(
        plan=Plan(seed=106, faults=0, planned=3, restarts=0),
        cause="A host whose time of grace was over ended, and requests that it had read with it.",
    ),
    Regression(
        plan=Plan(seed=51),
        cause="A host that stopped listening reset connections that waited there, unread.",
    ),
    Regression(
        plan=Plan(seed=32, faults=0, planned=0, restarts=0, foreign=2),
        cause="One entry that another program wrote left a host that started without targets.",
    ),
    Regression(
        plan=Plan(seed=310, engines=3, callers=24, faults=0, restarts=0, silences=4),
        cause="A stream was given up for a silence before another attempt had gone on with it.",
    ),
)
