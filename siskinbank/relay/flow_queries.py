"""What a sidecar tells entries about the flows of its host."""

from __future__ import annotations

from siskinbank.platform.packets import sequence_numbers
from siskinbank.relay import messages

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Container

    from siskinbank.admission.pending_queue import PendingQueue
    from siskinbank.relay.node import Node
    from siskinbank.relay.status_reporter import StatusReporter
    from siskinbank.sidecar.tracked_flows import TrackedFlow, UnansweredPacket
    from siskinbank.tracking.own_host import OwnHost

__all__ = ('FlowQueries', 'send_absent', 'send_held', 'send_not_held')


class FlowQueries:
    """Answers the queries of entries that search for the hosts of flows."""

    __slots__ = (
        '_doubtful_flows',
        '_flows',
        '_host',
        '_node',
        '_queue',
        '_reporter',
        '_unanswered',
    )

    def __init__(
        self,
        node: Node,
        host: OwnHost,
        reporter: StatusReporter,
        flows: dict[bytes, TrackedFlow],
        unanswered: dict[bytes, UnansweredPacket],
        doubtful_flows: Container[bytes],
        queue: PendingQueue,
    ) -> None:
        """Register the message handler.

        Args:
            node: the process that runs the sidecar.
            host: the known state of the host.
            reporter: sends status updates to the entries.
            flows: the flows that the host holds, by flow key.
            unanswered: packets that the host has not answered, by flow key.
            doubtful_flows: keys of the flows that the host may have lost.
            queue: first packets that wait for a free slot.
        """
        self._node = node
        self._host = host
        self._reporter = reporter
        self._flows = flows
        self._unanswered = unanswered
        self._doubtful_flows = doubtful_flows
        self._queue = queue
        node.handlers[messages.FLOW_QUERY] = self._handle_query

    def _handle_query(self, raw: bytes, ip: str) -> None:
        self._reporter.note_entry(ip)
        answers: dict[int, list[tuple[bytes, int]]] = {}
        complete = self._host.has_observed_all_flows(self._node.loop.now)
        for key, sequence in messages.read_flows(raw):
            flow = self._flows.get(key)
            if flow and flow.includes(sequence):
                flow.entry = ip
                send_held(self._node, key, flow, sequence)
            elif not self._may_open(key, flow):
                kind = self._denial(key, flow, complete)
                answers.setdefault(kind, []).append((key, sequence))
        for kind, flows in answers.items():
            self._node.send(ip, messages.pack_flows(kind, flows))

    def _denial(
        self, key: bytes, other: TrackedFlow | None, complete: bool
    ) -> int:
        """Return the kind of the answer for a flow that is not known here.

        Args:
            key: the key of the flow.
            other: another flow of its port, which the host has held.
            complete: whether the sidecar has seen all flows of the host.
        """
        if other or (complete and key not in self._doubtful_flows):
            return messages.NOT_HELD
        return messages.HELD_UNKNOWN

    def _may_open(self, key: bytes, other: TrackedFlow | None) -> bool:
        """Return whether the host holds another flow of a port, or may open one.

        The client may have opened either flow of its port later, and a denial of
        the earlier one would reset the port.

        Args:
            key: the key of the flows.
            other: the flow of the port that the host holds, or has held.
        """
        if other and not other.ended_at:
            return True
        unanswered = self._unanswered.get(key)
        if unanswered and unanswered.is_first:
            return True
        return self._queue.opening(key) is not None


def send_held(
    node: Node, key: bytes, flow: TrackedFlow, sequence: int | None
) -> None:
    """Tell the entry of a flow that the host holds it.

    Args:
        node: the process that runs the sidecar.
        key: the key of the flow.
        flow: the flow.
        sequence: sequence number of a packet of its client.
    """
    if flow.entry:
        note = messages.pack_flow_note(
            messages.HELD, key, flow.number, int(flow.established), sequence
        )
        node.send(flow.entry, note)


def send_not_held(node: Node, key: bytes, unanswered: UnansweredPacket) -> None:
    """Tell an entry that the host doesn't hold the flow of a packet.

    Args:
        node: the process that runs the sidecar.
        key: the key of the flow.
        unanswered: the packet that the entry has sent.
    """
    packet = unanswered.packet
    if unanswered.relayed:
        flow = (key, sequence_numbers(packet)[0])
        node.send(
            unanswered.entry, messages.pack_flows(messages.NOT_HELD, [flow])
        )
    else:
        send_absent(node, key, unanswered.entry, packet)


def send_absent(
    node: Node, key: bytes, entry: str, packet: bytes, reason: int = 0
) -> None:
    """Return a packet to an entry, as the host doesn't hold its flow.

    Args:
        node: the process that runs the sidecar.
        key: the key of the flow.
        entry: address of the entry.
        packet: the packet.
        reason: OTHER_FLOW if the host holds another flow of the port.
    """
    number = sequence_numbers(packet)[0]
    note = messages.pack_flow_note(messages.ABSENT, key, 0, reason, number)
    node.send(entry, note + packet)
