"""Measures the cost of keys for packets and streams."""

import asyncio
import random
import statistics
import time
from collections.abc import Awaitable, Callable

from siskinbank.config.site import Address
from siskinbank.kernel.process import ProcessContext
from siskinbank.lab.experiment import ExperimentReport, at_least
from siskinbank.lab.pool import Pool
from siskinbank.lab.sites import SERVICE_ADDRESS, PoolPlan, host_address
from siskinbank.lab.standins.packets import ACK, SYN, Flow, make_packet
from siskinbank.peers.connect import PeerStreams
from siskinbank.wire.keys import KEY_BYTES, Key, KeyRing
from siskinbank.wire.streams import MessageStream

__all__ = ('measure_key_cost',)

_HOSTS = 7
_FLOWS = 500
_PAYLOAD_BYTES = 200
_STREAM_BYTES = 32 * 1024 * 1024
_CHUNK = bytes(64 * 1024)
_OPENED_STREAMS = 40
_MEBIBYTE = 1024 * 1024
_MILLISECONDS_PER_SECOND = 1000
_MICROSECONDS_PER_SECOND = 1_000_000
_SEALED_PACKETS = 20_000
#: Size of the header of an envelope with one candidate.
_ENVELOPE_HEADER_BYTES = 40
#: Minimum ratio of the rate with keys to the rate without.
_MIN_PACKET_SHARE = 0.5
_MIN_STREAM_SHARE = 0.2


class _PlaintextKeyRing(KeyRing):
    """Passes datagrams unchanged, as the baseline of the comparison."""

    def seal(self, body: bytes) -> bytes:
        """Return the body unchanged."""
        return body

    def seal_parts(self, head: bytes, tail: bytes) -> bytes:
        """Return the concatenated parts."""
        return head + tail

    def open(self, datagram: bytes) -> bytes | None:
        """Return the datagram unchanged."""
        return datagram


def measure_key_cost(seed: int, rounds: int) -> ExperimentReport:
    """Measure with and without keys in turn and report the medians."""
    secret = random.Random(seed).randbytes(KEY_BYTES)
    keyed = KeyRing([Key(1, secret)])
    plain = _PlaintextKeyRing([Key(1, secret)])
    packets: dict[KeyRing, list[float]] = {keyed: [], plain: []}
    streams: dict[bool, list[tuple[float, float]]] = {True: [], False: []}
    for _ in range(rounds):
        for ring, rates in packets.items():
            rates.append(_packet_rate(seed, ring))
        for with_tls, measured in streams.items():
            measured.append(asyncio.run(_stream_rates(keyed, with_tls)))
    with_keys = _figures(packets[keyed], streams[True], _seal_cost(keyed))
    without = _figures(packets[plain], streams[False], _seal_cost(plain))
    return ExperimentReport(
        'key-cost',
        seed,
        with_keys,
        without,
        [
            at_least(
                'share of the packet rate',
                _MIN_PACKET_SHARE,
                with_keys['packets_a_second'] / without['packets_a_second'],
            ),
            at_least(
                'share of the stream rate',
                _MIN_STREAM_SHARE,
                with_keys['mebibytes_a_second'] / without['mebibytes_a_second'],
            ),
        ],
    )


def _figures(
    packets: list[float],
    streams: list[tuple[float, float]],
    seal_cost: float,
) -> dict[str, float]:
    return {
        'packets_a_second': statistics.median(packets),
        'seal_and_open_microseconds': seal_cost,
        'mebibytes_a_second': statistics.median(rate for rate, _ in streams),
        'opening_milliseconds': statistics.median(
            open_milliseconds for _, open_milliseconds in streams
        ),
    }


def _seal_cost(ring: KeyRing) -> float:
    """Return the microseconds to seal and open one packet."""
    head = bytes(_ENVELOPE_HEADER_BYTES)
    tail = bytes(_PAYLOAD_BYTES)
    started = time.process_time()
    for _ in range(_SEALED_PACKETS):
        ring.open(ring.seal_parts(head, tail))
    return (
        (time.process_time() - started)
        / _SEALED_PACKETS
        * _MICROSECONDS_PER_SECOND
    )


def _packet_rate(seed: int, ring: KeyRing) -> float:
    """Return the packets per second of entry and sidecar in one process."""
    pool = Pool(seed, ring)
    pool.add_entry('entry-1', 1)
    for number in range(_HOSTS):
        pool.add_sidecar(f'matcher-{number}', host_address(number))
    pool.publish(PoolPlan(dict.fromkeys(range(_HOSTS), 'active')).next_site())
    flows = [
        Flow('10.9.0.1', port, *SERVICE_ADDRESS)
        for port in range(1024, 1024 + _FLOWS)
    ]
    for flow in flows:
        pool.spray(make_packet(flow, SYN))
    pool.run(1)
    payload = bytes(_PAYLOAD_BYTES)
    packets = [make_packet(known, ACK, payload) for known in flows]
    entry = pool.entries['entry-1'].ingress
    started = time.process_time()
    for packet in packets * 4:
        entry.receive(packet, ('10.250.0.1', 1))
    pool.network.run(1)
    return len(packets) * 4 / (time.process_time() - started)


async def _stream_rates(ring: KeyRing, with_tls: bool) -> tuple[float, float]:
    """Return the MiB per second of a stream and the ms to open one."""
    tasks: set[asyncio.Task[None]] = set()

    def accept(stream: MessageStream) -> None:
        tasks.add(asyncio.create_task(_drain(stream)))

    streams = PeerStreams(ProcessContext('lab', 'key-cost'), ring)
    listen, connect = _stream_functions(streams, with_tls)
    server = await listen(('127.0.0.1', 0), accept)
    address = server.sockets[0].getsockname()
    try:
        rate = await _send_all(await connect(address), tasks)
        open_milliseconds = await _open_many(connect, address)
        await asyncio.wait(tasks)
    finally:
        server.close()
    return rate, open_milliseconds


async def _send_all(
    stream: MessageStream,
    tasks: set[asyncio.Task[None]],
) -> float:
    """Return the MiB per second until the receiver has read everything."""
    started = time.process_time()
    for _ in range(_STREAM_BYTES // len(_CHUNK)):
        stream.writer.write(_CHUNK)
        await stream.writer.drain()
    await stream.close()
    await asyncio.wait(tasks)
    return _STREAM_BYTES / _MEBIBYTE / (time.process_time() - started)


async def _open_many(connect: 'Connect', address: Address) -> float:
    """Return the milliseconds to open and close a stream."""
    started = time.process_time()
    for _ in range(_OPENED_STREAMS):
        stream = await connect(address)
        await stream.close()
    seconds = (time.process_time() - started) / _OPENED_STREAMS
    return seconds * _MILLISECONDS_PER_SECOND


Listen = Callable[
    [Address, Callable[[MessageStream], None]],
    Awaitable[asyncio.Server],
]
Connect = Callable[[Address], Awaitable[MessageStream]]


def _stream_functions(
    streams: PeerStreams, with_tls: bool
) -> tuple[Listen, Connect]:
    if with_tls:
        return streams.listen, streams.connect

    async def listen(
        address: Address,
        accept: Callable[[MessageStream], None],
    ) -> asyncio.Server:
        def on_connect(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            accept(MessageStream(reader, writer))

        return await asyncio.start_server(on_connect, *address)

    async def connect(address: Address) -> MessageStream:
        return MessageStream(*await asyncio.open_connection(*address))

    return listen, connect


async def _drain(stream: MessageStream) -> None:
    try:
        while not stream.reader.at_eof():
            await stream.reader.read(len(_CHUNK))
    finally:
        stream.writer.close()
