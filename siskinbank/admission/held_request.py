"""A request on an open flow that a sidecar holds until its host has a slot.

Load pattern: clients on long flows send several times what a host can process.
Its own queue is first come, first served, so that each request which is passed
on at once delays all later ones, whatever their priority is.
"""

from __future__ import annotations

from siskinbank.admission.service_order import FlowRequest
from siskinbank.platform.packets import flags_of, sequence_numbers

__all__ = ('HeldRequest',)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.admission.known_routes import RouteParameters

# Packets held for one flow: a client has no more than these in flight.
_MAX_PACKETS = 16


class HeldRequest(FlowRequest):
    """The packets of a flow from the first one of a held request on.

    Attributes:
        repeatable: whether the request may run more than once.
    """

    __slots__ = ('_idle_since', '_max_idle_s', '_packets', 'repeatable')

    def __init__(
        self,
        key: bytes,
        route: RouteParameters,
        queued_at: float,
        sent: float,
        work_s: float,
        max_idle_s: Callable[[], float],
    ) -> None:
        """Initialize a request without packets.

        Args:
            key: the key of the flow.
            route: the parameters of its route.
            queued_at: time in seconds when its first packet arrived.
            sent: time in seconds when the client sent the request, or the
                first packet of a flow that it opened for the request.
            work_s: mean processing time of the route's requests, in seconds.
            max_idle_s: returns the time in seconds after which the flow may be
                idle no longer at its host. The operator may change it.
        """
        super().__init__(key, route, queued_at, sent, work_s)
        self.repeatable = route.repeatable
        self._max_idle_s = max_idle_s
        self._idle_since = queued_at
        self._packets: dict[tuple[int, int, int], bytes] = {}

    @property
    def packets(self) -> list[bytes]:
        """The held packets in the order in which they arrived first."""
        return list(self._packets.values())

    @property
    def pass_by(self) -> float:
        """The time in seconds by which the request is passed on.

        The host would discard the flow later.
        """
        return self._idle_since + self._max_idle_s()

    def note_idle_since(self, last_seen: float) -> None:
        """Note when the host saw the last packet of the flow, in seconds."""
        self._idle_since = last_seen

    def add(self, packet: bytes) -> bool:
        """Add a packet, or replace the one that it retransmits.

        Returns:
            False if there are too many packets; the client sends it again.
        """
        identity = (
            sequence_numbers(packet)[0],
            flags_of(packet),
            len(packet),
        )
        if identity not in self._packets and len(self._packets) >= _MAX_PACKETS:
            return False
        self._packets[identity] = packet
        return True

    def is_useless(self, now: float) -> bool:
        """Return whether the client waits no longer and loses nothing."""
        return self.repeatable and now > self.useful_until

    def must_leave(self, now: float) -> bool:
        """Return whether the request may not stay in the queue.

        A request that may run once leaves when its time limit can't be met any
        more. A repeatable one stays at the end of the order until its client
        closes the flow: the host would work for nobody, and only the host may
        reset an open flow.

        Args:
            now: time in seconds.
        """
        is_hopeless = not self.repeatable and now > self.useful_until
        return is_hopeless or now > self.pass_by
