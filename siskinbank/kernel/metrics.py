"""Counters by reason, gauges and duration histograms of one process."""

import enum
from collections import Counter
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from siskinbank.kernel.reasons import Drop, Refusal, Retry

__all__ = ('Metrics',)

_PREFIX = 'siskinbank'
_MAX_RECORDED_MICROSECONDS = 600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 90, 99)
_MICROSECONDS_PER_SECOND = 1_000_000


class Metrics(Collector):
    """Collects the metrics of one process."""

    def __init__(self) -> None:
        """Create an empty collection of metrics."""
        self._counts: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[str, float] = {}
        self._times: dict[str, HdrHistogram] = {}
        self._cells: dict[str, list[int]] = {}

    @property
    def counts(self) -> dict[str, dict[str, int]]:
        """The counts by family and reason."""
        families: dict[str, dict[str, int]] = {}
        for (family, reason), count in sorted(self._counts.items()):
            families.setdefault(family, {})[reason] = count
        for name, cell in sorted(self._cells.items()):
            if cell[0]:
                reasons = families.setdefault(name, {})
                reasons[''] = reasons.get('', 0) + cell[0]
        return families

    @property
    def times(self) -> dict[str, dict[str, float]]:
        """The durations in seconds by name and quantile."""
        return {
            name: _quantiles(histogram)
            for name, histogram in sorted(self._times.items())
        }

    def count(self, reason: enum.StrEnum, amount: int = 1) -> None:
        """Add to the counter of ``reason``, in the family of its class."""
        family = type(reason).__name__.lower()
        self._counts[family, reason.value] += amount

    def tally(self, family: str, amount: int = 1) -> None:
        """Add to a counter without reasons, such as forwarded packets."""
        self._counts[family, ''] += amount

    def cell(self, family: str) -> list[int]:
        """Return a one-element list that a hot path increments directly."""
        return self._cells.setdefault(family, [0])

    def value(self, reason: enum.StrEnum) -> int:
        """Return the count of a reason."""
        return self._counts[type(reason).__name__.lower(), reason.value]

    def total(self, family: str) -> int:
        """Return the sum over all reasons of a family."""
        return sum(self.counts.get(family, {}).values())

    def gauge(self, name: str, amount: float) -> None:
        """Set a gauge."""
        self._gauges[name] = amount

    def time(self, name: str, seconds: float) -> None:
        """Record a duration."""
        histogram = self._times.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                1, _MAX_RECORDED_MICROSECONDS, _SIGNIFICANT_DIGITS
            )
            self._times[name] = histogram
        microseconds = max(int(seconds * _MICROSECONDS_PER_SECOND), 1)
        histogram.record_value(min(microseconds, _MAX_RECORDED_MICROSECONDS))

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families, for prometheus_client."""
        for family, reasons in self._all_counts().items():
            counter = CounterMetricFamily(
                f'{_PREFIX}_{family}',
                f'Number of {family} events.',
                labels=['reason'],
            )
            for reason, count in reasons.items():
                counter.add_metric([reason], count)
            yield counter
        for name, amount in self._gauges.items():
            yield GaugeMetricFamily(
                f'{_PREFIX}_{name}',
                f'Current {name}.',
                value=amount,
            )
        for name, histogram in self._times.items():
            yield self._summary(name, histogram)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def _all_counts(self) -> dict[str, dict[str, int]]:
        """Return all counters, including those that are zero."""
        families: dict[str, dict[str, int]] = {
            reason_class.__name__.lower(): {
                reason.value: 0 for reason in reason_class
            }
            for reason_class in (Drop, Refusal, Retry)
        }
        for family, reasons in self.counts.items():
            families.setdefault(family, {}).update(reasons)
        return families

    def _summary(self, name: str, histogram: HdrHistogram) -> Metric:
        count = histogram.get_total_count()
        mean = histogram.get_mean_value() / _MICROSECONDS_PER_SECOND
        summary = SummaryMetricFamily(
            f'{_PREFIX}_{name}_seconds',
            f'Time of {name}.',
            count_value=count,
            sum_value=mean * count,
        )
        for quantile, seconds in _quantiles(histogram).items():
            summary.add_sample(
                f'{_PREFIX}_{name}_seconds',
                {'quantile': quantile},
                seconds,
            )
        return summary


def _quantiles(histogram: HdrHistogram) -> dict[str, float]:
    return {
        str(percentile / 100): (
            histogram.get_value_at_percentile(percentile)
            / _MICROSECONDS_PER_SECOND
        )
        for percentile in _PERCENTILES
    }
