"""Measures the cost of a packet and a flow in an entry and a sidecar."""

import asyncio
import gc
import itertools
import random
import resource
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from siskinbank.config.site import Address
from siskinbank.lab.experiment import ExperimentReport, at_most
from siskinbank.lab.pool import UPSTREAM_PORT, Pool, PoolEntry, PoolSidecar
from siskinbank.lab.sites import (
    SERVICE,
    SERVICE_ADDRESS,
    PoolPlan,
    host_address,
)
from siskinbank.lab.standins.packets import ACK, SYN, Flow, make_packet
from siskinbank.sidecar.flows import Pointer
from siskinbank.util import digest64
from siskinbank.wire.envelopes import OWNER_NAMED, UNCACHED, Envelope
from siskinbank.wire.flow_messages import Owner
from siskinbank.wire.packets import flow_number, pack_address, parse_inner

__all__ = ('measure_cost',)

_FLOW_COUNTS = (1_000, 30_000, 300_000)
_TIMED_PACKETS = 1_000
_ROUNDS = 7
_MICROSECONDS_PER_SECOND = 1_000_000
_PAYLOAD = bytes(200)
_PORTS_PER_ADDRESS = 50_000
_FIRST_PORT = 2000
_SENDER: Address = ('10.250.0.1', 1)
#: Design size: 3.6 million flows on 3,200 hosts behind 410 entries.
_FLOWS_PER_HOST = 1_125
_FLOWS_PER_ENTRY = 8_781
_MAX_CONTROL_BYTES_PER_SECOND = 28 * 1024
_MAX_CORE_SHARE = 0.01
_MAX_STATE_BYTES = 32 * 1024 * 1024
_CONTROL_SECONDS = 120
_POOL_HOSTS = (9, 100)
_SETTLE_SECONDS = 70


def measure_cost(seed: int) -> ExperimentReport:
    """Measure time per packet, memory per flow and control traffic."""
    sizes = {size: _measure_size(seed, size) for size in _FLOW_COUNTS}
    control = {hosts: _measure_control(seed, hosts) for hosts in _POOL_HOSTS}
    largest = sizes[_FLOW_COUNTS[-1]]
    small_pool = control[_POOL_HOSTS[0]]
    entry_bytes = largest['entry_bytes_a_flow'] * _FLOWS_PER_ENTRY
    host_bytes = largest['sidecar_bytes_a_flow'] * _FLOWS_PER_HOST
    naive = {
        size: measured.pop('naive_microseconds')
        for size, measured in sizes.items()
    }
    return ExperimentReport(
        'cost',
        seed,
        {'sizes': sizes, 'control': control},
        {'microseconds': naive},
        [
            at_most(
                'control bytes a second of a sidecar after a change',
                _MAX_CONTROL_BYTES_PER_SECOND,
                small_pool['bytes_a_second'],
            ),
            at_most(
                'share of a core for announcing',
                _MAX_CORE_SHARE,
                small_pool['share_of_a_core'],
            ),
            at_most(
                'bytes of the routes of an entry', _MAX_STATE_BYTES, entry_bytes
            ),
            at_most(
                'bytes of the flows of a sidecar', _MAX_STATE_BYTES, host_bytes
            ),
        ],
    )


