"""Random short and long flows, the same for all compared balancers."""

import functools
import itertools
import random
import socket
from collections.abc import Collection
from dataclasses import dataclass

from siskinbank.config.models import DocumentModel
from siskinbank.config.sections import Manifest, make_site
from siskinbank.config.site import Address, Site
from siskinbank.lab.limited_upstream import (
    CallerEndpoint,
    has_flow,
    host_name,
    monitored_sidecar_address,
)
from siskinbank.lab.pool import UPSTREAM_PORT, Pool, PoolSidecar
from siskinbank.lab.standins.packets import ACK, FIN, SYN, Flow, make_packet
from siskinbank.wire.packets import parse_inner

__all__ = (
    'Arrival',
    'CALLER',
    'SiteShape',
    'Traffic',
    'draw_arrivals',
)

_SERVICE_ADDRESS = ('10.77.0.1', 443)
CALLER: Address = ('10.250.0.1', 1)
_LONG_SHARE = 0.2
_MEAN_LONG_SECONDS = 100.0
_MEAN_SHORT_SECONDS = 8.0
_RAMP_UP_SECONDS = 10.0
_FIRST_PORT = 1024
_PORTS_PER_ADDRESS = 60_000
_RETRY_SECONDS = 1.0
_OPEN_CHECK_SECONDS = 0.05
_MAX_TRIES = 6
#: Free capacity that has lasted this long is known to the pool.
_KNOWN_CAPACITY_SECONDS = 1.0
_SAMPLE_SECONDS = 0.02
#: Added to the serial number of a flow when its caller reconnects.
_RECONNECT_OFFSET = 10_000_000


@dataclass(frozen=True)
class Arrival:
    """One flow of a caller.

    Its addresses and number are computed once: the policies that are compared
    and the packets of a flow all need them.

    Attributes:
        at: time of the first packet in seconds.
        duration_seconds: duration of the flow.
        number: serial number, from which the flow's addresses are derived.
    """

    at: float
    duration_seconds: float
    number: int

    @functools.cached_property
    def flow(self) -> Flow:
        """Addresses and ports of the flow."""
        high, port = divmod(self.number, _PORTS_PER_ADDRESS)
        source = f'10.9.{high >> 8}.{high & 0xFF}'
        return Flow(source, _FIRST_PORT + port, *_SERVICE_ADDRESS)

    @functools.cached_property
    def endpoint(self) -> CallerEndpoint:
        """Endpoint of the caller, by which the upstream finds the flow."""
        flow = self.flow
        return socket.inet_aton(flow.source), flow.source_port

    @functools.cached_property
    def key(self) -> int:
        """64-bit number of the flow, as entries and sidecars compute it."""
        packet = parse_inner(make_packet(self.flow, SYN))
        assert packet is not None
        return packet.key


def draw_arrivals(
    rng: random.Random,
    flows: int,
    seconds: float,
) -> list[Arrival]:
    """Return random long and short flows, sorted by arrival.

    The first flows arrive during a ramp-up of 10 seconds. Each flow that ends
    is followed by a new one, so that the number of open flows stays constant.

    Args:
        rng: source of random numbers.
        flows: approximate number of concurrently open flows.
        seconds: time after which no more flows are opened.
    """
    number = itertools.count()
    arrivals = []
    for share, mean_duration in (
        (_LONG_SHARE, _MEAN_LONG_SECONDS),
        (1 - _LONG_SHARE, _MEAN_SHORT_SECONDS),
    ):
        for _ in range(round(flows * share)):
            at = rng.uniform(0, _RAMP_UP_SECONDS)
            while at < seconds:
                duration = rng.expovariate(1 / mean_duration)
                arrivals.append(Arrival(at, duration, next(number)))
                at += duration
    return sorted(arrivals, key=_arrival_time)


def _arrival_time(arrival: Arrival) -> float:
    return arrival.at


