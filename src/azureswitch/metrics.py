"""Metrics, as Prometheus reads them."""

from collections.abc import Callable, Collection, Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from azureswitch.serving import EvacuatedPlace, Observation, Observe
from azureswitch.shedding import UnfinishedRequests

LENGTH_BUCKETS = ((4_000, "1k"), (32_000, "10k"), (320_000, "100k"))
"""Prompt tokens below which a request belongs to a bucket; the rest is ``1m``."""

FIRST_TOKEN_BOUNDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.4, 2.0, 4.0, 10.0, 60.0, 600.0]
"""Upper bounds of the buckets for the time to first token, in seconds."""

SLOWDOWN_BOUNDS = [1.0, 1.05, 1.1, 1.15, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0]
"""Upper bounds of the buckets for slowdown, as ratios."""

REFUSALS_HELP = "Requests refused before they were admitted, by failure."
"""What the counter of refusals counts, on all kinds of hosts."""

_MEASURES = {
    Observation.FIRST_TOKEN: (FIRST_TOKEN_BOUNDS, "Seconds to the first token."),
    Observation.SLOWDOWN: (SLOWDOWN_BOUNDS, "Time to first token over that on an idle fleet."),
}

_HELP = {
    Observation.COLD_WAITED: "Requests that waited because targets are cold",
    Observation.COLD_REFUSED: "Requests that were refused because targets are cold",
}
"""What counters count, where it cannot be said by their names."""


def length_bucket(prompt_tokens: int) -> str:
    """Return the label of a prompt's length."""
    for limit, label in LENGTH_BUCKETS:
        if prompt_tokens < limit:
            return label
    return "1m"


class Metrics:
    """Counts and measures, and their text form."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._counters: dict[Observation, Counter] = {}
        self._histograms: dict[Observation, Histogram] = {}
        for what in Observation:
            if what in _MEASURES:
                self._add_histogram(what)
            else:
                self._add_counter(what)
        self._gauges: dict[str, Gauge] = {}
        self._watched: list[tuple[Gauge, dict[str, str], Callable[[], float]]] = []
        self._reasons: dict[str, Counter] = {}
        self._measures: dict[str, Histogram] = {}

    def observe(self, effect: Observe) -> None:
        """Record one observation."""
        labels = {"length": length_bucket(effect.prompt_tokens)}
        if effect.what in _MEASURES:
            self._histograms[effect.what].observe(labels, effect.value)
            return
        labels["customer"] = str(effect.customer)
        self._counters[effect.what].add(labels, effect.value)

    def count(self, *, name: str, help: str, **labels: str) -> None:
        """Count something by labels."""
        counter = self._reasons.get(name)
        if counter is None:
            counter = Counter(f"azureswitch_{name}_total", help, registry=self._registry)
            self._reasons[name] = counter
        counter.inc(labels)

    def measure(
        self, *, name: str, help: str, bounds: Sequence[float], value: float, **labels: str
    ) -> None:
        """Measure something by labels; bounds are those of the buckets."""
        histogram = self._measures.get(name)
        if histogram is None:
            histogram = Histogram(
                f"azureswitch_{name}", help, buckets=list(bounds), registry=self._registry
            )
            self._measures[name] = histogram
        histogram.observe(labels, value)

    def watch(self, *, name: str, help: str, value: Callable[[], float], **labels: str) -> None:
        """Show a value that is read whenever the metrics are, by labels."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"azureswitch_{name}", help, registry=self._registry)
            self._gauges[name] = gauge
        self._watched.append((gauge, labels, value))

    def text(self, accepts: tuple[str, ...] = ()) -> tuple[bytes, dict[str, str]]:
        """Return all metrics and the headers that say their format."""
        for gauge, labels, value in self._watched:
            gauge.set(labels, value())
        return render(self._registry, list(accepts))  # type: ignore[no-any-return]

    def _add_counter(self, what: Observation) -> None:
        name = f"azureswitch_{what.value}_total"
        counted = _HELP.get(what, f"Requests that were {what.value}")
        help = f"{counted}, by customer and prompt length."
        self._counters[what] = Counter(name, help, registry=self._registry)

    def _add_histogram(self, what: Observation) -> None:
        bounds, help = _MEASURES[what]
        self._histograms[what] = Histogram(
            f"azureswitch_{what.value}", help, buckets=bounds, registry=self._registry
        )


def watch_evacuations(
    metrics: Metrics, *, evacuations: Callable[[], Collection[EvacuatedPlace]]
) -> None:
    """Register the gauges of evacuated failure domains, the same on all kinds of hosts.

    Args:
        metrics: The metrics.
        evacuations: Returns the evacuated failure domains that the host knows.
    """
    metrics.watch(
        name="evacuated_places",
        help="Failure domains whose targets get nothing new, as operators evacuated them.",
        value=lambda: len(evacuations()),
    )
    metrics.watch(
        name="evacuated_attempts",
        help="Attempts of this host that still run in evacuated failure domains.",
        value=lambda: sum(place.running for place in evacuations()),
    )


def watch_buffers(metrics: Metrics, *, unfinished: UnfinishedRequests) -> None:
    """Register the gauges of the memory held for callers, the same on all kinds of hosts.

    Args:
        metrics: The metrics.
        unfinished: The requests of callers of which a part has arrived.
    """
    gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
        (
            "buffered_bytes",
            "Bytes held for requests, answers, and callers who do not read.",
            lambda: unfinished.budget.used,
        ),
        (
            "unfinished_requests",
            "Requests of which a part has arrived.",
            lambda: unfinished.count,
        ),
        (
            "unfinished_bytes",
            "Bytes held for requests of which a part has arrived.",
            lambda: unfinished.held,
        ),
        (
            "unfinished_slowest_seconds",
            "Seconds since the last progress of the slowest unfinished request.",
            lambda: unfinished.slowest_seconds,
        ),
    )
    for name, help, value in gauges:
        metrics.watch(name=name, help=help, value=value)
