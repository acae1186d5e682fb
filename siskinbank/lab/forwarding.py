"""Packets a second of one entry against a bare forwarder."""

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
from siskinbank.wire.keys import KeyRing, parse_keys
from siskinbank.wire.flow_messages import Owner
from siskinbank.wire.messages import encode
from siskinbank.wire.packets import pack_address, parse_inner
from siskinbank.wire.replay import ReplayGuard

__all__ = ('measure_forwarding',)

_HOSTS = 7
_FLOWS = 1000
_PAYLOAD_BYTES = 200
_WINDOW_SECONDS = 1.0
_SETTLE_SECONDS = 0.2
_RECEIVE_BUFFER_BYTES = 8 * 1024 * 1024
_LEAST_RATIO = 0.5
_LOOPBACK = '127.0.0.1'
_CALLER_PORT = 4000
_WINDOW_PACKETS = 64
_START_SECONDS = 1
_PACE_SECONDS = 0.0005
_BUFFER_BYTES = 65536
_CONTROL = b'\0'


def measure_forwarding(seed: int, rounds: int) -> ExperimentReport:
    """Flood an entry and a bare forwarder in turn."""
    entry, bare = asyncio.run(_measure(rounds))
    ratio = statistics.median(entry) / max(statistics.median(bare), 1)
    return ExperimentReport(
        'forwarding',
        seed,
        {'packets_a_second': statistics.median(entry), 'rounds': entry},
        {'packets_a_second': statistics.median(bare), 'rounds': bare},
        [at_least('ratio to the bare forwarder', _LEAST_RATIO, ratio)],
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
    own: Address = sink.getsockname()
    await fleet.start_without_hosts()
    await _publish_sink(fleet, own)
    _teach(fleet, own)
    bare = (_LOOPBACK, free_ports(1)[0])
    await _start_bare(fleet, bare, own)
    entry = (_LOOPBACK, fleet.entries['entry-1'].fou)
    packets = _make_packets(_service(fleet))
    rates: dict[Address, list[float]] = {bare: [], entry: []}
    for _ in range(rounds):
        for target, measured in rates.items():
            rate = await asyncio.to_thread(_drive, packets, target, sink)
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
    sink.settimeout(_SETTLE_SECONDS)
    return sink


def _make_packets(service: Address) -> list[bytes]:
    flows = (
        Flow(f'10.9.{number >> 8}.{number & 0xFF}', _CALLER_PORT, *service)
        for number in range(_FLOWS)
    )
    return [make_packet(flow, ACK, bytes(_PAYLOAD_BYTES)) for flow in flows]


def _service(fleet: Fleet) -> Address:
    return '10.77.0.1', fleet.services['packets']['fou']


def _teach(fleet: Fleet, sink: Address) -> None:
    """Tell the entry that the sink owns all flows."""
    keys = KeyRing(parse_keys(fleet.key))
    guard = ReplayGuard()
    bind = (_LOOPBACK, fleet.entries['entry-1'].bind)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for packet in _make_packets(_service(fleet)):
            inner = parse_inner(packet)
            assert inner is not None
            told = encode(Owner(inner.flow, pack_address(sink), 1, 1))
            sender.sendto(keys.seal(_CONTROL + guard.stamp() + told), bind)
            time.sleep(_PACE_SECONDS)


def _drive(
    packets: list[bytes],
    target: Address,
    sink: socket.socket,
) -> float:
    """Return the packets a second with a full window in flight.

    A new packet goes in for each that comes out, so that the forwarder is
    always busy and its queue never overflows.
    """
    buffer = bytearray(_BUFFER_BYTES)
    waiting = itertools.cycle(packets)
    count = 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        start = time.monotonic()
        _fill_window(sender, waiting, target)
        while time.monotonic() - start < _WINDOW_SECONDS:
            try:
                sink.recv_into(buffer)
            except TimeoutError:
                _fill_window(sender, waiting, target)
                continue
            count += 1
            sender.sendto(next(waiting), target)
        elapsed = time.monotonic() - start
    _empty(sink, buffer)
    return count / elapsed


def _fill_window(
    sender: socket.socket,
    waiting: Iterator[bytes],
    target: Address,
) -> None:
    for packet in itertools.islice(waiting, _WINDOW_PACKETS):
        sender.sendto(packet, target)


def _empty(sink: socket.socket, buffer: bytearray) -> None:
    """Wait until nothing is in flight."""
    with contextlib.suppress(TimeoutError):
        received = 1
        while received:
            received = sink.recv_into(buffer)
