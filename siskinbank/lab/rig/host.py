"""A stand-in of a host: flows, slots, and what it bounces."""

import asyncio
import random
from collections.abc import Callable

from siskinbank.platform.encoding import Packet, answer_bytes
from siskinbank.platform.packets import ACK, BOUNCED, FIN, RST, SYN

__all__ = ('HostStandIn',)

_WORK_S = 0.005
_ID = b'Siskinbank-Attempt-Id: '


class HostStandIn(asyncio.DatagramProtocol):
    """One host behind a sidecar.

    Attributes:
        name: what its answers say.
        runs: ids of the requests that it ran.
        taken: flows that it took, as addresses of clients.
        strays: packets of flows that it does not hold.
        broken: packets that nobody wrote so.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        output: tuple[str, int],
    ) -> None:
        """Prepare a host without flows."""
        self.name = name
        self.address = address
        self.runs: list[str] = []
        self.taken: list[tuple[str, int]] = []
        self.strays = 0
        self.broken = 0
        self.work_s = _WORK_S
        self._output = output
        self._flows: dict[tuple[tuple[str, int], tuple[str, int]], int] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Listen for packets."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=self.address,
        )
        self._transport = endpoint[0]

    def close(self) -> None:
        """Crash: all flows are lost."""
        self._flows.clear()
        if self._transport:
            self._transport.close()
            self._transport = None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take one packet."""
        packet = Packet.read(data)
        if not packet.whole:
            self.broken += 1
            return
        key = (packet.source, packet.target)
        if packet.flags & SYN:
            self._flows.setdefault(key, random.randrange(1 << 32))
            self.taken.append(packet.source)
            self._reply(packet, SYN | ACK, self._flows[key])
        elif key in self._flows:
            self._work(key, packet)
        else:
            self.strays += 1
            bounced = bytearray(data)
            bounced[12] |= BOUNCED
            self._send(bytes(bounced))

    def _work(
        self,
        key: tuple[tuple[str, int], tuple[str, int]],
        packet: Packet,
    ) -> None:
        if packet.flags & RST:
            self._flows.pop(key)
            return
        if packet.flags & FIN:
            self._reply(packet, FIN | ACK, packet.acknowledged)
            self._flows.pop(key)
            return
        if _ID in packet.content:
            _, _, rest = packet.content.partition(_ID)
            name = rest.partition(b'\r\n')[0].decode()
            loop = asyncio.get_running_loop()
            loop.call_later(self.work_s, self._finish(packet, name))

    def _finish(self, packet: Packet, name: str) -> Callable[[], None]:
        def finish() -> None:
            if name not in self.runs:
                self.runs.append(name)
            content = answer_bytes(name, self.name)
            self._reply(packet, ACK, packet.acknowledged, content)

        return finish

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
