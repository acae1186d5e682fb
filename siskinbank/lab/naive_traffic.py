"""The flows of an experiment, sent by hash modulo the live hosts."""

from collections.abc import Callable, Sequence

from siskinbank.lab.bearing import BearingUpstream, OpenFlow
from siskinbank.lab.pool import Pool
from siskinbank.lab.standins.packets import ACK, FIN, SYN, make_packet
from siskinbank.lab.traffic import Arrival
from siskinbank.wire.packets import parse_inner

__all__ = ('NaiveTraffic',)


class NaiveTraffic:
    """Hands each packet straight to the host that its hash names.

    A flow whose host changes, or whose host does not know it, is broken; its
    caller opens it anew with the next packet.
    """

    def __init__(
        self,
        pool: Pool,
        upstreams: Sequence[BearingUpstream],
        arrivals: Sequence[Arrival],
        beat_seconds: float,
    ) -> None:
        """Plan the packets of ``arrivals`` on the pool's clock."""
        self._pool = pool
        self._beat = beat_seconds
        self.upstreams = upstreams
        self.out: frozenset[int] = frozenset()
        self.broken_flows: set[OpenFlow] = set()
        for arrival in arrivals:
            pool.network.after(arrival.at, self._sender(arrival, None))

    def run(self, until: float) -> None:
        """Let virtual time pass until ``until``."""
        self._pool.run(max(until - self._pool.clock.now, 0))

    def _sender(
        self,
        arrival: Arrival,
        host: int | None,
    ) -> Callable[[], None]:
        return lambda: self._send(arrival, host)

    def _send(self, arrival: Arrival, host: int | None) -> None:
        now = self._pool.clock.now
        live = [
            number
            for number, upstream in enumerate(self.upstreams)
            if number not in self.out and upstream.is_up(now)
        ]
        if not live:
            return
        chosen = live[arrival.key % len(live)]
        is_over = now >= arrival.at + arrival.life
        flags = FIN | ACK if is_over else ACK
        if host != chosen:
            if host is not None:
                self.broken_flows.add(arrival.known)
            flags = SYN
        packet = parse_inner(make_packet(arrival.flow, flags))
        assert packet is not None
        self.upstreams[chosen].receive(packet, now)
        if not is_over:
            self._pool.network.after(
                self._beat,
                self._sender(arrival, chosen),
            )
