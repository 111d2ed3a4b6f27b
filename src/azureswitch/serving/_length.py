"""Classifies prompts by length, sets priorities and reserves engines for each class.

This keeps long prompts from blocking short ones.
"""

from enum import IntEnum
from math import ceil, exp, inf, sqrt

from msgspec import Struct, field

from azureswitch.core import HostName, ServiceName
from azureswitch.inventory import Objective, Rules
from azureswitch.serving._digests import Demand, Digest
from azureswitch.serving._events import Call

MIDDLE_FACTOR = 4
"""Multiple of `Rules.long_prompt` at which the middle level ends and the long level begins."""

PRIORITY_BASE_TOKENS = 1_024
"""Prompt tokens up to which all prompts have the same priority."""

DEMOTION_STEPS = 2
"""Priority steps by which long prompts of a customer above its fair share are demoted."""

AGEING_SHARE = 0.5
"""Share of a prompt's prefill time after which its priority rises by one step."""

MIN_AGEING_SECONDS = 0.5
"""Minimum seconds after which a priority rises by one step."""

DEMAND_SECONDS = 60.0
"""Time constant of the moving average of demand."""

MIN_OBSERVED_SECONDS = 5.0
"""Minimum observation time that is assumed for a demand."""

PEER_DEMAND_SECONDS = 5.0
"""Seconds after which a peer's reported demand expires."""

MAX_SHORT_UTILIZATION = 0.4
"""Load of each engine for short prompts if engines are scarce, in prefill seconds per second."""

MAX_SHORT_SHARE = 0.6
"""Maximum share of the engines that is reserved for short prompts if capacity is insufficient."""

MIN_DEMAND = 1e-6
"""Prefill seconds per second that are added to each demand, so that shares are defined at zero."""

MIN_SPLIT_ENGINES = 4
"""Minimum engines of a pool for a split; in a smaller pool every engine takes all prompts."""

REBALANCE_SECONDS = 3.0
"""Minimum seconds between two moves of an engine between short and long prompts."""

HYSTERESIS_ENGINES = 0.75
"""Difference between the wanted and the present number of engines above which one is moved."""


class Level(IntEnum):
    """Length class of a prompt; a lower level is scheduled before a higher one."""

    SHORT = 0
    MIDDLE = 1
    LONG = 2


def level_of(call: Call, rules: Rules) -> Level:
    """Return the length class of a call's prompt under the rules in force."""
    if call.prompt_tokens < rules.long_prompt:
        return Level.SHORT
    if call.prompt_tokens < rules.long_prompt * MIDDLE_FACTOR:
        return Level.MIDDLE
    return Level.LONG


