"""What one packet and one flow cost in an entry and in a sidecar."""

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

_SIZES = (1_000, 30_000, 300_000)
_TIMED_PACKETS = 1_000
_REPEATS = 7
_MICROSECONDS = 1_000_000
_PAYLOAD = bytes(200)
_PORTS = 50_000
_FIRST_PORT = 2000
_SENDER: Address = ('10.250.0.1', 1)
#: The stated size: 3.6 million flows on 3,200 hosts behind 410 entries.
_HOST_FLOWS = 1_125
_ENTRY_FLOWS = 8_781
_CONTROL_BYTES_A_SECOND = 28 * 1024
_CONTROL_SHARE = 0.01
_MEMORY_BYTES = 32 * 1024 * 1024
_CONTROL_SECONDS = 120
_POOLS = (9, 100)
_SETTLE_SECONDS = 70


def measure_cost(seed: int) -> ExperimentReport:
    """Time decisions, weigh state, and count control traffic."""
    sizes = {size: _measure_size(seed, size) for size in _SIZES}
    control = {hosts: _measure_control(seed, hosts) for hosts in _POOLS}
    largest = sizes[_SIZES[-1]]
    usual = control[_POOLS[0]]
    entry_bytes = largest['entry_bytes_a_flow'] * _ENTRY_FLOWS
    host_bytes = largest['sidecar_bytes_a_flow'] * _HOST_FLOWS
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
                _CONTROL_BYTES_A_SECOND,
                usual['bytes_a_second'],
            ),
            at_most(
                'share of a core for announcing',
                _CONTROL_SHARE,
                usual['share_of_a_core'],
            ),
            at_most(
                'bytes of the routes of an entry', _MEMORY_BYTES, entry_bytes
            ),
            at_most(
                'bytes of the flows of a sidecar', _MEMORY_BYTES, host_bytes
            ),
        ],
    )


