"""Shedding of clients' packets at an entry whose link is backlogged."""

from __future__ import annotations

from siskinbank.admission.link_budget import (
    DATA,
    DROP,
    FIRST,
    FORWARD,
    OTHER,
    REJECT,
    LinkBudget,
)
from siskinbank.platform.packets import (
    FIN,
    FLOW_KEY,
    HEADER_BYTES,
    RST,
    SYN,
    flags_of,
    route_key,
    sequence_numbers,
)
from siskinbank.relay.meters import FRAMING_BYTES

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.entry.flow_cache import FlowCache
    from siskinbank.relay.follower import StoreFollower
    from siskinbank.relay.node import Node

__all__ = ('FORWARD', 'REJECT', 'LinkShedding')

# Interval between updates of rate and gauge, in seconds: a change of the
# settings applies within about their reload interval, and a backlog that delays
# clients appears in the gauge even if it is brief.
_UPDATE_INTERVAL_S = 0.25
_MS = 1000


class LinkShedding:
    """Decides for each packet of a client whether it is forwarded."""

    __slots__ = (
        '_budget',
        '_client_bytes',
        '_flows',
        '_follower',
        '_is_on',
        '_node',
        '_received',
        '_sent',
    )

    def __init__(
        self,
        node: Node,
        flows: FlowCache,
        follower: StoreFollower,
        is_on: bool,
    ) -> None:
        """Start with an empty backlog and the rate in the settings.

        Args:
            node: the process that runs the entry.
            flows: the flows that the entry knows.
            follower: provides the routes of the configuration.
            is_on: whether packets may be shed at all.
        """
        self._node = node
        self._flows = flows
        self._follower = follower
        self._is_on = is_on
        self._budget = LinkBudget()
        self._sent = node.meters.sent
        self._received = node.meters.received
        self._client_bytes = 0
        self._update()
        node.loop.every(_UPDATE_INTERVAL_S, self._update)

    @property
    def backlog_ms(self) -> int:
        """Backlog of the link at the last packet, in milliseconds."""
        return int(self._budget.backlog_s * _MS)

    @property
    def is_backlogged(self) -> bool:
        """Whether packets are examined, as the backlog is not short."""
        return self._sent.link_bytes >= self._budget.short_until

    def decide(self, packet: bytes) -> int:
        """Return FORWARD, DROP or REJECT for a valid packet of a client."""
        self._client_bytes += len(packet) + FRAMING_BYTES
        sent_bytes = self._sent.link_bytes
        if sent_bytes < self._budget.short_until or self._budget.is_short(
            self._node.loop.now, sent_bytes, self._received_bytes()
        ):
            return FORWARD
        key = packet[FLOW_KEY]
        address = route_key(key)
        route = self._follower.configuration.routes.get(address)
        if route is None:
            return FORWARD
        decision = self._budget.decide(
            address,
            route.priority,
            self._kind(key, packet),
            len(packet) - HEADER_BYTES,
            self._node.loop.now,
        )
        if decision != FORWARD:
            name = 'packets_dropped' if decision == DROP else 'flows_rejected'
            self._node.meters.count(
                f'{name}_link_priority_{route.priority}_total'
            )
        return decision

    def _received_bytes(self) -> int:
        """Return the bytes received from clients and from other processes."""
        return self._client_bytes + self._received.link_bytes

    def _kind(self, key: bytes, packet: bytes) -> int:
        flags = flags_of(packet)
        if flags & SYN:
            # A flow may be open once a copy of its first packet has been
            # forwarded, by this entry or, if this is a later copy, by another.
            is_new = self._flows.get(key) is None
            is_first_copy = not sequence_numbers(packet)[1]
            return FIRST if is_new and is_first_copy else OTHER
        if flags & (FIN | RST) or len(packet) == HEADER_BYTES:
            return OTHER
        return DATA

    def _update(self) -> None:
        now = self._node.loop.now
        sent_bytes = self._sent.link_bytes
        received_bytes = self._received_bytes()
        link_kbps = self._node.settings.link_kbps if self._is_on else 0
        self._budget.set_rate(link_kbps, now, sent_bytes, received_bytes)
        self._budget.is_short(now, sent_bytes, received_bytes)
        self._node.meters.gauge('link_backlog_ms', self.backlog_ms)
