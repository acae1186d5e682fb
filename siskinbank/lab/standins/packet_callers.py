"""Callers that send packets through the fabric."""

import asyncio
import contextlib
import random
import socket
import time
from dataclasses import dataclass, field

from siskinbank.config.site import Address
from siskinbank.lab.standins.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    Flow,
    make_packet,
    payload_of,
)
from siskinbank.lab.standins.report import FlowReport, FlowResult
from siskinbank.peers.datagrams import open_udp
from siskinbank.wire.packets import InnerPacket, parse_inner

__all__ = ('PacketCallers',)

_RETRANSMIT_SECONDS = 0.3
_ANSWER_TIMEOUT_SECONDS = 5
_INTERVAL_SECONDS = 0.2
_FIRST_PORT = 1024
_LAST_PORT = 65000


@dataclass(slots=True)
class _OpenFlow:
    flow: Flow
    answers: asyncio.Queue[InnerPacket] = field(default_factory=asyncio.Queue)


class PacketCallers:
    """Opens flows, sends numbered packets and checks each answer."""

    def __init__(self, fabric: Address, seed: int) -> None:
        """Initialize callers that send packets to ``fabric``."""
        self._fabric = fabric
        self._rng = random.Random(seed)
        self._flows: dict[tuple[bytes, int], _OpenFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self.reports: list[FlowReport] = []

    async def open(self, address: Address) -> None:
        """Receive the upstreams' answers at ``address``."""
        self._transport = await open_udp(address, self._receive)

    async def run_flow(self, service: Address, seconds: float) -> None:
        """Keep one flow open for ``seconds``."""
        number = self._rng.randrange(1 << 16)
        flow = Flow(
            f'10.9.{number >> 8}.{number & 0xFF}',
            self._rng.randrange(_FIRST_PORT, _LAST_PORT),
            *service,
        )
        report = FlowReport('fou', opened_at=time.time())
        self.reports.append(report)
        key = (socket.inet_aton(flow.source), flow.source_port)
        open_flow = _OpenFlow(flow)
        self._flows[key] = open_flow
        try:
            report.result = await self._send_numbered(
                open_flow, report, seconds
            )
        finally:
            report.ended_at = time.time()
            self._flows.pop(key, None)

    async def _send_numbered(
        self,
        open_flow: _OpenFlow,
        report: FlowReport,
        seconds: float,
    ) -> FlowResult:
        answer = await self._exchange(open_flow, SYN, b'')
        if answer is None or answer.flags & RST:
            return FlowResult.refused
        report.host = payload_of(answer.raw).decode()
        number = 0
        deadline = time.time() + seconds
        while time.time() < deadline:
            number += 1
            sent = str(number).encode()
            answer = await self._exchange(open_flow, ACK, sent)
            if answer is None:
                return FlowResult.silent
            if answer.flags & RST:
                report.reset_by = payload_of(answer.raw).decode()
                return FlowResult.reset
            host = payload_of(answer.raw).split(b' ')[0].decode()
            if report.host != host:
                report.reset_by = host
                return FlowResult.moved
            await asyncio.sleep(_INTERVAL_SECONDS)
        self._send(make_packet(open_flow.flow, FIN | ACK))
        return FlowResult.whole

    async def _exchange(
        self,
        open_flow: _OpenFlow,
        flags: int,
        payload: bytes,
    ) -> InnerPacket | None:
        """Retransmit until answered; return None after a timeout."""
        packet = make_packet(open_flow.flow, flags, payload)
        deadline = time.time() + _ANSWER_TIMEOUT_SECONDS
        while time.time() < deadline:
            self._send(packet)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RETRANSMIT_SECONDS):
                    return await self._receive_matching(
                        open_flow, flags, payload
                    )
        return None

    async def _receive_matching(
        self,
        open_flow: _OpenFlow,
        flags: int,
        payload: bytes,
    ) -> InnerPacket:
        while True:
            answer = await open_flow.answers.get()
            if answer.flags & RST:
                return answer
            if flags & SYN and answer.flags & SYN:
                return answer
            if payload and payload_of(answer.raw).endswith(b' ' + payload):
                return answer

    def _send(self, packet: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(packet, self._fabric)

    def _receive(self, datagram: bytes, _sender: Address) -> None:
        packet = parse_inner(datagram)
        if packet is None:
            return
        open_flow = self._flows.get((packet.target, packet.target_port))
        if open_flow is not None:
            open_flow.answers.put_nowait(packet)
