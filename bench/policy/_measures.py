"""Figures of runs: what the two measures and the promises came to."""

from collections.abc import Iterable, Sequence
from math import ceil, nan
from statistics import median

from azureswitch.core import CustomerName
from azureswitch_standins.engine import CostModel
from bench.policy._simulation import FAULT_AT, FAULT_SECONDS, WARM, Outcome, Result
from bench.policy._workload import VERY_LONG, Arrival, Scenario

BUCKETS = {
    "1k": (0, 3_162),
    "10k": (3_162, 31_623),
    "100k": (31_623, 316_228),
    "1m": (316_228, 10_000_000),
}
"""Prompt tokens by the power of ten that is nearest on a logarithmic scale."""


SLOW = 3.0
"""Seconds over which the first token of a short prompt is slow; alone it takes 1.7 at most."""

SLOW_SHARE = 0.1
"""Share of a window's short prompts that may be slow once a run has recovered."""

RECOVERY_WINDOW = 5.0
"""Seconds of arrivals that are looked at together."""


def quantile(values: Iterable[float], share: float) -> float:
    """Return the value that a share of the values do not exceed."""
    ordered = sorted(values)
    if not ordered:
        return nan
    return ordered[max(0, ceil(share * len(ordered)) - 1)]


def counted(result: Result) -> list[Outcome]:
    """Return the outcomes that figures count: warmed up, asked for and no part of a flood."""
    return [
        outcome
        for outcome in result.outcomes
        if outcome.arrival.at >= WARM and outcome.tries and not outcome.flooding
    ]


def first_token(outcome: Outcome) -> float:
    """Return the seconds to the first token, or to the final failure where none came."""
    waited = outcome.first_token
    if waited is not None:
        return waited
    ended = outcome.last.ended_at
    return (outcome.last.deadline if ended is None else ended) - outcome.arrival.at


def first_tokens(result: Result, low: int, high: int) -> list[float]:
    """Return the times to the first token of prompts from ``low`` up to ``high`` tokens."""
    return [first_token(o) for o in counted(result) if low <= o.arrival.prompt < high]


def short_p95(result: Result) -> float:
    """Return the p95 of the time to the first token of short prompts."""
    return quantile(first_tokens(result, 0, result.run.scenario.rules.long_prompt), 0.95)


def isolated_p95(result: Result, low: int, high: int) -> float:
    """Return the same of the same prompts, each alone on an idle fleet without a cache."""
    cost = _cost(result.run.scenario)
    prompts = [o.arrival.prompt for o in counted(result) if low <= o.arrival.prompt < high]
    return quantile((cost.isolated_first_token(prompt=prompt) for prompt in prompts), 0.95)


def token_interval_p95(result: Result) -> float:
    """Return the p95 over requests of the mean time between two tokens."""
    intervals = []
    for outcome in counted(result):
        served = outcome.last
        if outcome.finished and served.first_at is not None and outcome.arrival.output > 1:
            seconds = (served.ended_at or 0.0) - served.first_at
            intervals.append(seconds / (outcome.arrival.output - 1))
    return quantile(intervals, 0.95)


def long_finished(results: Sequence[Result]) -> float:
    """Return the share of the admitted prompts over 100,000 tokens that finished in time."""
    admitted = [
        outcome
        for result in results
        for outcome in result.outcomes
        if outcome.arrival.prompt > VERY_LONG and outcome.tries and not outcome.last.not_run
    ]
    if not admitted:
        return nan
    return sum(outcome.finished for outcome in admitted) / len(admitted)


def long_stretch(result: Result) -> float:
    """Return the median of the time of long work over its time alone."""
    cost = _cost(result.run.scenario)
    stretches = []
    for outcome in counted(result):
        arrival = outcome.arrival
        if arrival.prompt > VERY_LONG and outcome.finished:
            alone = cost.isolated_seconds(prompt=arrival.prompt, output=arrival.output)
            stretches.append(((outcome.last.ended_at or 0.0) - arrival.at) / alone)
    return median(stretches) if stretches else nan


def goodput(result: Result) -> float:
    """Return the engine seconds a second of requests that finished while requests arrived."""
    cost = _cost(result.run.scenario)
    return sum(_work(cost, outcome.arrival) for outcome in _in_window(result)) / _window(result)


