"""A stand-in for a host: answers requests, bounces unknown flows."""

import asyncio
import random
import sys
import time

from siskinbank.platform.encoding import Packet, answer_bytes
from siskinbank.platform.packets import ACK, BOUNCED, FIN, RST, SYN

__all__ = ('HostStandIn',)

_PROCESSING_S = 0.005
_REQUEST_ID_HEADER = b'Siskinbank-Attempt-Id: '


class HostStandIn(asyncio.DatagramProtocol):
    """One host behind a sidecar.

    Attributes:
        name: name of the host in its answers.
        address: address at which it receives packets.
        runs: ids of the requests that it has run.
        accepted: client address of each first packet received, also of copies.
        unknown_flow_packets: number of packets of unknown flows.
        corrupt: number of packets received with a wrong checksum.
        processing_s: processing time of a request in seconds.
        free_slots: admits requests to processing, in order of arrival.
        arrivals: time of the first arrival of each request, in seconds.
        open_flows: source and target of the flows whose handshake has ended.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        output: tuple[str, int],
    ) -> None:
        """Initialize a host without flows.

        Args:
            name: name of the host in its answers.
            address: address at which it receives packets.
            output: address that it sends its packets to.
        """
        self.name = name
        self.address = address
        self.runs: list[str] = []
        self.accepted: list[tuple[str, int]] = []
        self.unknown_flow_packets = 0
        self.corrupt = 0
        self.processing_s = _PROCESSING_S
        self.free_slots = asyncio.Semaphore(sys.maxsize)
        self.arrivals: dict[str, float] = {}
        self.open_flows: set[tuple[tuple[str, int], tuple[str, int]]] = set()
        self._ended_flows: set[tuple[tuple[str, int], tuple[str, int]]] = set()
        self._requests: dict[tuple[str, int, str], asyncio.Task[None]] = {}
        self._output = output
        self._flows: dict[tuple[tuple[str, int], tuple[str, int]], int] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._health_server: asyncio.Server | None = None

    async def open(self) -> None:
        """Open the socket for packets and the listener for health checks."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=self.address,
        )
        self._transport = endpoint[0]
        self._health_server = await asyncio.start_server(
            _close_connection, *self.address
        )

    def close(self) -> None:
        """Close the sockets and lose all flows, as a crash does."""
        self._flows.clear()
        self._ended_flows.clear()
        self.open_flows.clear()
        for task in self._requests.values():
            task.cancel()
        self._requests.clear()
        self.close_listener()
        if self._transport:
            self._transport.close()
            self._transport = None

    def close_listener(self) -> None:
        """Refuse health checks, as a leaving host may, and serve its flows."""
        if self._health_server:
            self._health_server.close()
            self._health_server = None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Accept, answer or bounce a packet."""
        packet = Packet.read(data)
        if not packet.has_valid_checksum:
            self.corrupt += 1
            return
        key = (packet.source, packet.target)
        # The client of a half-open flow may be connected to another host, which
        # has accepted a copy of its first packet.
        accepted = packet.acknowledged - 1
        if packet.flags & SYN:
            self._ended_flows.discard(key)
            self._flows.setdefault(key, random.randrange(1 << 32))
            self.accepted.append(packet.source)
            self._reply(packet, SYN | ACK, self._flows[key])
        elif key in self.open_flows or self._flows.get(key) == accepted:
            self._process(key, packet)
        elif key in self._ended_flows:
            self._answer_ended(packet)
        else:
            self.unknown_flow_packets += 1
            bounced = bytearray(data)
            bounced[12] |= BOUNCED
            self._send(bytes(bounced))

    def _process(
        self,
        key: tuple[tuple[str, int], tuple[str, int]],
        packet: Packet,
    ) -> None:
        if packet.flags & (FIN | RST):
            if packet.flags & FIN:
                self._reply(packet, FIN | ACK, packet.acknowledged)
            self._flows.pop(key)
            self.open_flows.discard(key)
            self._ended_flows.add(key)
            return
        self.open_flows.add(key)
        if _REQUEST_ID_HEADER in packet.content:
            _, _, rest = packet.content.partition(_REQUEST_ID_HEADER)
            request_id = rest.partition(b'\r\n')[0].decode()
            self.arrivals.setdefault(request_id, time.monotonic())
            copied = (*packet.source, request_id)
            if copied not in self._requests:
                run = self._run(packet, request_id)
                self._requests[copied] = asyncio.create_task(run)

    def _answer_ended(self, packet: Packet) -> None:
        """Answer a packet of a flow that has ended here."""
        if packet.flags & FIN:
            self._reply(packet, ACK, packet.acknowledged)
        elif packet.content:
            self._reply(packet, RST, packet.acknowledged)

    async def _run(self, packet: Packet, request_id: str) -> None:
        async with self.free_slots:
            await asyncio.sleep(self.processing_s)
        self._requests.pop((*packet.source, request_id))
        if request_id not in self.runs:
            self.runs.append(request_id)
        content = answer_bytes(request_id, self.name)
        self._reply(packet, ACK, packet.acknowledged, content)

    def _reply(
        self,
        packet: Packet,
        flags: int,
        number: int,
        content: bytes = b'',
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
            self._transport.sendto(datagram, self._output)


def _close_connection(
    _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Accept a connection and close it; no caller requests a health check."""
    writer.close()
