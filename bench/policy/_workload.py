"""The two deployments' traffic, and the capacity of their fleets."""

from collections.abc import Iterator
from functools import cached_property
from math import exp, log
from pathlib import Path
from random import Random
from statistics import fmean

from msgspec import Struct
from msgspec.structs import replace

from azureswitch.core import CallId, CustomerName, ServiceName
from azureswitch.inventory import (
    Customer,
    Inventory,
    Objective,
    Rules,
    ServiceKind,
    Snapshot,
    load_inventory,
    load_rules,
)
from azureswitch_standins.engine import BLOCK_TOKENS, CostModel, EngineSettings

EXAMPLES = Path(__file__).parents[2] / "examples"

LONG_DEADLINE = 300.0
"""Seconds for a long prompt; shorter than the deployments' own, so that a run sees deadlines."""

LONGEST = 1_050_000
"""Tokens of the longest prompts."""

VERY_LONG = 100_000
"""Prompt tokens over which one prompt in fifty lies."""

PLAIN_SHARE = 0.05
"""Calls to the plain service for each model call."""

_DEMANDS = (1.0, 1.4, 0.7)
"""What customers in turn ask for beside their weight."""

_SAMPLE = 40_000
"""Requests that the capacity is worked out from."""


class Band(Struct, frozen=True, kw_only=True):
    """Prompts of like lengths.

    Attributes:
        share: Their share of the requests.
        low: Their fewest tokens.
        high: Their most tokens.
        power: Density of the length, as its power: -1 spreads evenly over the logarithm.
        outputs: Fewest and most output tokens, spread evenly over the logarithm.
    """

    share: float
    low: int
    high: int
    power: int
    outputs: tuple[int, int]

    def tokens(self, random: Random) -> int:
        """Draw a length."""
        if self.power == -1:
            return int(exp(random.uniform(log(self.low), log(self.high))))
        # For the power -2 the reciprocal of the length is spread evenly.
        return int(1.0 / random.uniform(1.0 / self.high, 1.0 / self.low))

    def output(self, random: Random) -> int:
        """Draw the output tokens."""
        low, high = self.outputs
        return int(exp(random.uniform(log(low), log(high))))


class Arrival(Struct, frozen=True, kw_only=True):
    """One request as its caller sends it."""

    at: float
    id: CallId
    customer: CustomerName
    prompt: int = 0
    output: int = 0
    blocks: tuple[int, ...] = ()

    @property
    def plain(self) -> bool:
        """Whether it goes to the plain service."""
        return not self.prompt


