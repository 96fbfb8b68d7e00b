"""Metrics of a process: response time histograms, counters by verdict and gauges."""

import collections
import typing as t

import attrs
from hdrh.histogram import HdrHistogram

MIN_DELAY_US = 1
MAX_DELAY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 99.0, 99.9)
MICROSECONDS_PER_S = 1_000_000


def build_histogram() -> HdrHistogram:
    """Build an empty histogram of delays in microseconds."""
    return HdrHistogram(MIN_DELAY_US, MAX_DELAY_US, SIGNIFICANT_DIGITS)


@attrs.define(eq=False)
class Metrics:
    """Counts finished requests and records their response times.

    :param gauges: functions that return current values, by metric name.
    :param read_work: returns the processor seconds by kind of work.
    :param closed: number of connections refused or closed, by reason.
    :param answers: number of finished requests, by verdict and reason.
    :param delays: response times by service, in microseconds.
    """

    gauges: dict[str, t.Callable[[], float]] = attrs.field(factory=dict)
    read_work: t.Callable[[], t.Mapping[str, float]] = dict
    closed: t.Mapping[str, int] = attrs.field(factory=dict)
    answers: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    delays: dict[str, HdrHistogram] = attrs.field(factory=dict)

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

    def render(self) -> bytes:
        """Render the metrics in the Prometheus text format."""
        # imported with the first request: the start of a process does not need it
        from .exposition import render_metrics

        return render_metrics(self)

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
