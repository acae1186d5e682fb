"""A stand-in for an application host, after PROTOCOL.md, "Hosts"."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.rig.record import Record
from siskinbank.lab.rig.store import StoreStandIn
from siskinbank.platform.encoding import Packet, answer_bytes
from siskinbank.platform.packets import ACK, BOUNCED, FIN, RST, SYN

HEARTBEAT_S = 0.77
# The store removes an entry after this many heartbeat intervals of silence.
_EXPIRY_HEARTBEATS = 3
_ATTEMPT = b'Siskinbank-Attempt-Id: '

Key = tuple[tuple[str, int], tuple[str, int]]


@dataclass
class HostFlow:
    """A flow that a host holds.

    Attributes:
        number: the host's initial sequence number.
        last_seen: time of the last packet in either direction.
        is_open: whether the host has the end of the handshake.
    """

    number: int
    last_seen: float
    is_open: bool = False


@dataclass
class Host(asyncio.DatagramProtocol):
    """One host with its entry in the store.

    Attributes:
        store: the platform's store.
        record: record of the case.
        name: id of its entry in the store.
        service: its service.
        zone: its zone.
        address: where it receives packets.
        output: where it sends its packets.
        slots: number of requests that it works on at once.
        work_s: time that it works on a request.
        warmup_s: time for which it is cold after a start.
        idle_s: returns how long a flow may be idle before it is discarded.
        openings: time and client's port of each flow that it has accepted.
        runs: attempt ids of the requests that it has run.
        cold_since: when it became cold, None while it is warm.
    """

    store: StoreStandIn
    record: Record
    name: str
    service: str
    zone: str
    address: tuple[str, int]
    output: tuple[str, int]
    slots: int = 3
    work_s: float = 0.005
    warmup_s: float = 0
    idle_s: Callable[[], float] = lambda: 15.0
    openings: list[tuple[float, int]] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    cold_since: float | None = None

    def __post_init__(self) -> None:
        """Start without flows, not running."""
        self.flows: dict[Key, HostFlow] = {}
        self.state = 'ready'
        self._ended: set[Key] = set()
        self._requests: dict[tuple[Key, str], asyncio.Task[None]] = {}
        self._free = asyncio.Semaphore(self.slots)
        self._sequence = 0
        self._born_ms = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._health: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self, cold: bool = False) -> None:
        """Start a new incarnation and register it."""
        self._born_ms = int(time.time() * 1000)
        self.state = 'ready'
        self._sequence = 0
        if cold:
            self.cold_since = self.record.now()
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )
        self._health = await asyncio.start_server(
            self._serve_health, *self.address
        )
        self.record.note(self.name, 'started', cold=cold)
        await self.beat()
        self._heartbeats = asyncio.create_task(self._beat_regularly())

    def crash(self) -> None:
        """Stop at once and lose all flows."""
        self.record.note(self.name, 'crashed', flows=len(self.flows))
        self._stop()
        asyncio.get_running_loop().call_later(
            HEARTBEAT_S * _EXPIRY_HEARTBEATS, self._expire, self._born_ms
        )

    async def drain(self) -> float:
        """Report draining; return when the store has accepted that."""
        self.state = 'draining'
        await self.beat()
        return self.record.note(self.name, 'draining acknowledged')

    async def leave(self) -> None:
        """Remove the entry and end."""
        self._stop()
        await self.store.put(f'servers/{self.name}', None)
        self.record.note(self.name, 'left')

    def close(self) -> None:
        """Close all sockets at the end of the case."""
        self._stop()

    def warmup_left_s(self) -> float:
        """Return how much longer the host is cold."""
        if self.cold_since is None:
            return 0
        left = self.cold_since + self.warmup_s - self.record.now()
        return max(0, left)

    def entry(self) -> dict[str, object]:
        """Return the entry in the store."""
        return {
            'Service': self.service,
            'Address': f'{self.address[0]}:{self.address[1]}',
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': self.slots,
            'State': self.state,
            'WarmupLeftMs': int(self.warmup_left_s() * 1000),
            'Sequence': self._sequence,
            'born': self._born_ms,
        }

    async def beat(self) -> None:
        """Write the entry, unless the store is away."""
        self._sequence += 1
        if not (self.store.away or self.store.silent or self.store.unavailable):
            content = json.dumps(self.entry()).encode()
            await self.store.put(f'servers/{self.name}', content)

    def holds(self, client: tuple[str, int], target: tuple[str, int]) -> bool:
        """Return whether the host holds a flow, open and not idle too long."""
        flow = self._flow((client, target))
        return flow is not None and flow.is_open

    # Packets.

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Accept, answer or bounce a packet."""
        packet = Packet.read(data)
        if not packet.has_valid_checksum:
            self.record.note(self.name, 'FORGED packet', source=packet.source)
            return
        key = (packet.source, packet.target)
        if packet.flags & SYN:
            self._accept(key, packet)
            return
        flow = self._flow(key)
        if flow is None and key in self._ended:
            self._answer_ended(packet)
        elif flow is None or not (
            flow.is_open or packet.acknowledged == flow.number + 1
        ):
            bounced = bytearray(data)
            bounced[12] |= BOUNCED
            self._send(bytes(bounced))
        else:
            self._process(key, flow, packet)

    def _flow(self, key: Key) -> HostFlow | None:
        flow = self.flows.get(key)
        if flow and self.record.now() - flow.last_seen > self.idle_s():
            self.record.note(self.name, 'discarded idle flow', client=key[0][1])
            self.flows.pop(key)
            return None
        return flow

    def _accept(self, key: Key, packet: Packet) -> None:
        now = self.record.now()
        flow = self._flow(key)
        if flow is None:
            flow = HostFlow(random.randrange(1, 1 << 31), now)
            self.flows[key] = flow
            self.openings.append((now, packet.source[1]))
            self.record.note(self.name, 'took flow', client=packet.source[1])
        flow.last_seen = now
        self._reply(packet, SYN | ACK, flow.number)

    def _process(self, key: Key, flow: HostFlow, packet: Packet) -> None:
        flow.last_seen = self.record.now()
        if not flow.is_open:
            flow.is_open = True
        if packet.flags & (FIN | RST):
            self.flows.pop(key)
            if packet.flags & FIN:
                self._ended.add(key)
                self._reply(packet, FIN | ACK, packet.acknowledged)
            return
        if _ATTEMPT in packet.content:
            rest = packet.content.partition(_ATTEMPT)[2]
            attempt = rest.partition(b'\r\n')[0].decode()
            if (key, attempt) not in self._requests:
                run = self._run(key, packet, attempt)
                self._requests[key, attempt] = asyncio.create_task(run)

    async def _run(self, key: Key, packet: Packet, attempt: str) -> None:
        async with self._free:
            await asyncio.sleep(self.work_s)
        self.runs.append(attempt)
        self.record.note(self.name, 'ran', attempt=attempt)
        answer = answer_bytes(attempt, self.name)
        self._reply(packet, ACK, packet.acknowledged, answer)
        flow = self.flows.get(key)
        if flow:
            flow.last_seen = self.record.now()

    def _answer_ended(self, packet: Packet) -> None:
        if packet.flags & FIN:
            self._reply(packet, ACK, packet.acknowledged)
        elif packet.content:
            self._reply(packet, RST, packet.acknowledged)

    def _reply(
        self, packet: Packet, flags: int, number: int, content: bytes = b''
    ) -> None:
        acknowledged = packet.number + max(1, len(packet.content))
        reply = Packet(
            packet.target,
            packet.source,
            flags,
            number % (1 << 32),
            acknowledged % (1 << 32),
            content,
        )
        self._send(reply.write())

    def _send(self, datagram: bytes) -> None:
        if self._transport:
            self._transport.sendto(datagram, self.output)

    # Life of the host.

    def _stop(self) -> None:
        for task in self._requests.values():
            task.cancel()
        self._requests.clear()
        self.flows.clear()
        self._ended.clear()
        if self._heartbeats:
            self._heartbeats.cancel()
            self._heartbeats = None
        if self._health:
            self._health.close()
            self._health = None
        if self._transport:
            self._transport.close()
            self._transport = None

    def _expire(self, born_ms: int) -> None:
        if born_ms == self._born_ms:
            removal = self.store.put(f'servers/{self.name}', None)
            self._expiry = asyncio.create_task(removal)
            self.record.note(self.name, 'entry expired')

    async def _beat_regularly(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()

    async def _serve_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            status = 200 if self.state == 'ready' else 503
            writer.write(
                f'HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
