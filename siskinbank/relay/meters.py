"""Counters, gauges and latency histograms in the Prometheus text format."""

from __future__ import annotations

from siskinbank.relay.messages import KIND_NAMES

__all__ = ('FRAMING_BYTES', 'Meters', 'Traffic')

# Upper limits of the histogram buckets, in seconds: powers of two from 1 ms to
# beyond the longest deadline.
_SHORTEST_BUCKET_S = 0.001
_BUCKET_COUNT = 14
_BUCKET_LIMITS_S = tuple(
    _SHORTEST_BUCKET_S * 2**index for index in range(_BUCKET_COUNT)
)
# What a link carries of a datagram beyond its data: IP and UDP headers (28
# bytes) and Ethernet framing (38). Too little here lets the backlog of a link
# grow unseen, too much costs a part of its rate (docs/design/link-budget.md).
FRAMING_BYTES = 66
_BUCKETS = range(len(_BUCKET_LIMITS_S) + 1)


class Traffic:
    """Datagrams and bytes in one direction, by kind of message.

    Its size is fixed: an unknown kind is counted as ``messages.UNKNOWN``.

    Attributes:
        link_bytes: bytes of all datagrams with headers and framing, as a link
            carries them.
    """

    __slots__ = ('_bytes', '_datagrams', 'link_bytes')

    def __init__(self) -> None:
        """Create counters for all kinds of messages."""
        self.link_bytes = 0
        self._datagrams = [0 for _ in KIND_NAMES]
        self._bytes = [0 for _ in KIND_NAMES]

    def add(self, kind: int, size_bytes: int) -> None:
        """Count a datagram.

        Args:
            kind: a kind that ``messages.KIND_NAMES`` names.
            size_bytes: size of the datagram.
        """
        self._datagrams[kind] += 1
        self._bytes[kind] += size_bytes
        self.link_bytes += size_bytes + FRAMING_BYTES

    def lines(self, direction: str) -> list[str]:
        """Return the counters of all kinds that have occurred.

        Args:
            direction: ``sent`` or ``received``.
        """
        totals = (
            (f'messages_{direction}', self._datagrams),
            (f'message_bytes_{direction}', self._bytes),
        )
        return [
            f'siskinbank_{name}_total{{kind="{kind}"}} {amount}'
            for name, amounts in totals
            for kind, amount, datagrams in zip(
                KIND_NAMES, amounts, self._datagrams, strict=True
            )
            if datagrams
        ]


class Meters:
    """Counters, gauges and histograms of one process, created on first use.

    Attributes:
        sent: messages sent to other processes.
        received: messages received from other processes.
    """

    __slots__ = ('_counts', '_gauges', '_histograms', 'received', 'sent')

    def __init__(self) -> None:
        """Create an empty collection."""
        self.sent = Traffic()
        self.received = Traffic()
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, int] = {}
        self._histograms: dict[str, list[int]] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def value(self, name: str) -> int:
        """Return the value of a counter, 0 if it does not exist."""
        return self._counts.get(name, 0)

    def gauge(self, name: str, amount: int) -> None:
        """Set a gauge to the present amount."""
        self._gauges[name] = amount

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
        amounts = self._counts | self._gauges
        lines = [
            f'siskinbank_{name} {amounts[name]}' for name in sorted(amounts)
        ]
        lines.extend(self.sent.lines('sent'))
        lines.extend(self.received.lines('received'))
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