class _Sink(asyncio.DatagramTransport):
    """Takes datagrams and forgets them."""

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Forget one datagram."""


def _measure_size(seed: int, size: int) -> dict[str, float]:
    pool, entry, sidecar = _start(seed)
    flows = [_flow(number) for number in range(size)]
    picked = random.Random(seed).sample(flows, _TIMED_PACKETS)
    later = [make_packet(flow, ACK, _PAYLOAD) for flow in picked]
    entry_bytes = _weigh(lambda: _teach(entry, sidecar, flows)) / size
    sidecar_bytes = _weigh(lambda: _own(sidecar, flows, pool.clock.now)) / size
    pointer_bytes = _weigh(lambda: _point(sidecar, size)) / size
    unknown = [
        make_packet(_flow(size + number), SYN, _PAYLOAD)
        for number in range(_TIMED_PACKETS)
    ]
    known = _bodies(sidecar, later)
    return {
        'entry_known_microseconds': _time(
            later,
            lambda raw: entry.ingress.receive(raw, _SENDER),
        ),
        'entry_new_microseconds': _time(
            unknown,
            lambda raw: entry.ingress.receive(raw, _SENDER),
        ),
        'sidecar_known_microseconds': _time(
            known,
            lambda raw: sidecar.context.peers.receive(raw, _SENDER),
        ),
        'sidecar_new_microseconds': _time_once(
            _offers(sidecar, unknown),
            lambda raw: sidecar.context.peers.receive(raw, _SENDER),
        ),
        'naive_microseconds': _time(later, _naive()),
        'entry_bytes_a_flow': entry_bytes,
        'sidecar_bytes_a_flow': sidecar_bytes,
        'pointer_bytes_a_flow': pointer_bytes,
    }


def _start(seed: int) -> tuple[Pool, PoolEntry, PoolSidecar]:
    pool = Pool(seed)
    plan = PoolPlan(dict.fromkeys(range(_POOLS[0]), 'active'))
    entry = pool.add_entry('entry-0', 0)
    sidecar = pool.add_sidecar(f'{SERVICE}-0', host_address(0))
    pool.publish(plan.next_site())
    pool.run(_SETTLE_SECONDS)
    for peers in (entry.ingress.peers, sidecar.context.peers):
        peers.use(_Sink())
    pool.network.unbind((sidecar.address[0], UPSTREAM_PORT))
    return pool, entry, sidecar


def _flow(number: int) -> Flow:
    address = f'10.{number // _PORTS}.7.7'
    return Flow(address, _FIRST_PORT + number % _PORTS, *SERVICE_ADDRESS)


def _key(flow: Flow) -> bytes:
    packet = parse_inner(make_packet(flow, ACK))
    assert packet is not None
    return packet.flow


def _teach(entry: PoolEntry, sidecar: PoolSidecar, flows: list[Flow]) -> None:
    own = pack_address(sidecar.address)
    for flow in flows:
        entry.ingress.learn(Owner(_key(flow), own, 1, 1), _SENDER)


def _own(sidecar: PoolSidecar, flows: list[Flow], now: float) -> None:
    for flow in flows:
        sidecar.handler.flows.add(_key(flow), now)


def _point(sidecar: PoolSidecar, count: int) -> None:
    pointer = Pointer(bytes(6), 1, 1, 1000)
    for number in range(count):
        sidecar.handler.pointers.put(digest64(str(number)), pointer)


def _bodies(sidecar: PoolSidecar, packets: list[bytes]) -> list[bytes]:
    return [_seal(sidecar, OWNER_NAMED, raw) for raw in packets]


def _offers(sidecar: PoolSidecar, packets: list[bytes]) -> list[bytes]:
    return [_seal(sidecar, UNCACHED, raw) for raw in packets]


def _seal(sidecar: PoolSidecar, flags: int, raw: bytes) -> bytes:
    own = pack_address(sidecar.address)
    ident = digest64(SERVICE)
    envelope = Envelope(flags, 0, 0, ident, 1, 0, own, (own,), raw)
    return sidecar.context.peers.keys.seal(envelope.pack())


def _naive() -> Callable[[bytes], None]:
    """Return a forwarder by hash modulo hosts that remembers nothing."""
    hosts = [host_address(number) for number in range(_POOLS[0])]
    transport = _Sink()

    def forward(raw: bytes) -> None:
        packet = parse_inner(raw)
        assert packet is not None
        transport.sendto(raw, hosts[packet.key % len(hosts)])

    return forward


def _weigh(fill: Callable[[], None]) -> float:
    """Return the bytes that ``fill`` leaves behind."""
    gc.collect()
    before = _resident_bytes()
    fill()
    gc.collect()
    return _resident_bytes() - before


def _resident_bytes() -> int:
    pages = Path('/proc/self/statm').read_text(encoding='ascii').split()[1]
    return int(pages) * resource.getpagesize()


def _time(raws: list[bytes], act: Callable[[bytes], None]) -> float:
    """Return the microseconds of one call: the best of several rounds."""
    return min(_time_once(raws, act) for _ in range(_REPEATS))


def _time_once(raws: list[bytes], act: Callable[[bytes], None]) -> float:
    start = time.perf_counter()
    for raw in raws:
        act(raw)
    elapsed = time.perf_counter() - start
    return elapsed / len(raws) * _MICROSECONDS


def _measure_control(seed: int, hosts: int) -> dict[str, float]:
    """Count what one sidecar tells its pool after a host came."""
    pool = Pool(seed)
    plan = PoolPlan(dict.fromkeys(range(hosts), 'active'))
    sidecar = pool.add_sidecar(f'{SERVICE}-0', host_address(0))
    pool.publish(plan.next_site())
    pool.run(_SETTLE_SECONDS)
    _own(sidecar, _ranked_first(sidecar, hosts), pool.clock.now)
    plan.states[hosts] = 'active'
    receivers: set[Address] = set()
    sizes: list[int] = []

    def watch(datagram: bytes, receiver: Address) -> None:
        sizes.append(len(datagram))
        receivers.add(receiver)

    pool.network.watch = watch
    start = time.process_time()
    pool.publish(plan.next_site())
    pool.run(_CONTROL_SECONDS)
    used = time.process_time() - start
    return {
        'bytes_a_second': sum(sizes) / _CONTROL_SECONDS,
        'datagrams_a_second': len(sizes) / _CONTROL_SECONDS,
        'peers': len(receivers),
        'share_of_a_core': used / _CONTROL_SECONDS,
    }


def _ranked_first(sidecar: PoolSidecar, hosts: int) -> list[Flow]:
    """Return flows that rank this host first, as many as it should bear."""
    flows = (_flow(number) for number in itertools.count())
    if hosts > _POOLS[0]:
        # Far more numbers would have to be ranked; any flows cost no less.
        return list(itertools.islice(flows, _HOST_FLOWS))
    service = sidecar.context.service
    assert service is not None
    known = sidecar.context.router.ranks(service).known
    own = sidecar.process.name
    first = (
        flow for flow in flows if known(flow_number(_key(flow)))[0].name == own
    )
    return list(itertools.islice(first, _HOST_FLOWS))
