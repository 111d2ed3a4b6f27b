"""The report of a run."""

from collections import Counter
from collections.abc import Iterable, Sequence

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from azureswitch_load._calls import Length, Phase
from azureswitch_load._outcome import End, Outcome

MICROSECONDS = 1_000_000
LONGEST = 3_600 * MICROSECONDS
"""The longest time that a histogram holds, in microseconds."""

DIGITS = 3
"""Significant digits of a histogram."""


class Times(Struct, frozen=True, kw_only=True):
    """Percentiles, in seconds.

    Attributes:
        count: Values behind them.
        p50: The median.
        p95: The 95th percentile.
    """

    count: int
    p50: float
    p95: float


class BucketReport(Struct, frozen=True, kw_only=True):
    """Prompts of one length.

    Attributes:
        length: The bucket.
        calls: Calls sent.
        whole: Calls that got their whole answer.
        first_token: Time to the first token.
    """

    length: str
    calls: int
    whole: int
    first_token: Times


class Slowdown(Struct, frozen=True, kw_only=True):
    """What short requests lose where long ones share the fleet.

    Only prompts with a document of their own count, of which no engine has anything cached.

    Attributes:
        alone: Time to the first token of short requests that had the fleet alone.
        mixed: The same beside long requests.
        p50: The ratio of the medians.
        p95: The ratio of the 95th percentiles.
    """

    alone: Times
    mixed: Times
    p50: float
    p95: float


class CustomerReport(Struct, frozen=True, kw_only=True):
    """One customer.

    Attributes:
        name: The customer.
        weight: Its share of the calls beside others.
        calls: Calls sent.
        whole: Calls that got their whole answer.
        refused: Requests that were refused.
        tokens: Prompt and output tokens of whole answers.
        share: Its part of the tokens of all customers.
        first_token: Time to the first token.
    """

    name: str
    weight: float
    calls: int
    whole: int
    refused: int
    tokens: int
    share: float
    first_token: Times


class LoadReport(Struct, frozen=True, kw_only=True):
    """A whole run.

    Attributes:
        calls: Calls sent.
        whole: Calls that got their whole answer.
        ends: Requests by how they ended.
        failures: Requests by the name of their failure.
        retries: Requests that callers sent again.
        buckets: By length of the prompt.
        slowdown: What short requests lose.
        customers: By customer.
    """

    calls: int
    whole: int
    ends: dict[str, int]
    failures: dict[str, int]
    retries: int
    buckets: tuple[BucketReport, ...]
    slowdown: Slowdown
    customers: tuple[CustomerReport, ...]


def make_report(*, outcomes: Sequence[Outcome]) -> LoadReport:
    """Return the report of a run."""
    attempts = [attempt for outcome in outcomes for attempt in outcome.attempts]
    return LoadReport(
        calls=len(outcomes),
        whole=sum(outcome.whole for outcome in outcomes),
        ends=dict(Counter(attempt.end.value for attempt in attempts)),
        failures=dict(Counter(attempt.code for attempt in attempts if attempt.code)),
        retries=len(attempts) - len(outcomes),
        buckets=tuple(_bucket(length, outcomes) for length in Length),
        slowdown=_slowdown(outcomes),
        customers=_customers(outcomes),
    )


def _times(outcomes: Iterable[Outcome]) -> Times:
    """Return the time to the first token of streamed answers."""
    histogram = HdrHistogram(1, LONGEST, DIGITS)
    for outcome in outcomes:
        if outcome.call.streamed and outcome.first_token is not None:
            histogram.record_value(max(1, round(outcome.first_token * MICROSECONDS)))
    return Times(
        count=histogram.get_total_count(),
        p50=histogram.get_value_at_percentile(50) / MICROSECONDS,
        p95=histogram.get_value_at_percentile(95) / MICROSECONDS,
    )


def _bucket(length: Length, outcomes: Sequence[Outcome]) -> BucketReport:
    own = [outcome for outcome in outcomes if outcome.call.length is length]
    return BucketReport(
        length=length.label,
        calls=len(own),
        whole=sum(outcome.whole for outcome in own),
        first_token=_times(own),
    )


def _slowdown(outcomes: Sequence[Outcome]) -> Slowdown:
    # A shared document may be cached in the one phase and not yet in the other.
    short = [
        outcome
        for outcome in outcomes
        if outcome.call.length is Length.SHORT and outcome.call.document is None
    ]
    alone = _times(outcome for outcome in short if outcome.call.phase is Phase.ALONE)
    mixed = _times(outcome for outcome in short if outcome.call.phase is Phase.MIXED)
    return Slowdown(
        alone=alone,
        mixed=mixed,
        p50=_ratio(mixed.p50, alone.p50),
        p95=_ratio(mixed.p95, alone.p95),
    )


def _customers(outcomes: Sequence[Outcome]) -> tuple[CustomerReport, ...]:
    callers = sorted({outcome.call.caller for outcome in outcomes}, key=lambda item: item.name)
    total = sum(_tokens(outcome) for outcome in outcomes)
    reports = []
    for caller in callers:
        own = [outcome for outcome in outcomes if outcome.call.caller == caller]
        tokens = sum(_tokens(outcome) for outcome in own)
        refused = sum(attempt.end is End.REFUSED for outcome in own for attempt in outcome.attempts)
        reports.append(
            CustomerReport(
                name=caller.name,
                weight=caller.weight,
                calls=len(own),
                whole=sum(outcome.whole for outcome in own),
                refused=refused,
                tokens=tokens,
                share=_ratio(tokens, total),
                first_token=_times(own),
            )
        )
    return tuple(reports)


def _tokens(outcome: Outcome) -> int:
    return outcome.call.prompt_tokens + outcome.last.tokens if outcome.whole else 0


def _ratio(value: float, base: float) -> float:
    return value / base if base else 0.0
