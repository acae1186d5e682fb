"""Hosts and clients: the two ends of flows, as PROTOCOL.md describes them."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from siskinbank.platform.encoding import Packet  # noqa: E402
from siskinbank.platform.packets import (  # noqa: E402
    ACK,
    BOUNCED,
    FIN,
    RST,
    SYN,
)

__all__ = ('Client', 'Flow', 'Host', 'Reset', 'Unanswered')

_MODULUS = 1 << 32
_SYN_WAITS_S = (0.2, 0.4, 0.8)
_DATA_WAITS_S = (0.2, 0.4, 0.8, 1.6)
_ID = b'Siskinbank-Attempt-Id: '


class Reset(Exception):
    """The flow was reset."""


class Unanswered(Exception):
    """No answer came."""


class HostFlow:
    """A flow at a host."""

    def __init__(self, packet):
        self.number = random.randrange(_MODULUS)
        self.client_number = packet.number
        self.next_number = (self.number + 1) % _MODULUS
        self.expected = (packet.number + 1) % _MODULUS
        self.is_open = False
        self.has_ended = False
        self.answer = None


class Host(asyncio.DatagramProtocol):
    """One host; its packets go through the sidecar on its machine.

    Attributes:
        openings: time and client port of each flow that it took.
        arrivals: time and id of each request that it began to run.
        completed: ids of the requests that it answered.
    """

    def __init__(self, site, name, ip, zone, service):
        self.site = site
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.sidecar = None
        self.is_running = False
        self.draining = False
        self.sequence = 0
        self.slots = 3
        self.work_s = 0.03
        self.cold_until = 0
        self.born_ms = 0
        self.flows = {}
        self.openings = []
        self.arrivals = []
        self.completed = []
        self._transport = None
        self._tasks = set()

    def document(self):
        """Return its entry in the store."""
        left = max(0, self.cold_until - time.monotonic())
        return {
            'Service': self.service,
            'Address': f'{self.ip}:{self.site.port + 6}',
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': self.slots,
            'State': 'draining' if self.draining else 'ready',
            'WarmupLeftMs': int(left * 1000),
            'Sequence': self.sequence,
            'born': self.born_ms,
        }

    async def open(self):
        """Start."""
        self.born_ms = int(time.time() * 1000)
        self.is_running = True
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.site.port + 6)
        )

    def crash(self):
        """End, and lose all flows."""
        self.is_running = False
        for task in self._tasks:
            task.cancel()
        self.flows.clear()
        if self._transport:
            self._transport.close()
            self._transport = None

    def holds(self, client_ip, port):
        """Return whether it holds an open flow of a client's port."""
        return any(
            key[0] == (client_ip, port) and flow.is_open and not flow.has_ended
            for key, flow in self.flows.items()
        )

    def datagram_received(self, data, addr):
        """Handle a packet from the sidecar."""
        packet = Packet.read(data)
        if not packet.has_valid_checksum:
            return
        key = (packet.source, packet.target)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or (
                flow.has_ended and flow.client_number != packet.number
            ):
                flow = self.flows[key] = HostFlow(packet)
            if not flow.has_ended:
                self._reply(packet, SYN | ACK, flow.number, flow.expected)
            return
        if flow is None or not self._belongs(flow, packet):
            bounced = bytearray(data)
            bounced[12] |= BOUNCED
            self._transport.sendto(bytes(bounced), self._outbound)
            return
        if flow.has_ended:
            if packet.flags & FIN:
                self._ack(packet, flow)
            elif packet.content:
                self._reply(packet, RST, flow.next_number, flow.expected)
            return
        if not flow.is_open:
            flow.is_open = True
            self.openings.append((time.monotonic(), packet.source[1]))
        if packet.flags & RST:
            flow.has_ended = True
        elif packet.flags & FIN:
            flow.expected = (packet.number + 1) % _MODULUS
            flow.has_ended = True
            self._reply(packet, FIN | ACK, flow.next_number, flow.expected)
        elif packet.content:
            self._take(packet, flow)

    @property
    def _outbound(self):
        return (self.ip, self.site.port + 3)

    def _belongs(self, flow, packet):
        if flow.is_open or flow.has_ended:
            return True
        return packet.acknowledged == (flow.number + 1) % _MODULUS

    def _take(self, packet, flow):
        if packet.number != flow.expected:
            # A copy of a request that it has, or of one that it has answered.
            if flow.answer:
                self._reply(packet, ACK, *flow.answer)
            return
        flow.expected = (packet.number + len(packet.content)) % _MODULUS
        _, _, rest = packet.content.partition(_ID)
        name = rest.partition(b'\r\n')[0].decode()
        self.arrivals.append((time.monotonic(), name))
        flow.answer = None
        task = asyncio.create_task(self._run(packet, flow, name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, packet, flow, name):
        await asyncio.sleep(self.work_s)
        if flow.has_ended:
            return
        self.completed.append(name)
        body = f'{name} {self.name}'
        closes = self.draining or b'Connection: close' in packet.content
        close = 'Connection: close\r\n' if closes else ''
        content = (
            f'HTTP/1.1 200 OK\r\n{close}Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()
        number = flow.next_number
        flow.answer = (number, flow.expected, content)
        flow.next_number = (number + len(content)) % _MODULUS
        self._reply(packet, ACK, number, flow.expected, content)
        if closes:
            self._reply(packet, FIN | ACK, flow.next_number, flow.expected)
            flow.next_number = (flow.next_number + 1) % _MODULUS
            flow.has_ended = True

    def _ack(self, packet, flow):
        expected = (packet.number + 1) % _MODULUS
        self._reply(packet, ACK, flow.next_number, expected)

    def _reply(self, packet, flags, number, expected, content=b''):
        reply = Packet(
            packet.target, packet.source, flags, number, expected, content
        )
        if self._transport:
            self._transport.sendto(reply.write(), self._outbound)


class Flow:
    """A flow at a client."""

    def __init__(self, port, target):
        self.port = port
        self.target = target
        self.number = random.randrange(_MODULUS)
        self.expected = 0
        self.answers = asyncio.Queue()
        self.reset_by = ''


class Client(asyncio.DatagramProtocol):
    """One client machine."""

    def __init__(self, site, ip):
        self.site = site
        self.ip = ip
        self.strange = []
        self._flows = {}
        self._transport = None
        self._next_port = 40000

    async def open(self):
        """Open the socket for packets."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.site.port)
        )

    def close(self):
        """Close the socket."""
        if self._transport:
            self._transport.close()

    def datagram_received(self, data, addr):
        """Pass a packet to its flow."""
        packet = Packet.read(data)
        flow = self._flows.get(packet.target[1])
        if flow is None or flow.target != packet.source:
            return
        is_system_reset = packet.flags & RST and not packet.checksum
        if not is_system_reset and not packet.has_valid_checksum:
            self.strange.append(data)
            return
        if packet.flags & RST:
            flow.reset_by = addr[0]
        flow.answers.put_nowait(packet)

    def next_port(self):
        """Return a port that was not used yet."""
        self._next_port += 1
        return self._next_port

    async def connect(self, target, port=0):
        """Open a flow, from a port of the caller's choice."""
        flow = Flow(port or self.next_port(), target)
        self._flows[flow.port] = flow
        for copy, wait in enumerate(_SYN_WAITS_S):
            self.send(flow, SYN, acknowledged=copy)
            packet = await self._receive(flow, wait)
            while packet and not packet.flags & SYN:
                packet = await self._receive(flow, wait)
            if packet:
                flow.number = (flow.number + 1) % _MODULUS
                flow.expected = (packet.number + 1) % _MODULUS
                self.send(flow, ACK)
                return flow
        raise Unanswered('first packet')

    async def request(self, flow, name, close=False, waits=_DATA_WAITS_S):
        """Send a request; return the answer's body."""
        header = 'Connection: close\r\n' if close else ''
        content = (
            f'POST / HTTP/1.1\r\nHost: a\r\n{header}'
            f'Siskinbank-Attempt-Id: {name}\r\nContent-Length: 0\r\n\r\n'
        ).encode()
        number = flow.number
        flow.number = (number + len(content)) % _MODULUS
        for wait in waits:
            self.send(flow, ACK, content, number=number)
            until = time.monotonic() + wait
            while (left := until - time.monotonic()) > 0:
                packet = await self._receive(flow, left)
                if packet is None:
                    break
                if packet.content and packet.number == flow.expected:
                    flow.expected += len(packet.content)
                    flow.expected %= _MODULUS
                    self.send(flow, ACK)
                    return packet.content.partition(b'\r\n\r\n')[2].decode()
        raise Unanswered(f'request {name}')

    async def finish(self, flow, host_first=False):
        """Close a flow in both directions."""
        if host_first:
            packet = await self._receive(flow, 1)
            while packet and not packet.flags & FIN:
                packet = await self._receive(flow, 1)
            if packet is None:
                raise Unanswered('end by the host')
            flow.expected = (flow.expected + 1) % _MODULUS
        self.send(flow, FIN | ACK)
        flow.number = (flow.number + 1) % _MODULUS
        packet = await self._receive(flow, 1)
        if packet is None:
            raise Unanswered('end of the flow')
        if packet.flags & FIN:
            flow.expected = (flow.expected + 1) % _MODULUS
            self.send(flow, ACK)

    def send(self, flow, flags, content=b'', number=None, acknowledged=None):
        """Send a packet to the entry that the routers choose."""
        packet = Packet(
            (self.ip, flow.port),
            flow.target,
            flags,
            flow.number if number is None else number,
            flow.expected if acknowledged is None else acknowledged,
            content,
        )
        entry = self.site.entry_for(flow.port)
        self._transport.sendto(packet.write(), (entry, self.site.port))

    async def _receive(self, flow, seconds):
        try:
            async with asyncio.timeout(seconds):
                packet = await flow.answers.get()
        except TimeoutError:
            return None
        if packet.flags & RST:
            raise Reset(f'by {flow.reset_by}')
        return packet