def priority(
    call: Call, rules: Rules, *, prefill: float, waited: float, demoted: bool = False
) -> int:
    """Return the priority for the engine; smaller runs first.

    Args:
        call: The call.
        rules: The rules in force.
        prefill: Engine seconds to prefill its prompt.
        waited: Seconds since the call arrived.
        demoted: Whether its customer exceeds its fair share, so that other calls go first.

    Returns:
        One step for each doubling of the prompt, less one step for each ageing period.  Short
        prompts have zero or less and longer ones one or more, whatever their age.
    """
    steps = (call.prompt_tokens // PRIORITY_BASE_TOKENS).bit_length()
    raised = int(waited / ageing_period(prefill))
    offset = (rules.long_prompt // PRIORITY_BASE_TOKENS).bit_length() + 1
    if level_of(call, rules) is Level.SHORT:
        return 0 if demoted else min(-1, max(0, steps - raised) - offset)
    return max(1, steps - offset + 1 - raised + (DEMOTION_STEPS if demoted else 0))


def ageing_period(prefill: float) -> float:
    """Return the seconds after which a waiting prompt's priority rises by one step."""
    return max(MIN_AGEING_SECONDS, AGEING_SHARE * prefill)


class ObjectiveWeights(Struct, frozen=True, kw_only=True):
    """How an objective balances short prompts against long ones.

    Attributes:
        short_utilization: Intended load of each engine for short prompts, in prefill seconds per
            second.
        long_utilization: The same for long prompts, in addition to their own decoding.
        idle_threshold: Engine seconds of a short prompt above which it may use an idle engine for
            long prompts, where it runs faster but slows the next long one.
    """

    short_utilization: float
    long_utilization: float
    idle_threshold: float


OBJECTIVE_WEIGHTS = {
    Objective.SHORT_SLOWDOWN: ObjectiveWeights(
        short_utilization=0.2, long_utilization=0.6, idle_threshold=0.3
    ),
    Objective.FIRST_TOKEN_ALL: ObjectiveWeights(
        short_utilization=0.25, long_utilization=0.6, idle_threshold=inf
    ),
}
"""The weights of each objective; the decision record on prompt lengths has the measurements."""


class _Rate(Struct, kw_only=True):
    """Moving average of a rate in engine seconds per second, corrected for its start-up bias."""

    value: float = 0.0
    at: float = 0.0
    begun: float | None = None

    def add(self, seconds: float, *, now: float) -> None:
        if self.begun is None:
            self.begun = now
        self.value = self._decayed(now) + seconds / DEMAND_SECONDS
        self.at = now

    def _decayed(self, now: float) -> float:
        return self.value * exp(-max(0.0, now - self.at) / DEMAND_SECONDS)

    def read(self, now: float) -> float:
        if self.begun is None:
            return 0.0
        seen = max(MIN_OBSERVED_SECONDS, now - self.begun)
        return self._decayed(now) / (1.0 - exp(-seen / DEMAND_SECONDS))


class _Mix(Struct, kw_only=True):
    """Demand for one model here and at the peers, and the present split of its engines."""

    rates: tuple[_Rate, _Rate] = field(default_factory=lambda: (_Rate(), _Rate()))
    peers: dict[HostName, tuple[float, Demand]] = field(default_factory=dict)
    count: int | None = None
    moved: float = 0.0


class Split:
    """Decides by demand how many engines of each pool take long prompts."""

    def __init__(self) -> None:
        self._mixes: dict[tuple[ServiceName, str], _Mix] = {}
        self._weights = OBJECTIVE_WEIGHTS[Objective.SHORT_SLOWDOWN]

    @property
    def weights(self) -> ObjectiveWeights:
        """The weights of the objective in force."""
        return self._weights

    def adopt(self, rules: Rules) -> None:
        """Adopt the objective of the rules."""
        self._weights = OBJECTIVE_WEIGHTS[rules.objective]

    def record_admitted(self, call: Call, *, seconds: float, short: bool, now: float) -> None:
        """Add the prefill of an admitted call to the demand."""
        mix = self._mixes.setdefault((call.service, call.model), _Mix())
        mix.rates[0 if short else 1].add(seconds, now=now)

    def apply_digest(self, digest: Digest, *, now: float) -> None:
        """Store a peer's demand."""
        for demand in digest.demands:
            mix = self._mixes.setdefault((demand.service, demand.model), _Mix())
            mix.peers[digest.host] = (now, demand)

    def demands(self, now: float) -> tuple[Demand, ...]:
        """Return this host's demand by model."""
        return tuple(
            Demand(
                service=service,
                model=model,
                short=round(mix.rates[0].read(now), 3),
                long=round(mix.rates[1].read(now), 3),
            )
            for (service, model), mix in sorted(self._mixes.items())
        )

    def count(
        self, *, service: ServiceName, model: str, engines: int, hosts: int, now: float
    ) -> int:
        """Return how many engines take long prompts at present.

        Args:
            service: The service.
            model: The model.
            engines: How many engines serve it.
            hosts: How many hosts send to them.
            now: The time.

        Returns:
            The number; all engines if there are too few to split.
        """
        if engines < MIN_SPLIT_ENGINES:
            return engines
        mix = self._mixes.setdefault((service, model), _Mix())
        if mix.count is not None and now - mix.moved < REBALANCE_SECONDS:
            return min(mix.count, engines - 1)
        short, long = _demand(mix, hosts=hosts, now=now)
        wanted = self._wanted(short, long, engines=engines)
        if mix.count is None:
            mix.count = round(wanted)
        elif abs(wanted - mix.count) > HYSTERESIS_ENGINES:
            mix.count += 1 if wanted > mix.count else -1
        mix.moved = now
        mix.count = max(1, min(engines - 1, mix.count))
        return mix.count

    def _wanted(self, short: float, long: float, *, engines: int) -> float:
        """Return the number of engines that long prompts need under the present demand."""
        ample = _engines_for(short, self._weights.short_utilization)
        tight = _engines_for(short, MAX_SHORT_UTILIZATION)
        spare = engines - long / self._weights.long_utilization
        if spare <= ample:
            return engines - max(1.0, min(tight, engines * MAX_SHORT_SHARE), spare)
        # Surplus engines are divided by demand, so that without long prompts short ones get all.
        share = (short + MIN_DEMAND) / (short + long + 2.0 * MIN_DEMAND)
        return engines - ample - (spare - ample) * share


def _engines_for(demand: float, utilization: float) -> float:
    """Return the engines that a demand needs, with relatively more headroom if they are few."""
    engines = demand / utilization
    return ceil(engines + 0.5 * sqrt(engines))


def _demand(mix: _Mix, *, hosts: int, now: float) -> tuple[float, float]:
    """Return the demand of all hosts; hosts without a recent report are assumed to be average."""
    fresh = [d for at, d in mix.peers.values() if now - at <= PEER_DEMAND_SECONDS]
    short = mix.rates[0].read(now) + sum(demand.short for demand in fresh)
    long = mix.rates[1].read(now) + sum(demand.long for demand in fresh)
    scale = max(1.0, hosts / (1 + len(fresh)))
    return short * scale, long * scale
