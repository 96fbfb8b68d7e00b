"""Metrics of a process: hdrhistogram for delays, counters for verdicts."""

import collections
import typing as t

import attrs
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
PERCENTILES = (50.0, 99.0, 99.9)
MICROSECONDS = 1_000_000


def build_histogram() -> HdrHistogram:
    """Build a histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@attrs.define(eq=False)
class Metrics(Collector):
    """Counts answers and their delays.

    :param gauges: functions that read present values, by metric name.
    """

    gauges: dict[str, t.Callable[[], float]] = attrs.field(factory=dict)
    answers: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    delays: dict[str, HdrHistogram] = attrs.field(factory=dict)
    _registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)

    def __attrs_post_init__(self) -> None:
        self._registry.register(self)

    def count(self, verdict: str, reason: str, service: str, took_s: float) -> None:
        """Count one finished request.

        :param verdict: its verdict.
        :param reason: why no target answered, or empty.
        :param service: its service, or empty.
        :param took_s: seconds until the answer.
        """
        self.answers[verdict, reason] += 1
        if service not in self.delays:
            self.delays[service] = build_histogram()
        micros = min(max(int(took_s * MICROSECONDS), LOWEST_US), HIGHEST_US)
        self.delays[service].record_value(micros)

    def collect(self) -> t.Iterable[Metric]:
        """Yield the metrics in the library's terms."""
        answers = CounterMetricFamily(
            "onyxgap_answers", "Finished requests", labels=("verdict", "reason")
        )
        for (verdict, reason), count in sorted(self.answers.items()):
            answers.add_metric((verdict, reason), count)
        yield answers
        delays = SummaryMetricFamily(
            "onyxgap_answer_seconds", "Time to answer", labels=("service",)
        )
        for service, histogram in sorted(self.delays.items()):
            count = histogram.get_total_count()
            total = histogram.get_mean_value() * count / MICROSECONDS
            delays.add_metric((service,), count, total)
        yield delays
        yield from self._collect_histograms()
        for name, read in sorted(self.gauges.items()):
            yield GaugeMetricFamily(f"onyxgap_{name}", name, value=read())

    def _collect_histograms(self) -> t.Iterable[Metric]:
        for service, histogram in sorted(self.delays.items()):
            family = GaugeMetricFamily(
                "onyxgap_answer_quantile_seconds",
                "Quantiles of the time to answer",
                labels=("service", "quantile"),
            )
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / MICROSECONDS
                family.add_metric((service, f"{percentile / 100:g}"), value)
            yield family

    def render(self) -> bytes:
        """Render the usual text format."""
        return generate_latest(self._registry)

    def summarize(self) -> dict[str, t.Any]:
        """Sum the metrics up as JSON, with percentiles in milliseconds."""
        return {
            "answers": {
                "/".join(filter(None, key)): count
                for key, count in sorted(self.answers.items())
            },
            "delays_ms": {
                service: {
                    f"p{percentile:g}": histogram.get_value_at_percentile(percentile)
                    / 1000
                    for percentile in PERCENTILES
                }
                for service, histogram in sorted(self.delays.items())
            },
            "gauges": {name: read() for name, read in sorted(self.gauges.items())},
        }