class Traffic:
    """Sends the packets of random flows into a pool.

    Attributes:
        opened: number of successful attempts to open a flow.
        refused: number of failed attempts to open a flow.
        falsely_refused: number of failed attempts while a warm host had free
            capacity; always 0 unless the capacity is observed.
        broken_flows: flows that were open but no live upstream has any more.
    """

    def __init__(
        self,
        pool: Pool,
        arrivals: list[Arrival],
        send_interval_seconds: float | None = None,
        *,
        observes_capacity: bool = False,
    ) -> None:
        """Initialize the schedule of packets.

        Args:
            pool: pool that gets the packets.
            arrivals: flows to open.
            send_interval_seconds: time between packets of an open flow. By
                default no packet is sent between its opening and its end.
            observes_capacity: whether to observe the free capacity of the
                hosts, which takes seconds of processor time with 100 hosts.
        """
        self._pool = pool
        self._send_interval_seconds = send_interval_seconds
        self.opened = 0
        self.refused = 0
        self.falsely_refused = 0
        self._had_capacity: dict[int, bool] = {}
        self._free_since: dict[str, float] = {}
        #: Names of hosts by IP address.
        self._names: dict[str, str] = {}
        if observes_capacity:
            pool.network.on_deliver = self._observe_delivery
            self._sample_capacity()
        self.broken_flows: set[CallerEndpoint] = set()
        for arrival in arrivals:
            self._schedule(arrival.at, arrival, SYN, 0)

    def run(self, until: float) -> None:
        """Advance the virtual clock to ``until``."""
        self._pool.run(max(until - self._pool.clock.now, 0))

    def has_owner(self, arrival: Arrival) -> bool:
        """Return whether the upstream of a live sidecar has the flow open."""
        endpoint = arrival.endpoint
        # A loop, as a generator takes three times as long with 100 hosts.
        for sidecar in self._pool.sidecars.values():
            if has_flow(sidecar.upstream, endpoint) and sidecar.alive:
                return True
        return False

    def has_free_capacity(self) -> bool:
        """Return whether a warm host has had free capacity for 1 second.

        Hosts that accept no new work are left out. Capacity is sampled, and
        also observed at each packet that a host gets: the last unit may be
        taken and another one given back between two samples.
        """
        latest = self._pool.clock.now - _KNOWN_CAPACITY_SECONDS
        return any(since <= latest for since in self._free_since.values())

    def _send(self, arrival: Arrival, flags: int, tries: int) -> None:
        now = self._pool.clock.now
        if flags == SYN:
            self._open(arrival, tries)
        elif flags == ACK:
            self._continue(arrival, tries, now)
        else:
            self._spray(arrival, FIN | ACK)

    def _open(self, arrival: Arrival, tries: int) -> None:
        self._had_capacity[arrival.number] = self.has_free_capacity()
        self._spray(arrival, SYN)
        now = self._pool.clock.now
        self._schedule(now + _OPEN_CHECK_SECONDS, arrival, ACK, tries + 1)

    def _continue(self, arrival: Arrival, tries: int, now: float) -> None:
        """Send the next packet, retry a failed opening or replace a lost flow.

        ``tries`` is the number of attempts to open the flow; it is 0 if the
        flow was open before.
        """
        if self.has_owner(arrival):
            self.opened += bool(tries)
            self._had_capacity.pop(arrival.number, None)
            self._spray(arrival, ACK)
            self._schedule_next(arrival, now)
            return
        if not tries:
            self.broken_flows.add(arrival.endpoint)
            self._reconnect(arrival, now)
            return
        self.refused += 1
        had_capacity = self._had_capacity.pop(arrival.number, False)
        self.falsely_refused += had_capacity and self.has_free_capacity()
        if tries < _MAX_TRIES:
            delay = _RETRY_SECONDS - _OPEN_CHECK_SECONDS
            self._schedule(now + delay, arrival, SYN, tries)

    def _sample_capacity(self) -> None:
        for name in self._pool.sidecars:
            self._observe_capacity(name)
        self._pool.network.after(_SAMPLE_SECONDS, self._sample_capacity)

    def _observe_delivery(self, _datagram: bytes, receiver: Address) -> None:
        """Observe a host whose sidecar has just taken a unit for a packet."""
        ip_address, port = receiver
        if port == UPSTREAM_PORT:
            name = self._names.get(ip_address)
            if name is None:
                self._names = {
                    sidecar.address[0]: name
                    for name, sidecar in self._pool.sidecars.items()
                }
                name = self._names[ip_address]
            self._observe_capacity(name)

    def _observe_capacity(self, name: str) -> None:
        sidecar = self._pool.sidecars[name]
        if _has_free_capacity(sidecar, self._pool.site):
            self._free_since.setdefault(name, self._pool.clock.now)
        else:
            self._free_since.pop(name, None)

    def _reconnect(self, arrival: Arrival, now: float) -> None:
        """Open a new flow for the remaining time of a lost one."""
        remaining_seconds = arrival.at + arrival.duration_seconds - now
        if remaining_seconds > 0:
            new_arrival = Arrival(
                now, remaining_seconds, arrival.number + _RECONNECT_OFFSET
            )
            self._schedule(now, new_arrival, SYN, 0)

    def _schedule_next(self, arrival: Arrival, now: float) -> None:
        end = arrival.at + arrival.duration_seconds
        if (
            self._send_interval_seconds is None
            or now + self._send_interval_seconds >= end
        ):
            self._schedule(max(end, now), arrival, FIN, 0)
        else:
            self._schedule(now + self._send_interval_seconds, arrival, ACK, 0)

    def _spray(self, arrival: Arrival, flags: int) -> None:
        self._pool.spray(make_packet(arrival.flow, flags, b''))

    def _schedule(
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


def _has_free_capacity(sidecar: PoolSidecar, site: Site | None) -> bool:
    """Return whether a warm host has room and is to get new work.

    A host that the published site takes out of service is left out, even if it
    has not heard of that yet: the processes that have must not use it.
    """
    limits = sidecar.context.limits
    host = sidecar.context.host
    if limits is None or host is None or not sidecar.context.accepts_work:
        return False
    if site is not None and not site.accepts_work(host):
        return False
    return limits.connections.is_full and limits.connections.room > 0


@dataclass(frozen=True, slots=True)
class SiteShape:
    """Parameters of a site with one packet service, for experiments.

    Attributes:
        hosts: number of hosts.
        connections: connection limit of a warm host.
        cold_connections: connection limit of a host right after its start.
        warm_up_seconds: duration of the warm-up.
        data_centres: number of data centres, among which the hosts are
            distributed in turn.
    """

    hosts: int
    connections: int = 2000
    cold_connections: int = 2000
    warm_up_seconds: float = 0
    data_centres: int = 1

    def site(
        self,
        generation: int,
        out: Collection[int] = (),
        draining: Collection[int] = (),
        weights: dict[int, float] | None = None,
    ) -> Site:
        """Return the site of a generation.

        Args:
            generation: number of the generation.
            out: numbers of the data centres that are out of service.
            draining: numbers of the hosts that are draining.
            weights: weights of hosts by number, where they differ from 1.
        """
        host_weights = weights or {}
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
                        'fou': {
                            'address': _SERVICE_ADDRESS[0],
                            'port': _SERVICE_ADDRESS[1],
                        },
                    },
                    'connections': self.connections,
                    'cold': {
                        'connections': self.cold_connections,
                        'slots': 1,
                        'warm_up_seconds': self.warm_up_seconds,
                    },
                    'hosts': {
                        host_name(number): {
                            'data_centre': self.data_centre_of(number),
                            'address': monitored_sidecar_address(number)[0],
                            'port': monitored_sidecar_address(number)[1],
                            'weight': host_weights.get(number, 1),
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

    def data_centre_of(self, number: int) -> str:
        """Return the name of the data centre of a host."""
        return f'centre-{number % self.data_centres}'
