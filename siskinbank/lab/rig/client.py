"""A stand-in for a client machine that opens flows through any entry."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from siskinbank.platform.encoding import Packet, request_bytes
from siskinbank.platform.packets import ACK, FIN, RST, SYN

__all__ = ('ClientFlow', 'ClientStandIn', 'FlowFailed')

# How long a client waits for an answer to each copy of its first packet, in
# seconds. It gives up after the last one.
_SYN_TIMEOUTS_S = (0.2, 0.4, 0.8)
# The same for other packets, in seconds.
_RETRANSMIT_TIMEOUTS_S = (0.2, 0.4, 0.8, 1.6)
_FIRST_PORT = 20000


class FlowFailed(Exception):
    """A flow was reset, or no answer came."""


@dataclass
class ClientFlow:
    """A flow that is open or being opened.

    Attributes:
        port: the client's port.
        target: address and port that the flow is opened to.
        number: next sequence number to send.
        acknowledged: acknowledgement number to send.
        answers: packets received and not read yet.
        copies: time in seconds and entry of each packet sent with data.
        is_reset: whether it was reset.
        reset_by: address of the process that did so, empty if none did.
    """

    port: int
    target: tuple[str, int]
    number: int = 0
    acknowledged: int = 0
    answers: asyncio.Queue[Packet] = field(default_factory=asyncio.Queue)
    copies: list[tuple[float, str]] = field(default_factory=list)
    is_reset: bool = False
    reset_by: str = ''


class ClientStandIn(asyncio.DatagramProtocol):
    """One client machine.

    Attributes:
        ip: its address.
        entry: address of the entry that its router sends packets to.
        entry_for: returns the entry for packets of a port, ``entry`` if empty.
        corrupt: number of packets received with a wrong checksum.
        resets: number of flows that were reset.
    """

    def __init__(self, ip: str, port: int, entry: str) -> None:
        """Initialize a client without flows."""
        self.entry = entry
        self.entry_for: Callable[[int], str] = lambda source_port: ''
        self.corrupt = 0
        self.resets = 0
        self.ip = ip
        self._port = port
        self._flows: dict[int, ClientFlow] = {}
        self._next_port = _FIRST_PORT
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self.ip, self._port),
        )
        self._transport = endpoint[0]

    def close(self) -> None:
        """Close the socket."""
        if self._transport:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a packet to its flow."""
        packet = Packet.read(data)
        if not packet.has_valid_checksum and not packet.flags & RST:
            self.corrupt += 1
            return
        flow = self._flows.get(packet.target[1])
        if flow and packet.source == flow.target:
            if packet.flags & RST:
                flow.reset_by = addr[0]
            flow.answers.put_nowait(packet)

    async def connect(
        self, target: tuple[str, int], port: int = 0
    ) -> ClientFlow:
        """Open a flow.

        Args:
            target: address and port that it is opened to.
            port: port that it is opened from, 0 for one that was not used yet.

        Raises:
            FlowFailed: the flow was reset, or no answer came.
        """
        if not port:
            self._next_port += 1
            port = self._next_port
        flow = ClientFlow(port, target, random.randrange(1 << 31))
        self._flows[flow.port] = flow
        for copy, wait in enumerate(_SYN_TIMEOUTS_S):
            # The acknowledgement number of a SYN is the number of its copy.
            self._send(flow, SYN, acknowledged=copy)
            answer = await _receive(flow, wait)
            if answer:
                flow.number += 1
                flow.acknowledged = answer.number + 1
                self._send(flow, ACK)
                return flow
        raise FlowFailed('no answer to the first packet')

    async def send_request(
        self,
        flow: ClientFlow,
        request_id: str,
        length: int = 0,
    ) -> str:
        """Send a request and return the body of the answer.

        Args:
            flow: open flow on which the request is sent.
            request_id: id of the request.
            length: length of its body in bytes.

        Raises:
            FlowFailed: the flow was reset, or no answer came.
        """
        content = request_bytes(request_id, length)
        for wait in _RETRANSMIT_TIMEOUTS_S:
            self._send(flow, ACK, content)
            body = await self._receive_body(flow, wait)
            if body is not None:
                flow.number += len(content)
                return body
        raise FlowFailed('no answer to the request')

    async def request(self, target: tuple[str, int], request_id: str) -> str:
        """Send one request over a new flow; return the body of the answer."""
        flow = await self.connect(target)
        body = await self.send_request(flow, request_id)
        self.finish(flow)
        return body

    def finish(self, flow: ClientFlow) -> None:
        """End a flow."""
        self._send(flow, FIN | ACK)

    def send_raw(self, datagram: bytes, entry: str = '') -> None:
        """Send a datagram to an entry without changes."""
        if self._transport:
            self._transport.sendto(datagram, (entry or self.entry, self._port))

    async def _receive_body(self, flow: ClientFlow, wait: float) -> str | None:
        while True:
            answer = await _receive(flow, wait)
            if answer is None:
                return None
            if answer.flags & SYN or not answer.content:
                continue
            if answer.number != flow.acknowledged:
                # Another copy of an earlier answer.
                continue
            flow.acknowledged = answer.number + len(answer.content)
            self._send(flow, ACK)
            return answer.content.partition(b'\r\n\r\n')[2].decode()

    def _send(
        self,
        flow: ClientFlow,
        flags: int,
        content: bytes = b'',
        acknowledged: int | None = None,
    ) -> None:
        if acknowledged is None:
            acknowledged = flow.acknowledged
        packet = Packet(
            (self.ip, flow.port),
            flow.target,
            flags,
            flow.number,
            acknowledged,
            content,
        )
        entry = self.entry_for(flow.port)
        if content:
            flow.copies.append((time.monotonic(), entry))
        self.send_raw(packet.write(), entry)


async def _receive(flow: ClientFlow, wait: float) -> Packet | None:
    try:
        async with asyncio.timeout(wait):
            packet = await flow.answers.get()
    except TimeoutError:
        # The caller retransmits.
        return None
    if packet.flags & RST:
        flow.is_reset = True
        raise FlowFailed('the flow was reset')
    return packet
