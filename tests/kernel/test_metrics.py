"""Tests of counters and durations."""

import unittest

from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Drop


class TestMetrics(unittest.TestCase):
    """Tests of the Prometheus text format."""

    def test_counts_by_reason(self) -> None:
        """Each reason has its own sample."""
        metrics = Metrics()
        metrics.count(Drop.unkeyed)
        metrics.count(Drop.unkeyed, 2)
        text = metrics.exposition().decode()
        self.assertIn('siskinbank_drop_total{reason="unkeyed"} 3.0', text)
        self.assertEqual(metrics.total('drop'), 3)

    def test_zero_counts_are_shown(self) -> None:
        """A reason is exposed as zero, so that it can be watched in advance."""
        text = Metrics().exposition().decode()
        for family in ('drop', 'refusal', 'retry'):
            with self.subTest(family):
                self.assertRegex(text, f'siskinbank_{family}_total.* 0.0')

    def test_times_have_quantiles(self) -> None:
        """Durations are exposed as a summary in seconds."""
        metrics = Metrics()
        for _ in range(10):
            metrics.time('request', 0.2)
        text = metrics.exposition().decode()
        self.assertIn('siskinbank_request_seconds_count 10.0', text)
        self.assertRegex(text, r'request_seconds\{quantile="0.5"\} 0\.(19|20)')