class Scenario(Struct, frozen=True, kw_only=True, dict=True):
    """One deployment.

    Attributes:
        name: Its name, as in ``examples``.
        hosts: Its entry hosts.
        bands: The lengths of its prompts.
        texts: Texts that a customer's prompts begin with.
        text_tokens: Tokens of such a text.
        text_share: Share of the prompts that begin with one.
        latency: Seconds between a host and a target, one way.
        objective: The objective in force, where it is not the deployment's own.
    """

    name: str
    hosts: int
    bands: tuple[Band, ...]
    texts: int
    text_tokens: int
    text_share: float
    latency: float
    objective: Objective | None = None

    @cached_property
    def inventory(self) -> Inventory:
        """The deployment's inventory."""
        return load_inventory(EXAMPLES / self.name / "inventory.ini")

    @cached_property
    def rules(self) -> Rules:
        """The deployment's rules, with the shorter deadline."""
        rules = load_rules(EXAMPLES / self.name / "rules.ini")
        objective = self.objective or rules.objective
        return replace(rules, long_deadline=LONG_DEADLINE, objective=objective)

    @property
    def snapshot(self) -> Snapshot:
        """The configuration that the hosts serve by."""
        return Snapshot(revision=1, inventory=self.inventory, rules=self.rules)

    @property
    def customers(self) -> tuple[Customer, ...]:
        """The customers."""
        return self.inventory.customers

    def service(self, kind: ServiceKind) -> ServiceName:
        """Return the name of the deployment's service of a kind."""
        return next(item.name for item in self.inventory.services if item.kind is kind)

    @cached_property
    def model(self) -> str:
        """The model of the pool."""
        return next(target.models[0] for target in self.inventory.targets if target.models)

    @cached_property
    def engines(self) -> tuple[EngineSettings, ...]:
        """The engines of the pool."""
        return tuple(
            EngineSettings(name=target.name, models=target.models, memory=target.memory, seed=index)
            for index, target in enumerate(self.inventory.targets)
            if target.models
        )

    @cached_property
    def demands(self) -> dict[CustomerName, float]:
        """Each customer's share of the requests."""
        asked = {
            customer.name: customer.weight * _DEMANDS[index % len(_DEMANDS)]
            for index, customer in enumerate(self.customers)
        }
        total = sum(asked.values())
        return {name: demand / total for name, demand in asked.items()}

    @cached_property
    def capacity(self) -> float:
        """Requests a second at which the fleet is full, by the engines' cost model.

        A step of an engine gives every running sequence a token and prefills for at most a chunk.
        The batch size at which prompts and outputs keep up with each other at the highest rate
        bounds the rate; so does the memory that requests hold for as long as they run at that
        speed.  Every engine is taken to get the same mix, and all shared texts to be cached.
        """
        cost = self.engines[0].cost
        sample = tuple(self.requests(rate=1.0, duration=float(_SAMPLE), seed=0))
        prefill = fmean(self._least_prefill(cost, item) for item in sample)
        output = fmean(item.output for item in sample)
        context = fmean(item.prompt for item in sample)
        best, residence = 0.0, 0.0
        for batch in range(1, self.engines[0].sequences + 1):
            decode = cost.decode_seconds(sequences=batch, context=int(batch * context))
            step = decode + cost.chunk
            rate = min(batch / (step * output), cost.chunk / (step * prefill))
            if rate > best:
                best, slower = rate, step / cost.chunk
                held = (self._held(cost, item, slower, step) for item in sample)
                residence = fmean(held)
        memory = sum(engine.memory for engine in self.engines)
        return min(best * len(self.engines), memory / residence)

    @staticmethod
    def _held(cost: CostModel, item: Arrival, slower: float, step: float) -> float:
        """Return the tokens times seconds that a request holds."""
        seconds = cost.isolated_first_token(prompt=item.prompt) * slower + item.output * step
        return (item.prompt + item.output) * seconds

    def _least_prefill(self, cost: CostModel, item: Arrival) -> float:
        cached = self.text_tokens if len(item.blocks) and item.blocks[0] < 0 else 0
        return cost.prefill_seconds(start=cached, end=item.prompt)

    def requests(
        self,
        *,
        rate: float,
        duration: float,
        seed: int,
        begin: float = 0.0,
        customer: CustomerName | None = None,
    ) -> Iterator[Arrival]:
        """Yield model requests at random times.

        Args:
            rate: Requests a second.
            duration: Seconds from ``begin`` on.
            seed: Seeds all draws.
            begin: When the first may come.
            customer: The only customer, or None for all.
        """
        random = Random(f"{self.name}/{seed}")
        names, shares = tuple(self.demands), tuple(self.demands.values())
        bands, weights = self.bands, tuple(band.share for band in self.bands)
        now = begin
        for index in range(int(duration * rate * 2) + 100):
            now += random.expovariate(rate)
            if now >= begin + duration:
                return
            band = random.choices(bands, weights)[0]
            owner = random.choices(names, shares)[0]
            number = seed * 1_000_000 + index
            prompt = band.tokens(random)
            yield Arrival(
                at=now,
                id=CallId(f"m{number}"),
                customer=customer or owner,
                prompt=prompt,
                output=band.output(random),
                blocks=self._blocks(customer or owner, number, prompt, random),
            )

    def _blocks(
        self, customer: CustomerName, number: int, prompt: int, random: Random
    ) -> tuple[int, ...]:
        count = prompt // BLOCK_TOKENS
        own = tuple(range(number << 12, (number << 12) + count))
        text = random.randrange(self.texts)
        if random.random() >= self.text_share or prompt <= self.text_tokens:
            return own
        owner = names.index(customer) if (names := tuple(self.demands)) else 0
        shared = self.text_tokens // BLOCK_TOKENS
        first = -(1 + ((owner * self.texts + text) << 8))
        return (*range(first, first - shared, -1), *own[shared:])

    def bookings(self, *, rate: float, duration: float, seed: int) -> Iterator[Arrival]:
        """Yield calls to the plain service, none of which may repeat."""
        random = Random(f"{self.name}/plain/{seed}")
        names, shares = tuple(self.demands), tuple(self.demands.values())
        now = 0.0
        for index in range(int(duration * rate * 2) + 100):
            now += random.expovariate(rate)
            if now >= duration:
                return
            owner = random.choices(names, shares)[0]
            yield Arrival(at=now, id=CallId(f"p{index}"), customer=owner)


CASCADE = Scenario(
    name="cascade",
    hosts=6,
    bands=(
        Band(share=0.80, low=1_000, high=4_000, power=-1, outputs=(20, 300)),
        Band(share=0.15, low=4_000, high=16_000, power=-1, outputs=(50, 400)),
        Band(share=0.03, low=16_000, high=VERY_LONG, power=-1, outputs=(100, 400)),
        Band(share=0.02, low=VERY_LONG, high=LONGEST, power=-2, outputs=(300, 1_200)),
    ),
    texts=4,
    text_tokens=1_024,
    text_share=0.6,
    latency=0.0005,
)

RUAMJAI = Scenario(
    name="ruamjai",
    hosts=9,
    bands=(
        Band(share=0.72, low=1_000, high=4_000, power=-1, outputs=(50, 400)),
        Band(share=0.22, low=4_000, high=16_000, power=-1, outputs=(50, 400)),
        Band(share=0.04, low=16_000, high=VERY_LONG, power=-1, outputs=(100, 400)),
        Band(share=0.02, low=VERY_LONG, high=LONGEST, power=-2, outputs=(300, 1_200)),
    ),
    texts=20,
    text_tokens=2_048,
    text_share=0.5,
    latency=0.0002,
)

SCENARIOS = (CASCADE, RUAMJAI)
