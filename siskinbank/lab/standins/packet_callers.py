"""Callers whose packets go through the fabric."""

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
_GIVE_UP_SECONDS = 5
_PACE_SECONDS = 0.2
_FIRST_PORT = 1024
_LAST_PORT = 65000


@dataclass(slots=True)
class _OpenFlow:
    flow: Flow
    answers: asyncio.Queue[InnerPacket] = field(default_factory=asyncio.Queue)


class PacketCallers:
    """Opens flows, sends numbered packets and checks each answer."""

    def __init__(self, fabric: Address, seed: int) -> None:
        """Send packets to ``fabric``."""
        self._fabric = fabric
        self._rng = random.Random(seed)
        self._flows: dict[tuple[bytes, int], _OpenFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self.reports: list[FlowReport] = []

    async def open(self, address: Address) -> None:
        """Take the answers of upstreams at ``address``."""
        self._transport = await open_udp(address, self._receive)

    async def run_flow(self, service: Address, seconds: float) -> None:
        """Keep one flow open for a while."""
        number = self._rng.randrange(1 << 16)
        flow = Flow(
            f'10.9.{number >> 8}.{number & 0xFF}',
            self._rng.randrange(_FIRST_PORT, _LAST_PORT),
            *service,
        )
        report = FlowReport('fou', opened_at=time.time())
        self.reports.append(report)
        key = (socket.inet_aton(flow.source), flow.source_port)
        opened = _OpenFlow(flow)
        self._flows[key] = opened
        try:
            report.result = await self._talk(opened, report, seconds)
        finally:
            report.ended_at = time.time()
            self._flows.pop(key, None)

    async def _talk(
        self,
        opened: _OpenFlow,
        report: FlowReport,
        seconds: float,
    ) -> FlowResult:
        answer = await self._exchange(opened, SYN, b'')
        if answer is None or answer.flags & RST:
            return FlowResult.refused
        report.host = payload_of(answer.raw).decode()
        number = 0
        until = time.time() + seconds
        while time.time() < until:
            number += 1
            sent = str(number).encode()
            answer = await self._exchange(opened, ACK, sent)
            if answer is None:
                return FlowResult.silent
            if answer.flags & RST:
                report.reset_by = payload_of(answer.raw).decode()
                return FlowResult.reset
            host = payload_of(answer.raw).split(b' ')[0].decode()
            if report.host != host:
                report.reset_by = host
                return FlowResult.moved
            await asyncio.sleep(_PACE_SECONDS)
        self._send(make_packet(opened.flow, FIN | ACK))
        return FlowResult.whole

    async def _exchange(
        self,
        opened: _OpenFlow,
        flags: int,
        payload: bytes,
    ) -> InnerPacket | None:
        """Send until answered; None after a while of silence."""
        packet = make_packet(opened.flow, flags, payload)
        until = time.time() + _GIVE_UP_SECONDS
        while time.time() < until:
            self._send(packet)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RETRANSMIT_SECONDS):
                    return await self._matching(opened, flags, payload)
        return None

    async def _matching(
        self,
        opened: _OpenFlow,
        flags: int,
        payload: bytes,
    ) -> InnerPacket:
        while True:
            answer = await opened.answers.get()
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
        opened = self._flows.get((packet.target, packet.target_port))
        if opened is not None:
            opened.answers.put_nowait(packet)
