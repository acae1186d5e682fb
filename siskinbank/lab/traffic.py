"""Flows that come and go, the same for every way that an experiment tries."""

import itertools
import random
import socket
from collections.abc import Collection
from dataclasses import dataclass

from siskinbank.config.models import DocumentModel
from siskinbank.config.sections import Manifest, make_site
from siskinbank.config.site import Address, Site
from siskinbank.lab.bearing import OpenFlow, has_flow, host_address, host_name
from siskinbank.lab.pool import Pool, PoolSidecar
from siskinbank.lab.standins.packets import ACK, FIN, SYN, Flow, make_packet
from siskinbank.wire.packets import parse_inner

__all__ = (
    'Arrival',
    'CALLER',
    'SiteShape',
    'Traffic',
    'draw_arrivals',
)

_SERVICE = ('10.77.0.1', 443)
CALLER: Address = ('10.250.0.1', 1)
_LONG_SHARE = 0.2
_LONG_SECONDS = 100.0
_SHORT_SECONDS = 8.0
_FILL_SECONDS = 10.0
_FIRST_PORT = 1024
_PORTS = 60_000
_RETRY_SECONDS = 1.0
_CHECK_SECONDS = 0.05
_MAX_TRIES = 6
#: Room that lasted for this time is known in the pool.
_ROOM_SECONDS = 1.0
_NOTE_SECONDS = 0.02
#: What is added to a flow's number when its caller connects anew.
_RECONNECTED = 10_000_000


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
    def known(self) -> OpenFlow:
        """The flow as its upstream knows it."""
        flow = self.flow
        return socket.inet_aton(flow.source), flow.source_port

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
        self.opened = 0
        self.refused = 0
        self.falsely_refused = 0
        self._had_room: dict[int, bool] = {}
        self._room_since: dict[str, float] = {}
        self._note_room()
        self.lost_flows: set[OpenFlow] = set()
        for arrival in arrivals:
            self._push(arrival.at, arrival, SYN, 0)

    def run(self, until: float) -> None:
        """Let virtual time pass until ``until``."""
        self._pool.run(max(until - self._pool.clock.now, 0))

    def has_owner(self, arrival: Arrival) -> bool:
        """Whether a flow reached a living upstream."""
        known = arrival.known
        return any(
            sidecar.alive and has_flow(sidecar.upstream, known)
            for sidecar in self._pool.sidecars.values()
        )

    def has_room(self) -> bool:
        """Whether a warm host that takes work had room for a while."""
        latest = self._pool.clock.now - _ROOM_SECONDS
        return any(since <= latest for since in self._room_since.values())

    def _send(self, arrival: Arrival, flags: int, tries: int) -> None:
        now = self._pool.clock.now
        if flags == SYN:
            self._open(arrival, tries)
        elif flags == ACK:
            self._continue(arrival, tries, now)
        else:
            self._spray(arrival, FIN | ACK)

    def _open(self, arrival: Arrival, tries: int) -> None:
        self._had_room[arrival.number] = self.has_room()
        self._spray(arrival, SYN)
        now = self._pool.clock.now
        self._push(now + _CHECK_SECONDS, arrival, ACK, tries + 1)

    def _continue(self, arrival: Arrival, tries: int, now: float) -> None:
        """Send the next packet; open the flow again where that failed."""
        if self.has_owner(arrival):
            self.opened += bool(tries)
            self._had_room.pop(arrival.number, None)
            self._spray(arrival, ACK)
            self._go_on(arrival, now)
            return
        if not tries:
            self.lost_flows.add(arrival.known)
            self._reconnect(arrival, now)
            return
        self.refused += 1
        had_room = self._had_room.pop(arrival.number, False)
        self.falsely_refused += had_room and self.has_room()
        if tries < _MAX_TRIES:
            delay = _RETRY_SECONDS - _CHECK_SECONDS
            self._push(now + delay, arrival, SYN, tries)

    def _note_room(self) -> None:
        for name, sidecar in self._pool.sidecars.items():
            if _has_room(sidecar):
                self._room_since.setdefault(name, self._pool.clock.now)
            else:
                self._room_since.pop(name, None)
        self._pool.network.after(_NOTE_SECONDS, self._note_room)

    def _reconnect(self, arrival: Arrival, now: float) -> None:
        """Open a new flow for the rest of a lost one."""
        left = arrival.at + arrival.life - now
        if left > 0:
            again = Arrival(now, left, arrival.number + _RECONNECTED)
            self._push(now, again, SYN, 0)

    def _go_on(self, arrival: Arrival, now: float) -> None:
        end = arrival.at + arrival.life
        if self._beat is None or now + self._beat >= end:
            self._push(max(end, now), arrival, FIN, 0)
        else:
            self._push(now + self._beat, arrival, ACK, 0)

    def _spray(self, arrival: Arrival, flags: int) -> None:
        self._pool.spray(make_packet(arrival.flow, flags, b''))

    def _push(
        self,
        due: float,
        arrival: Arrival,
        flags: int,
        tries: int,
    ) -> None:
        delay = max(due - self._pool.clock.now, 0)
        self._pool.network.after(
            delay,
            lambda: self._send(arrival, flags, tries),
        )


def _has_room(sidecar: PoolSidecar) -> bool:
    limits = sidecar.context.limits
    if limits is None or not sidecar.context.accepts_work:
        return False
    return limits.connections.is_full and limits.connections.room > 0


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
        out: Collection[int] = (),
        draining: Collection[int] = (),
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
