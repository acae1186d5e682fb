"""Packets a second of one entry against a bare forwarder."""

import asyncio
import contextlib
import socket
import statistics
import time

from siskinbank.config.site import Address
from siskinbank.lab.experiment import ExperimentReport, at_least
from siskinbank.lab.fleet import Fleet, FleetPlan
from siskinbank.lab.ports import free_ports
from siskinbank.lab.standins.packets import ACK, Flow, make_packet
from siskinbank.wire.keys import KeyRing, parse_keys
from siskinbank.wire.messages import Owner, encode
from siskinbank.wire.packets import pack_address, parse_inner

__all__ = ('blast', 'measure_forwarding')

_HOSTS = 7
_FLOWS = 1000
_PAYLOAD_BYTES = 200
_WINDOW_SECONDS = 1.0
_SETTLE_SECONDS = 0.2
_RECEIVE_BUFFER_BYTES = 8 * 1024 * 1024
_LEAST_RATIO = 0.5
_LOOPBACK = '127.0.0.1'
_CALLER_PORT = 4000
_BLAST_SECONDS = 2.0
_START_SECONDS = 1
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
    own: Address = sink.getsockname()
    try:
        await fleet.start_without_hosts()
        await _publish_sink(fleet, own)
        _teach(fleet, own)
        bare = (_LOOPBACK, free_ports(1)[0])
        await _start_bare(fleet, bare, own)
        entry = (_LOOPBACK, fleet.entries['entry-1'].fou)
        rates: dict[Address, list[float]] = {bare: [], entry: []}
        for number in range(rounds):
            for target, measured in rates.items():
                name = f'blast-{number}-{target[1]}'
                measured.append(await _flood(fleet, name, target, sink))
        return rates[entry], rates[bare]
    finally:
        await fleet.stop()
        sink.close()


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
    bind = (_LOOPBACK, fleet.entries['entry-1'].bind)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for packet in _make_packets(_service(fleet)):
            inner = parse_inner(packet)
            assert inner is not None
            told = encode(Owner(inner.key, pack_address(sink)))
            sender.sendto(keys.seal(_CONTROL + told), bind)


async def _flood(
    fleet: Fleet,
    name: str,
    target: Address,
    sink: socket.socket,
) -> float:
    """Return the datagrams a second that come out while many go in."""
    service = _service(fleet)
    await fleet.processes.start(
        name,
        [
            'lab',
            'blast',
            '--to',
            f'{target[0]}:{target[1]}',
            '--service',
            f'{service[0]}:{service[1]}',
            '--seconds',
            str(_BLAST_SECONDS),
        ],
    )
    rate = await asyncio.to_thread(_count, sink)
    await fleet.processes.wait(name, _BLAST_SECONDS * 2)
    return rate


def _count(sink: socket.socket) -> float:
    """Wait for the first datagram, then count for a while."""
    buffer = bytearray(_BUFFER_BYTES)
    patience = time.monotonic() + _BLAST_SECONDS * 2
    while time.monotonic() < patience:
        with contextlib.suppress(TimeoutError):
            sink.recv_into(buffer)
            break
    time.sleep(_SETTLE_SECONDS)
    _empty(sink, buffer)
    count = 0
    start = time.monotonic()
    while time.monotonic() - start < _WINDOW_SECONDS:
        with contextlib.suppress(TimeoutError):
            sink.recv_into(buffer)
            count += 1
    return count / (time.monotonic() - start)


def _empty(sink: socket.socket, buffer: bytearray) -> None:
    sink.settimeout(0)
    with contextlib.suppress(BlockingIOError):
        while sink.recv_into(buffer):
            continue
    sink.settimeout(_SETTLE_SECONDS)


def blast(target: Address, service: Address, seconds: float) -> None:
    """Send packets of many flows to ``target`` for a while."""
    packets = _make_packets(service)
    until = time.monotonic() + seconds
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        while time.monotonic() < until:
            for packet in packets:
                sender.sendto(packet, target)
