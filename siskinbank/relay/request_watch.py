"""Follows the requests that a host works on, for load and for the logs."""

from __future__ import annotations

from siskinbank.platform.packets import FIN, RST, describe, flags_of

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.beliefs.own_host import OwnHost
    from siskinbank.relay.node import Node
    from siskinbank.sidecar.held_flows import HeldFlow, Request

__all__ = ('RequestWatch',)

_MS = 1000
# An answer follows the end of its flow within this, in seconds: both lie on
# the machine's own network.
_LAST_WORDS_S = 0.01


class RequestWatch:
    """Counts requests in progress and logs how each one ends."""

    __slots__ = ('_host', '_node', 'on_end')

    def __init__(self, node: Node, host: OwnHost) -> None:
        """Watch the requests of one host."""
        #: Called when a slot may be free.
        self.on_end: Callable[[], object] = bool
        self._node = node
        self._host = host

    def take_packet(self, key: bytes, flow: HeldFlow, packet: bytes) -> None:
        """Follow a client's packet."""
        before = flow.request
        request = flow.take_packet(packet, self._node.loop.now)
        if request is None:
            return
        host = self._host
        if before is None:
            request.waited = host.work.wait_s(host.busy, host.slots) > 0
            host.busy += 1
            host.arriving.note_request(key, self._node.loop.now)
        self._node.meters.count('requests_total')
        self._node.log(
            'request.start',
            id=request.name,
            flow=describe(key),
            entry=flow.entry or '-',
            busy=host.busy,
        )

    def take_answer(self, key: bytes, flow: HeldFlow, packet: bytes) -> None:
        """Follow a host's packet."""
        now = self._node.loop.now
        answer = flow.take_answer(packet, now)
        if answer is None:
            if flow.request and flags_of(packet) & (FIN | RST):
                self._expect_end(key, flow, flow.request)
            return
        if not answer.executed:
            self._host.room.note_shed(self._host.busy - 1, now)
            self._node.meters.count('requests_shed_total')
        self.end(key, flow, answer.status)

    def end(self, key: bytes, flow: HeldFlow, outcome: str) -> None:
        """Note that the request of a flow is over, if it has one."""
        request = flow.request
        if request is None:
            return
        flow.request = None
        host = self._host
        host.busy -= 1
        took = self._node.loop.now - request.began
        if not request.waited and outcome.isdigit():
            host.work.note(took)
        self._node.meters.count('requests_ended_total')
        self._node.meters.time('request_seconds', took)
        self._node.log(
            'request.end',
            id=request.name,
            flow=describe(key),
            outcome=outcome,
            ms=int(took * _MS),
            busy=host.busy,
        )
        self.on_end()

    def _expect_end(
        self,
        key: bytes,
        flow: HeldFlow,
        request: Request,
    ) -> None:
        """End a request whose host closes the flow.

        Load pattern: callers that close their side with the request, and
        hosts that close theirs without an answer; each request would count as
        work until the flow is idle. An answer may follow the end of its flow,
        as packets overtake each other.
        """

        def end_if_unanswered() -> None:
            if flow.request is request:
                self.end(key, flow, 'cut')

        self._node.loop.after(_LAST_WORDS_S, end_if_unanswered)
