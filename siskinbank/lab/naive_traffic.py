"""Sends the flows of an experiment by hash modulo the live hosts."""

from collections.abc import Callable, Sequence

from siskinbank.lab.limited_upstream import CallerEndpoint, LimitedUpstream
from siskinbank.lab.pool import Pool
from siskinbank.lab.standins.packets import ACK, FIN, SYN, make_packet
from siskinbank.lab.traffic import Arrival
from siskinbank.wire.packets import parse_inner

__all__ = ('NaiveTraffic',)


class NaiveTraffic:
    """Sends each packet directly to the host selected by its hash.

    A flow is broken when its host changes. Its caller opens it again with the
    next packet.

    Attributes:
        upstreams: upstreams of all hosts.
        hosts_out: numbers of the hosts that are out of service.
        broken_flows: flows that were broken.
    """

    def __init__(
        self,
        pool: Pool,
        upstreams: Sequence[LimitedUpstream],
        arrivals: Sequence[Arrival],
        send_interval_seconds: float,
    ) -> None:
        """Initialize the schedule of packets on the clock of ``pool``."""
        self._pool = pool
        self._send_interval_seconds = send_interval_seconds
        self.upstreams = upstreams
        self.hosts_out: frozenset[int] = frozenset()
        self.broken_flows: set[CallerEndpoint] = set()
        for arrival in arrivals:
            pool.network.after(arrival.at, self._make_sender(arrival, None))

    def run(self, until: float) -> None:
        """Advance the virtual clock to ``until``."""
        self._pool.run(max(until - self._pool.clock.now, 0))

    def _make_sender(
        self,
        arrival: Arrival,
        last_host: int | None,
    ) -> Callable[[], None]:
        return lambda: self._send(arrival, last_host)

    def _send(self, arrival: Arrival, last_host: int | None) -> None:
        now = self._pool.clock.now
        live_hosts = [
            number
            for number, upstream in enumerate(self.upstreams)
            if number not in self.hosts_out and upstream.is_up(now)
        ]
        if not live_hosts:
            return
        chosen_host = live_hosts[arrival.key % len(live_hosts)]
        is_finished = now >= arrival.at + arrival.duration_seconds
        flags = FIN | ACK if is_finished else ACK
        if last_host != chosen_host:
            if last_host is not None:
                self.broken_flows.add(arrival.endpoint)
            flags = SYN
        packet = parse_inner(make_packet(arrival.flow, flags))
        assert packet is not None
        self.upstreams[chosen_host].receive(packet, now)
        if not is_finished:
            self._pool.network.after(
                self._send_interval_seconds,
                self._make_sender(arrival, chosen_host),
            )
