"""Flows that come and go, the same for every way that an experiment tries."""

import heapq
import itertools
import random
import socket
from dataclasses import dataclass

from siskinbank.config.models import DocumentModel
from siskinbank.config.sections import Manifest, make_site
from siskinbank.config.site import Address, Site
from siskinbank.lab.bearing import has_flow
from siskinbank.lab.pool import Pool
from siskinbank.lab.standins.packets import ACK, FIN, SYN, Flow, make_packet
from siskinbank.wire.packets import parse_inner

__all__ = (
    'CALLER',
    'Arrival',
    'SiteShape',
    'Traffic',
    'draw_arrivals',
    'host_address',
    'host_name',
)

_SERVICE = ('10.77.0.1', 443)
CALLER: Address = ('10.250.0.1', 1)
_LONG_SHARE = 0.2
_LONG_SECONDS = 100.0
_SHORT_SECONDS = 8.0
_FILL_SECONDS = 3.0
_FIRST_PORT = 1024
_PORTS = 60_000
_HOSTS_A_BLOCK = 250
_RETRY_SECONDS = 1.0
_MAX_TRIES = 6


@dataclass(frozen=True, slots=True)
class Arrival:
    """One flow that a caller opens ``at`` seconds and keeps for ``life``."""

    at: float
    life: float
    number: int

    @property
    def flow(self) -> Flow:
        """The flow's addresses."""
        high, port = divmod(self.number, _PORTS)
        source = f'10.9.{high >> 8}.{high & 0xFF}'
        return Flow(source, _FIRST_PORT + port, *_SERVICE)

    @property
    def key(self) -> int:
        """The flow's 64-bit number."""
        packet = parse_inner(make_packet(self.flow, SYN))
        assert packet is not None
        return packet.key


def draw_arrivals(
    rng: random.Random,
    flows: int,
    seconds: float,
) -> list[Arrival]:
    """Draw long and short flows; about ``flows`` of them are open at a time.

    The first come within a few seconds, the others at random so that the
    number stays.
    """
    number = itertools.count()
    arrivals = []
    for share, life in (
        (_LONG_SHARE, _LONG_SECONDS),
        (1 - _LONG_SHARE, _SHORT_SECONDS),
    ):
        for _ in range(round(flows * share)):
            at = rng.uniform(0, _FILL_SECONDS)
            while at < seconds:
                lasts = rng.expovariate(1 / life)
                arrivals.append(Arrival(at, lasts, next(number)))
                at += lasts
    return sorted(arrivals, key=_arrival_time)


def _arrival_time(arrival: Arrival) -> float:
    return arrival.at


class Traffic:
    """Sends the packets of drawn flows into a pool."""

    def __init__(
        self,
        pool: Pool,
        arrivals: list[Arrival],
        beat_seconds: float | None = None,
    ) -> None:
        """Send a packet of each open flow each ``beat_seconds``, if given."""
        self._pool = pool
        self._beat = beat_seconds
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Arrival, int, int]] = []
        self.opened = 0
        self.refused = 0
        for arrival in arrivals:
            self._push(arrival.at, arrival, SYN, 0)

    def run(self, until: float) -> None:
        """Let virtual time pass and send what is due."""
        clock = self._pool.clock
        while self._queue and self._queue[0][0] <= until:
            due, _order, arrival, flags, tries = heapq.heappop(self._queue)
            if due > clock.now:
                self._pool.run(due - clock.now)
            self._send(arrival, flags, tries)
        self._pool.run(max(until - clock.now, 0))

    def has_owner(self, flow: Flow) -> bool:
        """Whether a flow reached a living upstream."""
        known = (socket.inet_aton(flow.source), flow.source_port)
        return any(
            sidecar.alive and has_flow(sidecar.upstream, known)
            for sidecar in self._pool.sidecars.values()
        )

    def _send(self, arrival: Arrival, flags: int, tries: int) -> None:
        now = self._pool.clock.now
        if flags == SYN:
            self._open(arrival, tries)
        elif flags == ACK:
            if not tries and not self.has_owner(arrival.flow):
                self._open(arrival, 1)
                return
            self._spray(arrival, ACK)
            self._go_on(arrival, now)
        else:
            self._spray(arrival, FIN | ACK)

    def _open(self, arrival: Arrival, tries: int) -> None:
        if tries:
            self.refused += 1
        if tries >= _MAX_TRIES:
            return
        self._spray(arrival, SYN)
        now = self._pool.clock.now
        self._push(now + _RETRY_SECONDS, arrival, ACK, 0)

    def _go_on(self, arrival: Arrival, now: float) -> None:
        end = arrival.at + arrival.life
        if self._beat is None or now + self._beat >= end:
            self._push(max(end, now), arrival, FIN, 0)
        else:
            self._push(now + self._beat, arrival, ACK, 1)

    def _spray(self, arrival: Arrival, flags: int) -> None:
        self._pool.spray(make_packet(arrival.flow, flags, b''))

    def _push(
        self,
        due: float,
        arrival: Arrival,
        flags: int,
        tries: int,
    ) -> None:
        item = (due, next(self._order), arrival, flags, tries)
        heapq.heappush(self._queue, item)


@dataclass(frozen=True, slots=True)
class SiteShape:
    """A site with one packet service, for experiments."""

    hosts: int
    connections: int = 2000
    cold: int = 2000
    warm_up_seconds: float = 0
    data_centres: int = 1

    def site(
        self,
        generation: int,
        out: frozenset[int] = frozenset(),
        draining: frozenset[int] = frozenset(),
        weights: dict[int, float] | None = None,
    ) -> Site:
        """Return the site at a generation.

        Args:
            generation: its number.
            out: numbers of data centres that are out of service.
            draining: numbers of hosts that drain.
            weights: weights of hosts that differ from 1.
        """
        given = weights or {}
        document = {
            'site': 'lab',
            'data_centres': {
                f'centre-{number}': {
                    'state': 'out' if number in out else 'in',
                }
                for number in range(self.data_centres)
            },
            'services': {
                'matcher': {
                    'ingress': {
                        'fou': {'address': _SERVICE[0], 'port': _SERVICE[1]},
                    },
                    'connections': self.connections,
                    'cold': {
                        'connections': self.cold,
                        'slots': 1,
                        'warm_up_seconds': self.warm_up_seconds,
                    },
                    'hosts': {
                        host_name(number): {
                            'data_centre': self.centre_of(number),
                            'address': host_address(number)[0],
                            'port': host_address(number)[1],
                            'weight': given.get(number, 1),
                            'state': 'draining'
                            if number in draining
                            else 'active',
                        }
                        for number in range(self.hosts)
                    },
                },
            },
        }
        model = DocumentModel.model_validate(document)
        return make_site(model, Manifest(generation, {}))

    def centre_of(self, number: int) -> str:
        """Return the data centre of a host."""
        return f'centre-{number % self.data_centres}'


def host_name(number: int) -> str:
    """Return a host's name."""
    return f'matcher-{number}'


def host_address(number: int) -> Address:
    """Return the address of a host's sidecar."""
    block, low = divmod(number, _HOSTS_A_BLOCK)
    return f'10.0.{block}.{low + 1}', 7100
