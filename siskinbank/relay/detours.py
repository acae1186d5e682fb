"""Copies of retransmitted packets that take a path through a third data centre."""

from __future__ import annotations

from _socket import inet_ntoa
from _struct import Struct
from zlib import crc32

from siskinbank.choice.relay_host import select_relay
from siskinbank.platform.packets import HEADER_BYTES, describe_flow
from siskinbank.relay import messages

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.entry.flow_cache import CachedFlow
    from siskinbank.relay.node import Node
    from siskinbank.tracking.hosts import HostTable

__all__ = ('Detours', 'forward_detour')

# Kind of the message, addresses of the host that holds the flow and of the entry;
# the client's packet follows.
_HEADER = Struct('!B4s4s')
_MS = 1000


class Detours:
    """Sends the copies of one entry."""

    __slots__ = ('_data_centre', '_hosts', '_is_on', '_node')

    def __init__(self, node: Node, hosts: HostTable, is_on: bool) -> None:
        """Initialize without sending anything.

        Args:
            node: the process that runs the entry.
            hosts: the known state of the hosts.
            is_on: whether copies are sent at all.
        """
        self._node = node
        self._hosts = hosts
        self._is_on = is_on
        self._data_centre = messages.digest(node.settings.data_centre)

    def send_copy(self, key: bytes, flow: CachedFlow, packet: bytes) -> None:
        """Send a copy of a retransmitted packet on another path, if there is one.

        Args:
            key: key of its flow.
            flow: the flow, whose host got the packet directly as well.
            packet: the packet.
        """
        target = self._hosts.get(flow.ip)
        if not self._is_on or target is None:
            return
        now = self._node.loop.now
        relay = select_relay(
            self._hosts.ordered,
            target,
            self._data_centre,
            crc32(key),
            flow.repeats - 1,
            now,
        )
        if relay is None:
            return
        header = _HEADER.pack(
            messages.DETOUR, target.packed, self._node.packed_ip
        )
        self._node.send(relay.ip, header + packet)
        self._node.meters.count('packets_detoured_total')
        if flow.repeats == 1:
            self._node.log(
                'flow.detoured',
                flow=describe_flow(key),
                host=flow.ip,
                relay=relay.ip,
                age_ms=int((now - target.last_seen) * _MS),
            )


def forward_detour(node: Node, raw: bytes) -> None:
    """Pass a packet on to the sidecar that it is for.

    Args:
        node: the process that runs the sidecar which passes it on.
        raw: the datagram from the entry.

    Raises:
        DatagramError: the datagram is truncated.
    """
    if len(raw) < _HEADER.size + HEADER_BYTES:
        raise messages.DatagramError('detour without a whole packet')
    _, target, entry = _HEADER.unpack_from(raw)
    packet = raw[_HEADER.size :]
    datagram = messages.pack_relayed(entry, [], packet)
    node.send(inet_ntoa(target), datagram)
