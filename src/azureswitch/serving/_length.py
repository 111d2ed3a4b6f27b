"""Keeps long prompts from standing before short ones."""

from enum import IntEnum
from math import ceil, exp, inf, sqrt

from msgspec import Struct, field

from azureswitch.core import HostName, ServiceName
from azureswitch.inventory import Objective, Rules
from azureswitch.serving._digests import Demand, Digest
from azureswitch.serving._events import Call

MIDDLE_FACTOR = 4
"""Times the rule's long prompt at which a prompt counts as very long."""

SHORTEST_PROMPT = 1_024
"""Prompt tokens up to which all prompts have the same priority."""

DEMOTION = 2
"""Steps by which long prompts of a customer that uses more than its share go later."""

AGE_SHARE = 0.5
"""Share of a prompt's own prefill after which its priority rises by one step."""

AGE_LEAST = 0.5
"""Seconds after which a priority rises by one step, at least."""

DEMAND_SECONDS = 60.0
"""Time constant over which demand is smoothed."""

LEAST_SEEN = 5.0
"""Seconds over which demand is taken to have been seen, at least."""

PEER_DEMAND_SECONDS = 5.0
"""Seconds after which what a peer said of its demand is no longer used."""

SHORT_FILL_MOST = 0.4
"""Prefill seconds a second of short prompts on each of their engines where engines are scarce."""

SHORT_MOST = 0.6
"""Share of the engines that is kept for short prompts at most, where all are too few."""

LEAST_DEMAND = 1e-6
"""Prefill seconds a second that count as no demand."""

SPLIT_LEAST = 4
"""Engines of a pool under which every engine takes both kinds."""

SETTLE_SECONDS = 3.0
"""Seconds between two moves of one engine from one kind of work to the other."""

HYSTERESIS = 0.75
"""Engines by which the wanted number must differ from the present one before it moves."""


class Level(IntEnum):
    """How long a prompt is; a lower level goes before a higher one."""

    SHORT = 0
    MIDDLE = 1
    LONG = 2


def level_of(call: Call, rules: Rules) -> Level:
    """Return how long a call's prompt is, by the rules in force."""
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
        prefill: The engine seconds of its prompt.
        waited: Seconds since the call arrived.
        demoted: Whether its customer uses more than its share, so that others go first.

    Returns:
        A step per doubling of the prompt, less a step per ageing period.  Short prompts have zero
        or less and long ones one or more, whatever their age.
    """
    steps = (call.prompt_tokens // SHORTEST_PROMPT).bit_length()
    aged = int(waited / ageing_period(prefill))
    border = (rules.long_prompt // SHORTEST_PROMPT).bit_length() + 1
    if level_of(call, rules) is Level.SHORT:
        return 0 if demoted else min(-1, max(0, steps - aged) - border)
    return max(1, steps - border + 1 - aged + (DEMOTION if demoted else 0))


def ageing_period(prefill: float) -> float:
    """Return the seconds after which a waiting prompt's priority rises by one step."""
    return max(AGE_LEAST, AGE_SHARE * prefill)


class Weighing(Struct, frozen=True, kw_only=True):
    """How an objective weighs short prompts against long ones.

    Attributes:
        short_fill: Prefill seconds a second of short prompts that each of their engines is meant
            for.
        long_fill: The same of long prompts, beside their own decoding.
        idle_worth: Engine seconds of a short prompt from which it goes to an idle engine for long
            ones, where it runs faster and slows the next long one.
    """

    short_fill: float
    long_fill: float
    idle_worth: float


WEIGHINGS = {
    Objective.SHORT_SLOWDOWN: Weighing(short_fill=0.2, long_fill=0.6, idle_worth=0.3),
    Objective.FIRST_TOKEN_ALL: Weighing(short_fill=0.25, long_fill=0.6, idle_worth=inf),
}
"""How each objective weighs; the figures behind them stand in the decision on prompt lengths."""


class _Rate(Struct, kw_only=True):
    """A smoothed rate in engine seconds a second, right also soon after its start."""

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
        seen = max(LEAST_SEEN, now - self.begun)
        return self._decayed(now) / (1.0 - exp(-seen / DEMAND_SECONDS))


class _Mix(Struct, kw_only=True):
    """The demand for one model here and at the peers, and how its engines are split."""

    rates: tuple[_Rate, _Rate] = field(default_factory=lambda: (_Rate(), _Rate()))
    peers: dict[HostName, tuple[float, Demand]] = field(default_factory=dict)
    count: int | None = None
    moved: float = 0.0


class Split:
    """How many engines of each pool take long prompts, from the mix of demand."""

    def __init__(self) -> None:
        self._mixes: dict[tuple[ServiceName, str], _Mix] = {}
        self._weighing = WEIGHINGS[Objective.SHORT_SLOWDOWN]

    @property
    def weighing(self) -> Weighing:
        """How short prompts are weighed against long ones."""
        return self._weighing

    def adopt(self, rules: Rules) -> None:
        """Take over the objective."""
        self._weighing = WEIGHINGS[rules.objective]

    def record_admitted(self, call: Call, *, seconds: float, short: bool, now: float) -> None:
        """Count the prefill of an admitted call."""
        mix = self._mixes.setdefault((call.service, call.model), _Mix())
        mix.rates[0 if short else 1].add(seconds, now=now)

    def apply_digest(self, digest: Digest, *, now: float) -> None:
        """Take over a peer's demand."""
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
        """Return how many engines take long prompts now.

        Args:
            service: The service.
            model: The model.
            engines: How many engines serve it.
            hosts: How many hosts send to them.
            now: The time.

        Returns:
            The number; all engines where there are too few to split.
        """
        if engines < SPLIT_LEAST:
            return engines
        mix = self._mixes.setdefault((service, model), _Mix())
        if mix.count is not None and now - mix.moved < SETTLE_SECONDS:
            return min(mix.count, engines - 1)
        short, long = _demand(mix, hosts=hosts, now=now)
        wanted = self._wanted(short, long, engines=engines)
        if mix.count is None:
            mix.count = round(wanted)
        elif abs(wanted - mix.count) > HYSTERESIS:
            mix.count += 1 if wanted > mix.count else -1
        mix.moved = now
        mix.count = max(1, min(engines - 1, mix.count))
        return mix.count

    def _wanted(self, short: float, long: float, *, engines: int) -> float:
        """Return the number of engines for long prompts that the demand asks for."""
        amply = _staffed(short, self._weighing.short_fill)
        scarcely = _staffed(short, SHORT_FILL_MOST)
        spare = engines - long / self._weighing.long_fill
        if spare <= amply:
            return engines - max(1.0, min(scarcely, engines * SHORT_MOST), spare)
        # What neither needs is shared out by demand, so that without long prompts all are free.
        share = (short + LEAST_DEMAND) / (short + long + 2.0 * LEAST_DEMAND)
        return engines - amply - (spare - amply) * share


def _staffed(demand: float, fill: float) -> float:
    """Return the engines for a demand, with more headroom where they are few."""
    engines = demand / fill
    return ceil(engines + 0.5 * sqrt(engines))


def _demand(mix: _Mix, *, hosts: int, now: float) -> tuple[float, float]:
    """Return the demand of all hosts; those that were not heard are taken to be like the others."""
    fresh = [d for at, d in mix.peers.values() if now - at <= PEER_DEMAND_SECONDS]
    short = mix.rates[0].read(now) + sum(demand.short for demand in fresh)
    long = mix.rates[1].read(now) + sum(demand.long for demand in fresh)
    scale = max(1.0, hosts / (1 + len(fresh)))
    return short * scale, long * scale