class _DiscardingTransport(asyncio.DatagramTransport):
    """Discards all datagrams."""

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Discard one datagram."""


def _measure_size(seed: int, size: int) -> dict[str, float]:
    pool, entry, sidecar = _start(seed)
    flows = [_flow(number) for number in range(size)]
    sampled = random.Random(seed).sample(flows, _TIMED_PACKETS)
    known_packets = [make_packet(flow, ACK, _PAYLOAD) for flow in sampled]
    entry_bytes = (
        _measure_memory(lambda: _add_routes(entry, sidecar, flows)) / size
    )
    sidecar_bytes = (
        _measure_memory(lambda: _add_flows(sidecar, flows, pool.clock.now))
        / size
    )
    pointer_bytes = _measure_memory(lambda: _add_pointers(sidecar, size)) / size
    new_packets = [
        make_packet(_flow(size + number), SYN, _PAYLOAD)
        for number in range(_TIMED_PACKETS)
    ]
    known_datagrams = _seal_known(sidecar, known_packets)
    return {
        'entry_known_microseconds': _best_microseconds(
            known_packets,
            lambda raw: entry.ingress.receive(raw, _SENDER),
        ),
        'entry_new_microseconds': _best_microseconds(
            new_packets,
            lambda raw: entry.ingress.receive(raw, _SENDER),
        ),
        'sidecar_known_microseconds': _best_microseconds(
            known_datagrams,
            lambda raw: sidecar.context.peers.receive(raw, _SENDER),
        ),
        'sidecar_new_microseconds': _mean_microseconds(
            _seal_new(sidecar, new_packets),
            lambda raw: sidecar.context.peers.receive(raw, _SENDER),
        ),
        'naive_microseconds': _best_microseconds(
            known_packets, _make_naive_forwarder()
        ),
        'entry_bytes_a_flow': entry_bytes,
        'sidecar_bytes_a_flow': sidecar_bytes,
        'pointer_bytes_a_flow': pointer_bytes,
    }


def _start(seed: int) -> tuple[Pool, PoolEntry, PoolSidecar]:
    pool = Pool(seed)
    plan = PoolPlan(dict.fromkeys(range(_POOL_HOSTS[0]), 'active'))
    entry = pool.add_entry('entry-0', 0)
    sidecar = pool.add_sidecar(f'{SERVICE}-0', host_address(0))
    pool.publish(plan.next_site())
    pool.run(_SETTLE_SECONDS)
    for peers in (entry.ingress.peers, sidecar.context.peers):
        peers.attach_transport(_DiscardingTransport())
    pool.network.unbind((sidecar.address[0], UPSTREAM_PORT))
    return pool, entry, sidecar


def _flow(number: int) -> Flow:
    address = f'10.{number // _PORTS_PER_ADDRESS}.7.7'
    return Flow(
        address, _FIRST_PORT + number % _PORTS_PER_ADDRESS, *SERVICE_ADDRESS
    )


def _flow_key(flow: Flow) -> bytes:
    packet = parse_inner(make_packet(flow, ACK))
    assert packet is not None
    return packet.flow


def _add_routes(
    entry: PoolEntry, sidecar: PoolSidecar, flows: list[Flow]
) -> None:
    owner = pack_address(sidecar.address)
    for flow in flows:
        entry.ingress.learn(Owner(_flow_key(flow), owner, 1, 1), _SENDER)


def _add_flows(sidecar: PoolSidecar, flows: list[Flow], now: float) -> None:
    for flow in flows:
        sidecar.handler.flows.add(_flow_key(flow), now)


def _add_pointers(sidecar: PoolSidecar, count: int) -> None:
    pointer = Pointer(bytes(6), 1, 1, 1000)
    for number in range(count):
        sidecar.handler.pointers.put(digest64(str(number)), pointer)


def _seal_known(sidecar: PoolSidecar, packets: list[bytes]) -> list[bytes]:
    return [_seal(sidecar, OWNER_NAMED, raw) for raw in packets]


def _seal_new(sidecar: PoolSidecar, packets: list[bytes]) -> list[bytes]:
    return [_seal(sidecar, UNCACHED, raw) for raw in packets]


def _seal(sidecar: PoolSidecar, flags: int, raw: bytes) -> bytes:
    receiver = pack_address(sidecar.address)
    service_digest = digest64(SERVICE)
    envelope = Envelope(
        flags, 0, 0, service_digest, 1, 0, receiver, (receiver,), raw
    )
    return sidecar.context.peers.keys.seal(envelope.pack())


def _make_naive_forwarder() -> Callable[[bytes], None]:
    """Return a stateless forwarder by hash modulo hosts."""
    hosts = [host_address(number) for number in range(_POOL_HOSTS[0])]
    transport = _DiscardingTransport()

    def forward(raw: bytes) -> None:
        packet = parse_inner(raw)
        assert packet is not None
        transport.sendto(raw, hosts[packet.key % len(hosts)])

    return forward


def _measure_memory(fill: Callable[[], None]) -> float:
    """Return the growth of resident memory by ``fill`` in bytes."""
    gc.collect()
    before = _resident_bytes()
    fill()
    gc.collect()
    return _resident_bytes() - before


def _resident_bytes() -> int:
    pages = Path('/proc/self/statm').read_text(encoding='ascii').split()[1]
    return int(pages) * resource.getpagesize()


def _best_microseconds(
    datagrams: list[bytes], handle: Callable[[bytes], None]
) -> float:
    """Return the microseconds per call in the fastest of several rounds."""
    return min(_mean_microseconds(datagrams, handle) for _ in range(_ROUNDS))


def _mean_microseconds(
    datagrams: list[bytes], handle: Callable[[bytes], None]
) -> float:
    start = time.perf_counter()
    for raw in datagrams:
        handle(raw)
    elapsed = time.perf_counter() - start
    return elapsed / len(datagrams) * _MICROSECONDS_PER_SECOND


def _measure_control(seed: int, hosts: int) -> dict[str, float]:
    """Measure the control traffic of a sidecar after a host was added."""
    pool = Pool(seed)
    plan = PoolPlan(dict.fromkeys(range(hosts), 'active'))
    sidecar = pool.add_sidecar(f'{SERVICE}-0', host_address(0))
    pool.publish(plan.next_site())
    pool.run(_SETTLE_SECONDS)
    _add_flows(sidecar, _primary_flows(sidecar, hosts), pool.clock.now)
    plan.states[hosts] = 'active'
    receivers: set[Address] = set()
    datagram_sizes: list[int] = []

    def on_deliver(datagram: bytes, receiver: Address) -> None:
        datagram_sizes.append(len(datagram))
        receivers.add(receiver)

    pool.network.on_deliver = on_deliver
    start = time.process_time()
    pool.publish(plan.next_site())
    pool.run(_CONTROL_SECONDS)
    cpu_seconds = time.process_time() - start
    return {
        'bytes_a_second': sum(datagram_sizes) / _CONTROL_SECONDS,
        'datagrams_a_second': len(datagram_sizes) / _CONTROL_SECONDS,
        'peers': len(receivers),
        'share_of_a_core': cpu_seconds / _CONTROL_SECONDS,
    }


def _primary_flows(sidecar: PoolSidecar, hosts: int) -> list[Flow]:
    """Return as many flows as a host has at the design size.

    In the small pool the host is the primary host of all of them.
    """
    flows = (_flow(number) for number in itertools.count())
    if hosts > _POOL_HOSTS[0]:
        # In a large pool, far more flow numbers would have to be ranked to
        # find flows with this primary host; any other flows cost no less.
        return list(itertools.islice(flows, _FLOWS_PER_HOST))
    service = sidecar.context.service
    assert service is not None
    rank_hosts = sidecar.context.router.ranks(service).known
    own_name = sidecar.process.name
    primary_flows = (
        flow
        for flow in flows
        if rank_hosts(flow_number(_flow_key(flow)))[0].name == own_name
    )
    return list(itertools.islice(primary_flows, _FLOWS_PER_HOST))
