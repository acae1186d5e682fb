"""Counters and latency histograms in the Prometheus text format."""

from __future__ import annotations

__all__ = ('Meters',)

# Upper limits of the histogram buckets, in seconds: powers of two from 1 ms to
# beyond the longest deadline.
_BUCKET_LIMITS_S = tuple(0.001 * 2**index for index in range(14))
_BUCKETS = range(len(_BUCKET_LIMITS_S) + 1)


class Meters:
    """Counters and histograms of one process, created on first use."""

    __slots__ = ('_counts', '_histograms')

    def __init__(self) -> None:
        """Create an empty collection."""
        self._counts: dict[str, int] = {}
        self._histograms: dict[str, list[int]] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def value(self, name: str) -> int:
        """Return the value of a counter, 0 if it does not exist."""
        return self._counts.get(name, 0)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        buckets = self._histograms.get(name)
        if buckets is None:
            buckets = [0 for _ in _BUCKETS]
            self._histograms[name] = buckets
        index = 0
        while (
            index < len(_BUCKET_LIMITS_S) and seconds > _BUCKET_LIMITS_S[index]
        ):
            index += 1
        buckets[index] += 1

    def text(self) -> str:
        """Return all metrics in the Prometheus exposition format."""
        lines = [
            f'siskinbank_{name} {self._counts[name]}'
            for name in sorted(self._counts)
        ]
        for name in sorted(self._histograms):
            lines.extend(_histogram_lines(name, self._histograms[name]))
        return '\n'.join(lines) + '\n'


def _histogram_lines(name: str, buckets: list[int]) -> list[str]:
    lines = []
    total = 0
    limits = [f'{limit:.3f}' for limit in _BUCKET_LIMITS_S] + ['+Inf']
    for limit, amount in zip(limits, buckets, strict=True):
        total += amount
        lines.append(f'siskinbank_{name}_bucket{{le="{limit}"}} {total}')
    lines.append(f'siskinbank_{name}_count {total}')
    return lines
