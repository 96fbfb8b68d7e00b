"""Renders the metrics of a process in the Prometheus text format."""

import typing as t

import attrs
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from .metrics import MICROSECONDS_PER_S
from .metrics import PERCENTILES
from .metrics import Metrics


@attrs.frozen(eq=False)
class _MetricsCollector(Collector):
    """Converts metrics to the families of the Prometheus registry.

    :param metrics: the metrics.
    """

    metrics: Metrics

    def collect(self) -> t.Iterable[Metric]:
        """Yield the metric families."""
        yield self._collect_answers()
        yield self._collect_delays()
        yield from self._collect_quantiles()
        yield self._collect_work()
        yield self._collect_closed()
        for name, read in sorted(self.metrics.gauges.items()):
            yield GaugeMetricFamily(f"onyxgap_{name}", name, value=read())

    def _collect_answers(self) -> Metric:
        family = CounterMetricFamily(
            "onyxgap_answers", "Finished requests", labels=("verdict", "reason")
        )
        for (verdict, reason), count in sorted(self.metrics.answers.items()):
            family.add_metric((verdict, reason), count)
        return family

    def _collect_delays(self) -> Metric:
        family = SummaryMetricFamily(
            "onyxgap_answer_seconds", "Time to answer", labels=("service",)
        )
        for service, histogram in sorted(self.metrics.delays.items()):
            count = histogram.get_total_count()
            total = histogram.get_mean_value() * count / MICROSECONDS_PER_S
            family.add_metric((service,), count, total)
        return family

    def _collect_quantiles(self) -> t.Iterable[Metric]:
        for service, histogram in sorted(self.metrics.delays.items()):
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

    def _collect_work(self) -> Metric:
        family = CounterMetricFamily(
            "onyxgap_work_seconds", "Processor time by kind of work", labels=("kind",)
        )
        for kind, seconds in sorted(self.metrics.read_work().items()):
            family.add_metric((kind,), seconds)
        return family

    def _collect_closed(self) -> Metric:
        family = CounterMetricFamily(
            "onyxgap_connections_closed",
            "Connections refused or closed by the process",
            labels=("reason",),
        )
        for reason, count in sorted(self.metrics.closed.items()):
            family.add_metric((reason,), count)
        return family


def render_metrics(metrics: Metrics) -> bytes:
    """Render metrics in the Prometheus text format.

    :param metrics: the metrics.
    """
    registry = CollectorRegistry()
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry)
