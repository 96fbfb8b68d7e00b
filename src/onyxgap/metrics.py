"""Metrics of a process: response time histograms, counters by verdict and gauges."""

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

MIN_DELAY_US = 1
MAX_DELAY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 99.0, 99.9)
MICROSECONDS_PER_S = 1_000_000


def build_histogram() -> HdrHistogram:
    """Build an empty histogram of delays in microseconds."""
    return HdrHistogram(MIN_DELAY_US, MAX_DELAY_US, SIGNIFICANT_DIGITS)


@attrs.define(eq=False)
class Metrics(Collector):
    """Counts finished requests and records their response times.

    :param gauges: functions that return current values, by metric name.
    :param read_work: returns the processor seconds by kind of work.
    """

    gauges: dict[str, t.Callable[[], float]] = attrs.field(factory=dict)
    read_work: t.Callable[[], t.Mapping[str, float]] = dict
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
        :param reason: reason why no target answered, or empty.
        :param service: its service, or empty.
        :param took_s: response time, in seconds.
        """
        self.answers[verdict, reason] += 1
        if service not in self.delays:
            self.delays[service] = build_histogram()
        micros = min(max(int(took_s * MICROSECONDS_PER_S), MIN_DELAY_US), MAX_DELAY_US)
        self.delays[service].record_value(micros)

    def collect(self) -> t.Iterable[Metric]:
        """Yield the metric families for the Prometheus registry."""
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
            total = histogram.get_mean_value() * count / MICROSECONDS_PER_S
            delays.add_metric((service,), count, total)
        yield delays
        yield from self._collect_histograms()
        work = CounterMetricFamily(
            "onyxgap_work_seconds", "Processor time by kind of work", labels=("kind",)
        )
        for kind, seconds in sorted(self.read_work().items()):
            work.add_metric((kind,), seconds)
        yield work
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
                value = (
                    histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_S
                )
                family.add_metric((service, f"{percentile / 100:g}"), value)
            yield family

    def render(self) -> bytes:
        """Render the metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def summarize(self) -> dict[str, t.Any]:
        """Summarize the metrics as a JSON object, with percentiles in milliseconds."""
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
