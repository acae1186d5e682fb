"""A stand-in for an upstream: packets, TCP connections and requests."""

import asyncio
import math
import socket
import time
from collections import Counter
from dataclasses import dataclass

from aiohttp import web

from siskinbank.config.site import Address
from siskinbank.lab.standins.health import HealthEndpoint
from siskinbank.lab.standins.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    Flow,
    make_packet,
    payload_of,
)
from siskinbank.peers.datagrams import open_udp
from siskinbank.wire.packets import InnerPacket, parse_inner

__all__ = ('ColdStart', 'UpstreamStandIn')

_BUCKETS_PER_SECOND = 10
_CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class ColdStart:
    """The capacity right after a start, and the warm-up time.

    Attributes:
        slots: requests in progress that are allowed at the start.
        warm_up_seconds: seconds until full capacity.
    """

    slots: int
    warm_up_seconds: float

    def capacity(self, age: float, slots: int) -> float:
        """Return the allowed requests in progress at ``age`` seconds."""
        if age >= self.warm_up_seconds:
            return slots
        return self.slots + (slots - self.slots) * age / self.warm_up_seconds


class UpstreamStandIn:
    """Answers with its own name, so that callers know their upstream."""

    def __init__(
        self,
        name: str,
        callers: Address | None,
        slots: int,
        cold: ColdStart | None = None,
    ) -> None:
        """Initialize an upstream without flows and requests.

        Args:
            name: name in its answers.
            callers: address that answers to packets are sent to.
            slots: requests that are processed at the same time; others wait.
            cold: lower capacity after the start. Requests above it are
                counted but not refused.
        """
        self._cold = cold or ColdStart(slots, 0)
        self._started_at = time.monotonic()
        self._running = 0
        self._starts: Counter[int] = Counter()
        self._max_slots = slots
        self._over_limit = 0
        self._name = name
        self._callers = callers
        self._slots = asyncio.Semaphore(slots)
        self._flows: set[tuple[bytes, int]] = set()
        self._targets: set[tuple[bytes, int]] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._arrivals: Counter[int] = Counter()
        self._runs: Counter[str] = Counter()

    async def serve_packets(self, address: Address) -> None:
        """Receive IP-in-UDP packets at ``address``."""
        self._transport = await open_udp(address, self._receive)

    async def serve_tcp(self, address: Address) -> None:
        """Answer each chunk received on a connection with name and chunk."""
        await asyncio.start_server(self._echo, *address)

    async def serve_http(self, address: Address) -> None:
        """Answer requests, and report statistics at ``/stats``.

        ``arrivals`` are packets received and ``starts`` are flows, connections
        and requests begun, both in each tenth of a second; ``over_limit``
        counts requests above the capacity of a cold start, ``targets`` lists
        the addresses that packets were sent to, and ``runs`` counts the
        executions of each request by its key.
        """
        app = web.Application(client_max_size=1 << 30)
        app.router.add_get('/stats', self._stats)
        HealthEndpoint().add_to(app)
        app.router.add_route('*', '/{path:.*}', self._answer)
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
        )
        await runner.setup()
        await web.TCPSite(runner, *address).start()

    def _receive(self, datagram: bytes, _sender: Address) -> None:
        packet = parse_inner(datagram)
        if packet is None:
            return
        bucket = int(time.time() * _BUCKETS_PER_SECOND)
        self._arrivals[bucket] += 1
        self._targets.add((packet.target, packet.target_port))
        flow = (packet.source, packet.source_port)
        if packet.flags & FIN:
            self._flows.discard(flow)
            return
        if packet.first:
            if flow not in self._flows:
                self._starts[bucket] += 1
            self._flows.add(flow)
            self._reply(packet, SYN | ACK, self._name.encode())
        elif flow in self._flows:
            name = self._name.encode()
            self._reply(packet, ACK, name + b' ' + payload_of(packet.raw))
        else:
            self._reply(packet, RST, self._name.encode())

    def _reply(self, packet: InnerPacket, flags: int, payload: bytes) -> None:
        if self._transport is None or self._callers is None:
            return
        flow = Flow(
            socket.inet_ntoa(packet.target),
            packet.target_port,
            socket.inet_ntoa(packet.source),
            packet.source_port,
        )
        raw = make_packet(flow, flags, payload)
        self._transport.sendto(raw, self._callers)

    async def _echo(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        name = self._name.encode()
        # A health probe connects and sends nothing, so a connection counts as
        # started when its first data arrives.
        is_first_chunk = True
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if is_first_chunk:
                    self._starts[int(time.time() * _BUCKETS_PER_SECOND)] += 1
                is_first_chunk = False
                writer.write(name + b' ' + chunk)
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()

    async def _answer(self, request: web.Request) -> web.Response:
        key = request.headers.get('Idempotency-Key', '')
        self._count_start()
        try:
            async with self._slots:
                self._runs[key] += 1
                body = await request.read()
                pause = float(request.query.get('pause', '0'))
                await asyncio.sleep(pause)
        finally:
            self._running -= 1
        return web.Response(
            body=body,
            headers={'X-Host': self._name, 'X-Key': key},
        )

    def _count_start(self) -> None:
        self._running += 1
        self._starts[int(time.time() * _BUCKETS_PER_SECOND)] += 1
        age = time.monotonic() - self._started_at
        if self._running > math.ceil(self._cold.capacity(age, self._max_slots)):
            self._over_limit += 1

    async def _stats(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                'name': self._name,
                'arrivals': dict(self._arrivals),
                'starts': dict(self._starts),
                'over_limit': self._over_limit,
                'targets': sorted(
                    f'{socket.inet_ntoa(number)}:{port}'
                    for number, port in self._targets
                ),
                'runs': dict(self._runs),
            },
        )
