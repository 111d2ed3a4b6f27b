"""The two specifications with what a search needs: sizes, a first state, and equal states."""

from collections.abc import Mapping

from models import claims, configuration
from models.checker import NUMBER, Spec
from models.claims import ASKING, CLAIM, CLAIMED, EMPTY, FLYING, FREE, LANDED
from models.claims import SLOT as CLAIM_SLOT
from models.configuration import CHANGE, HOST, HOSTS, NO_ANSWER, PAIR, SLOT
from models.logic import Expr


def canonical_claims(values: Mapping[str, Expr]) -> dict[str, Expr]:
    """Forget what can no longer matter: old versions, lost answers, and the slots' order."""
    slots = zip(values["stage"], values["base"], values["plan_owner"], values["plan"], strict=True)
    kept = sorted(_canonical_slot(slot, values["version"]) for slot in slots)
    names = ("stage", "base", "plan_owner", "plan")
    return dict(values) | {"version": 1} | dict(zip(names, zip(*kept, strict=True), strict=True))


def _canonical_slot(slot: tuple[int, int, int, int], version: int) -> tuple[int, int, int, int]:
    stage, base, owner, plan = slot
    if stage == EMPTY or (stage == LANDED and plan != CLAIMED):
        return EMPTY, 0, 0, FREE
    return stage, int(stage == FLYING and base == version), owner, plan


CLAIMS, SLOTS = 3, 2

CLAIMS_SPEC = Spec(
    name="claims",
    fields=claims.FIELDS,
    sizes={CLAIM: CLAIMS, CLAIM_SLOT: SLOTS},
    finite={},
    initial=claims.initial,
    start={
        "version": 1,
        "owner": 0,
        "record": FREE,
        "phase": (ASKING,) * CLAIMS,
        "ran": (False,) * CLAIMS,
        "told": (False,) * CLAIMS,
        "out": (FREE,) * CLAIMS,
        "stage": (EMPTY,) * SLOTS,
        "base": (0,) * SLOTS,
        "plan_owner": (0,) * SLOTS,
        "plan": (FREE,) * SLOTS,
    },
    actions=claims.actions,
    safety=claims.safety,
    canonical=canonical_claims,
    mutations=(
        "send before commit",
        "ignore version",
        "reuse after unknown",
        "lease by clock",
        "take a late grant",
    ),
)


def canonical_configuration(values: Mapping[str, Expr]) -> Mapping[str, Expr]:
    """Forget versions and changes of writes that cannot land."""
    flying = values["flying"]
    bases = tuple(base if on else 0 for on, base in zip(flying, values["base"], strict=True))
    changes = tuple(on and change for on, change in zip(flying, values["change"], strict=True))
    return dict(values) | {"base": bases, "change": changes}


CONFIGURATION_SPEC = Spec(
    name="configuration",
    fields=configuration.FIELDS,
    sizes={CHANGE: 1, SLOT: 2, HOST: HOSTS, PAIR: HOSTS * HOSTS, NUMBER: 3},
    finite={HOST: HOSTS, PAIR: HOSTS * HOSTS},
    initial=configuration.initial,
    start={
        "head": 1,
        "accepted": 1,
        "applied": (0,),
        "flying": (False, False),
        "base": (0, 0),
        "change": (0, 0),
        "rev": (1,) * HOSTS,
        "high": (1,) * HOSTS,
        "need": (0,) * HOSTS,
        "answer": (NO_ANSWER,) * HOSTS * HOSTS,
        "kept": (False,) * HOSTS * HOSTS,
    },
    actions=configuration.actions,
    safety=configuration.safety,
    canonical=canonical_configuration,
    mutations=(
        "accept lower revision",
        "ignore version",
        "apply a lost change again",
        "serve by the first answer",
    ),
)
