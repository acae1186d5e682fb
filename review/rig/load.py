"""A steady load of requests, each over a flow of its own."""

import asyncio
from types import TracebackType

from review.rig.fleet import Fleet
from review.rig.host import Host


class Load:
    """Sends requests while the context is open, and awaits their answers.

    Attributes:
        sent: when each request was sent, by attempt id.
    """

    def __init__(self, fleet: Fleet, per_s: float) -> None:
        """Send this many requests a second."""
        self.sent: dict[str, float] = {}
        self._fleet = fleet
        self._interval_s = 1 / per_s
        self._task: asyncio.Task[None] | None = None
        self._requests: list[asyncio.Task[tuple[int, str]]] = []

    async def __aenter__(self) -> 'Load':
        """Start to send."""
        self._task = asyncio.create_task(self._send())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop to send and await the last answers."""
        if self._task:
            self._task.cancel()
        await asyncio.gather(*self._requests, return_exceptions=True)

    @property
    def served(self) -> int:
        """Number of requests that a host has run."""
        return sum(
            attempt in self.sent
            for host in self._fleet.hosts
            for attempt in host.runs
        )

    async def _send(self) -> None:
        while True:
            attempt = f'match-{len(self.sent)}'
            self.sent[attempt] = self._fleet.record.now()
            request = self._fleet.request(attempt)
            self._requests.append(asyncio.create_task(request))
            await asyncio.sleep(self._interval_s)


def most_while_cold(fleet: Fleet, host: Host) -> int:
    """Return the most requests that a host got in a second while cold."""
    if host.cold_since is None:
        return 0
    until = host.cold_since + host.warmup_s
    return _most_in_a_second(
        [
            (fleet.sent[port], arrived)
            for arrived, port in host.openings
            if host.cold_since < arrived < until and port in fleet.sent
        ]
    )


def _most_in_a_second(times: list[tuple[float, float]]) -> int:
    """Return the largest number of requests in any span of one second.

    Args:
        times: when each was sent, and when it arrived; both have to lie in the
            span.
    """
    return max(
        (
            sum(
                start <= sent and arrived <= start + 1
                for sent, arrived in times
            )
            for start, _ in times
        ),
        default=0,
    )
