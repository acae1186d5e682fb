"""Rejection of first packets that an entry cannot place."""

from __future__ import annotations

from siskinbank.entry.first_packets import (
    CLIENT_CONNECTED,
    DROP,
    NEXT_COPY_DUE,
    PORT_REUSED,
    REJECT,
    SEARCH,
    FirstPackets,
    SocketWait,
)
from siskinbank.platform.packets import (
    FLOW_KEY,
    SYN,
    describe_flow,
    flags_of,
    sequence_numbers,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.entry.flow_cache import FlowCache
    from siskinbank.relay.node import Node
    from siskinbank.tracking.hosts import HostTable

__all__ = ('FlowRejection',)


class FlowRejection:
    """Resets the flows of first packets, unless they may be open already."""

    __slots__ = (
        '_first_packets',
        '_flows',
        '_hosts',
        '_node',
        '_reset',
        '_search',
        '_socket_wait',
    )

    def __init__(
        self,
        node: Node,
        hosts: HostTable,
        flows: FlowCache,
        reset: Callable[..., None],
        search: Callable[[bytes, bytes], None],
    ) -> None:
        """Initialize without first packets.

        Args:
            node: the process that runs the entry.
            hosts: the hosts that a search queries.
            flows: the flows that the entry knows.
            reset: called to reset the flow of a packet, with the packet, the
                reason and other values for the log.
            search: called with flow key and packet to search for the host of a
                flow; further packets join the search, not go where a copy was
                sent.
        """
        self._node = node
        self._hosts = hosts
        self._flows = flows
        self._reset = reset
        self._search = search
        self._first_packets = FirstPackets()
        self._socket_wait = SocketWait()

    def note_first_packet(self, packet: bytes) -> bool:
        """Record a first packet that is read from the socket for clients.

        Returns:
            False if the client has opened another flow from its port since.
        """
        number, copy = sequence_numbers(packet)
        arrived = self._socket_wait.empty_at(self._previous_turn())
        return self._first_packets.note(packet[FLOW_KEY], copy, arrived, number)

    def note_read(self, is_drained: bool) -> None:
        """Record whether the socket for clients was read until it was empty."""
        self._socket_wait.end_read(is_drained, self._previous_turn())

    def reject(self, packet: bytes, reason: str, **inputs: object) -> None:
        """Reset the flow of a first packet, unless it may be open already.

        Args:
            packet: the first packet, which cannot be placed.
            reason: reason for the log.
            inputs: other values behind the decision, for the log.
        """
        key = packet[FLOW_KEY]
        flow = self._flows.get(key)
        if flow and flow.is_open:
            self._log_withheld(key, reason, DROP, CLIENT_CONNECTED)
            return
        now = self._node.loop.read_clock()
        action, doubt = self._first_packets.decide(key, now, len(self._hosts))
        if action == REJECT:
            self._reset(packet, reason, **inputs)
            return
        self._log_withheld(key, reason, action, doubt)
        if action == SEARCH:
            self._search(key, packet)

    def reset_not_held(
        self, packet: bytes, reason: str, **inputs: object
    ) -> None:
        """Reset a flow that no host held when it was queried.

        Args:
            packet: the packet that was searched for.
            reason: reason for the log.
            inputs: other values behind the decision, for the log.
        """
        key = packet[FLOW_KEY]
        now = self._node.loop.read_clock()
        is_first = bool(flags_of(packet) & SYN)
        if is_first and self._first_packets.is_next_copy_due(key, now):
            # That copy may have been placed by another entry since.
            self._log_withheld(key, reason, DROP, NEXT_COPY_DUE)
            return
        flow = self._flows.get(key)
        if flow and not flow.includes(sequence_numbers(packet)[0]):
            # It would end a flow that the client has opened from the port since.
            self._log_withheld(key, reason, DROP, PORT_REUSED)
            return
        self._reset(packet, reason, **inputs)

    def _previous_turn(self) -> float:
        loop = self._node.loop
        return loop.now - loop.since_previous_s

    def _log_withheld(
        self, key: bytes, reason: str, action: str, doubt: str
    ) -> None:
        now = self._node.loop.read_clock()
        self._node.meters.count(f'resets_withheld_{action}_total')
        self._node.log(
            'flow.withheld',
            flow=describe_flow(key),
            reason=reason,
            doubt=doubt,
            action=action,
            **self._first_packets.describe(key, now),
        )
