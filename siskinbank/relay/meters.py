"""Counters and latency histograms, as text for the metrics address."""

from __future__ import annotations

__all__ = ('Meters',)

# Upper edges of the latency histograms, in seconds: doublings from 1 ms to
# beyond the longest deadline.
_EDGES = tuple(0.001 * 2**step for step in range(14))
_BUCKETS = range(len(_EDGES) + 1)


class Meters:
    """The counters of one process, made on first use."""

    __slots__ = ('_counts', '_histograms')

    def __init__(self) -> None:
        """Start with none."""
        self._counts: dict[str, int] = {}
        self._histograms: dict[str, list[int]] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def value(self, name: str) -> int:
        """Return a counter, 0 if it was never counted."""
        return self._counts.get(name, 0)

    def time(self, name: str, seconds: float) -> None:
        """Add a time to a histogram."""
        buckets = self._histograms.get(name)
        if buckets is None:
            buckets = [0 for _ in _BUCKETS]
            self._histograms[name] = buckets
        step = 0
        while step < len(_EDGES) and seconds > _EDGES[step]:
            step += 1
        buckets[step] += 1

    def text(self) -> str:
        """Write all of them in the exposition format of Prometheus."""
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
    edges = [f'{edge:.3f}' for edge in _EDGES] + ['+Inf']
    for edge, amount in zip(edges, buckets, strict=True):
        total += amount
        lines.append(f'siskinbank_{name}_bucket{{le="{edge}"}} {total}')
    lines.append(f'siskinbank_{name}_count {total}')
    return lines