def answers(result: Result) -> float:
    """Return the requests a second that finished while requests arrived."""
    return len(_in_window(result)) / _window(result)


def kept_goodput(results: Sequence[Result], overload: Result) -> float:
    """Return the goodput under overload as a share of its peak, by work or by answers.

    The lesser of the two counts: work alone can be kept by finishing long prompts while short ones
    run out of time, and answers alone by giving up the long ones.
    """
    by_work = goodput(overload) / max(goodput(result) for result in results)
    by_answers = answers(overload) / max(answers(result) for result in results)
    return min(by_work, by_answers)


def _in_window(result: Result) -> list[Outcome]:
    end = result.run.duration
    return [
        outcome
        for outcome in result.outcomes
        if outcome.finished and WARM <= (outcome.last.ended_at or 0.0) < end
    ]


def _window(result: Result) -> float:
    return result.run.duration - WARM


def recovery(result: Result) -> float:
    """Return the seconds after a fault until short prompts are quick again and stay so."""
    short = result.run.scenario.rules.long_prompt
    end = FAULT_AT + FAULT_SECONDS
    after = [o for o in counted(result) if o.arrival.prompt < short and o.arrival.at >= end]
    windows: dict[int, list[bool]] = {}
    for outcome in after:
        window = int((outcome.arrival.at - end) / RECOVERY_WINDOW)
        windows.setdefault(window, []).append(first_token(outcome) > SLOW)
    slow = [window for window, found in windows.items() if sum(found) > SLOW_SHARE * len(found)]
    return RECOVERY_WINDOW * (max(slow) + 1) if slow else 0.0


def amplification(result: Result) -> float:
    """Return the attempts per call that was sent by a caller."""
    return result.attempts / max(1, sum(len(outcome.tries) for outcome in result.outcomes))


def flood_ratio(flooded: Result, plain: Result) -> float:
    """Return the other customers' short p95 during a flood over that without it."""
    flooder = flooded.run.scenario.customers[-1].name
    short = flooded.run.scenario.rules.long_prompt

    def p95(result: Result) -> float:
        return quantile(
            (
                first_token(outcome)
                for outcome in counted(result)
                if outcome.arrival.prompt < short
                and outcome.arrival.customer != flooder
                and FAULT_AT <= outcome.arrival.at < FAULT_AT + FAULT_SECONDS
            ),
            0.95,
        )

    return p95(flooded) / p95(plain)


def fairness(result: Result) -> float:
    """Return Jain's index over customers of the work served by the fair share of it.

    The fair share is the weighted max-min division of all work served, nobody above its demand.
    """
    scenario = result.run.scenario
    cost = _cost(scenario)
    weights = {customer.name: customer.weight for customer in scenario.customers}
    demand = dict.fromkeys(weights, 0.0)
    served = dict.fromkeys(weights, 0.0)
    for outcome in counted(result):
        work = _work(cost, outcome.arrival)
        demand[outcome.arrival.customer] += work
        if outcome.finished:
            served[outcome.arrival.customer] += work
    fair = fair_shares(demand=demand, weights=weights, total=sum(served.values()))
    return jain([served[name] / fair[name] for name in weights if fair[name] > 0.0])


def jain(values: Sequence[float]) -> float:
    """Return Jain's index: 1 where all values are equal, 1/n where all but one are zero."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else nan


def fair_shares(
    *, demand: dict[CustomerName, float], weights: dict[CustomerName, float], total: float
) -> dict[CustomerName, float]:
    """Return the weighted max-min division of a total among demands."""
    shares: dict[CustomerName, float] = {}
    left = total
    waiting = sorted(demand, key=lambda name: demand[name] / weights[name])
    while waiting:
        name = waiting.pop(0)
        weight = weights[name] / (weights[name] + sum(weights[other] for other in waiting))
        shares[name] = min(demand[name], left * weight)
        left -= shares[name]
    return shares


def _work(cost: CostModel, arrival: Arrival) -> float:
    """Return the engine seconds of a request: its prefill and its part of a full batch's steps."""
    step = cost.decode_seconds(sequences=64, context=0) / 64
    return cost.isolated_first_token(prompt=arrival.prompt) + step * arrival.output


def _cost(scenario: Scenario) -> CostModel:
    return scenario.engines[0].cost
