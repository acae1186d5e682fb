"""Compares the packet rate of an entry with that of a bare forwarder."""

import asyncio
import contextlib
import itertools
import socket
import statistics
import time
from collections.abc import Iterator

from siskinbank.config.site import Address
from siskinbank.lab.experiment import ExperimentReport, at_least
from siskinbank.lab.fleet import Fleet, FleetPlan
from siskinbank.lab.ports import free_ports
from siskinbank.lab.standins.packets import ACK, Flow, make_packet
from siskinbank.wire.flow_messages import Owner
from siskinbank.wire.keys import KeyRing, parse_keys
from siskinbank.wire.messages import encode
from siskinbank.wire.packets import pack_address, parse_inner
from siskinbank.wire.replay import ReplayGuard

__all__ = ('measure_forwarding',)

_HOSTS = 7
_FLOWS = 1000
_PAYLOAD_BYTES = 200
_MEASURED_SECONDS = 1.0
_RECEIVE_TIMEOUT_SECONDS = 0.2
_RECEIVE_BUFFER_BYTES = 8 * 1024 * 1024
_MIN_RATIO = 0.5
_LOOPBACK = '127.0.0.1'
_CALLER_PORT = 4000
_WINDOW_PACKETS = 64
_START_SECONDS = 1
_SEND_INTERVAL_SECONDS = 0.0005
_BUFFER_BYTES = 65536
#: First byte of the body of a control datagram.
_CONTROL_PREFIX = b'\0'


def measure_forwarding(seed: int, rounds: int) -> ExperimentReport:
    """Measure the packet rates of an entry and a bare forwarder in turn."""
    entry, bare = asyncio.run(_measure(rounds))
    ratio = statistics.median(entry) / max(statistics.median(bare), 1)
    return ExperimentReport(
        'forwarding',
        seed,
        {'packets_a_second': statistics.median(entry), 'rounds': entry},
        {'packets_a_second': statistics.median(bare), 'rounds': bare},
        [at_least('ratio to the bare forwarder', _MIN_RATIO, ratio)],
    )


async def _measure(rounds: int) -> tuple[list[float], list[float]]:
    fleet = Fleet(FleetPlan('lab', ('lab-a',), 1, {'packets': _HOSTS}))
    sink = _open_sink()
    try:
        return await _measure_with(fleet, sink, rounds)
    finally:
        await fleet.stop()
        sink.close()


async def _measure_with(
    fleet: Fleet,
    sink: socket.socket,
    rounds: int,
) -> tuple[list[float], list[float]]:
    sink_address: Address = sink.getsockname()
    await fleet.start_without_hosts()
    await _publish_sink(fleet, sink_address)
    _announce_owner(fleet, sink_address)
    bare = (_LOOPBACK, free_ports(1)[0])
    await _start_bare(fleet, bare, sink_address)
    entry = (_LOOPBACK, fleet.entries['entry-1'].fou)
    packets = _make_packets(_service_address(fleet))
    rates: dict[Address, list[float]] = {bare: [], entry: []}
    for _ in range(rounds):
        for target, measured in rates.items():
            rate = await asyncio.to_thread(_measure_rate, packets, target, sink)
            measured.append(rate)
    return rates[entry], rates[bare]


async def _publish_sink(fleet: Fleet, sink: Address) -> None:
    """Publish the sink as the address of the first host."""
    hosts = fleet.document['services']['packets']['hosts']
    hosts['packets-1']['port'] = sink[1]
    await fleet.publish()
    await fleet.wait_generation(fleet.entries['entry-1'].admin)


async def _start_bare(fleet: Fleet, bare: Address, sink: Address) -> None:
    await fleet.processes.start(
        'bare',
        [
            'lab',
            'bare-forwarder',
            '--bind',
            f'{bare[0]}:{bare[1]}',
            '--to',
            f'{sink[0]}:{sink[1]}',
        ],
    )
    await asyncio.sleep(_START_SECONDS)


def _open_sink() -> socket.socket:
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_RCVBUF,
        _RECEIVE_BUFFER_BYTES,
    )
    sink.bind((_LOOPBACK, 0))
    sink.settimeout(_RECEIVE_TIMEOUT_SECONDS)
    return sink


def _make_packets(service: Address) -> list[bytes]:
    flows = (
        Flow(f'10.9.{number >> 8}.{number & 0xFF}', _CALLER_PORT, *service)
        for number in range(_FLOWS)
    )
    return [make_packet(flow, ACK, bytes(_PAYLOAD_BYTES)) for flow in flows]


def _service_address(fleet: Fleet) -> Address:
    return '10.77.0.1', fleet.services['packets']['fou']


def _announce_owner(fleet: Fleet, sink: Address) -> None:
    """Announce the sink to the entry as the owner of all flows."""
    keys = KeyRing(parse_keys(fleet.key))
    replay_guard = ReplayGuard()
    entry_address = (_LOOPBACK, fleet.entries['entry-1'].bind)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for packet in _make_packets(_service_address(fleet)):
            inner = parse_inner(packet)
            assert inner is not None
            message = encode(Owner(inner.flow, pack_address(sink), 1, 1))
            sender.sendto(
                keys.seal(_CONTROL_PREFIX + replay_guard.stamp() + message),
                entry_address,
            )
            time.sleep(_SEND_INTERVAL_SECONDS)


def _measure_rate(
    packets: list[bytes],
    target: Address,
    sink: socket.socket,
) -> float:
    """Return the packets per second with a constant number in flight.

    Each received packet is replaced by a new one, which keeps the forwarder
    busy without overflowing its queue.
    """
    buffer = bytearray(_BUFFER_BYTES)
    packet_cycle = itertools.cycle(packets)
    count = 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        start = time.monotonic()
        _fill_window(sender, packet_cycle, target)
        while time.monotonic() - start < _MEASURED_SECONDS:
            try:
                sink.recv_into(buffer)
            except TimeoutError:
                _fill_window(sender, packet_cycle, target)
                continue
            count += 1
            sender.sendto(next(packet_cycle), target)
        elapsed = time.monotonic() - start
    _drain(sink, buffer)
    return count / elapsed


def _fill_window(
    sender: socket.socket,
    packet_cycle: Iterator[bytes],
    target: Address,
) -> None:
    for packet in itertools.islice(packet_cycle, _WINDOW_PACKETS):
        sender.sendto(packet, target)


def _drain(sink: socket.socket, buffer: bytearray) -> None:
    """Receive until no packet is in flight."""
    with contextlib.suppress(TimeoutError):
        received = 1
        while received:
            received = sink.recv_into(buffer)
