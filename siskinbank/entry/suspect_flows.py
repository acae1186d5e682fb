"""The last packets of flows whose hosts are probed."""

from __future__ import annotations

from siskinbank.platform.packets import route_key

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('SuspectFlows',)

# Maximum number of packets kept, some 5 MB; flows beyond that are checked when
# their next packet arrives.
_MAX_PACKETS = 4096


class SuspectFlows:
    """The last packet of each flow whose host is probed.

    Load pattern: clients of a dead host retransmit at growing intervals. A
    packet that comes just before the host counts as gone is their last one for
    1.6 s, in which they give up. An isolated entry keeps thousands of them, so
    that a check must not take long for each flow.
    """

    __slots__ = ('_packets',)

    def __init__(self) -> None:
        """Initialize without packets."""
        self._packets: dict[bytes, tuple[str, bytes]] = {}

    def add(self, key: bytes, ip: str, packet: bytes) -> None:
        """Keep a packet in place of the flow's previous one.

        Args:
            key: key of the flow.
            ip: address of its host, which is being probed.
            packet: a packet from its client.
        """
        if key in self._packets or len(self._packets) < _MAX_PACKETS:
            self._packets[key] = (ip, packet)

    def drop(self, key: bytes) -> None:
        """Drop the packet of a flow, as another flow has its key."""
        self._packets.pop(key, None)

    def take_decided(
        self,
        is_probed: Callable[[str], bool],
        gone_reason: Callable[[str, bytes], str],
    ) -> list[tuple[str, bytes, str]]:
        """Remove the flows whose hosts are gone or have been heard.

        Args:
            is_probed: returns whether the host at an address is being probed.
            gone_reason: returns the reason why the host at an address is gone
                for the flow with a key, empty if it may be alive. Called once
                for each host and route.

        Returns:
            Address of the host, packet and reason of each flow whose host is
            gone.
        """
        gone = []
        # The reason depends on the host and on the route only.
        reasons: dict[tuple[str, bytes], str] = {}
        for key, (ip, packet) in list(self._packets.items()):
            decision = (ip, route_key(key))
            if decision not in reasons and is_probed(ip):
                reasons[decision] = gone_reason(ip, key)
            reason = reasons.get(decision)
            if reason:
                gone.append((ip, packet, reason))
            if reason is None or reason:
                self._packets.pop(key)
        return gone
