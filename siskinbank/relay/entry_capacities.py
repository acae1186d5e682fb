"""Exchange of capacities between the entries of a data centre."""

from __future__ import annotations

from _socket import inet_aton, inet_ntoa

from siskinbank.choice.entry_rotation import (
    EntryRotation,
    EntryState,
    packet_rate,
)
from siskinbank.relay import messages
from siskinbank.relay.rotation import Rotation

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.node import Node

__all__ = ('BY_CAPACITY', 'EntryCapacities')

# Values of the setting: entries leave by capacity, or never.
BY_CAPACITY = 'capacity'
NEVER_LEAVE = 'all'

# Interval between messages to the entries whose turn it is, in seconds.
_SEND_INTERVAL_S = 1.0
# Maximum numbers of receivers per turn: entries of the same data centre, and
# entries whose data centre is not known.
_MAX_LOCAL_PER_TURN = 64
_MAX_UNLOCATED_PER_TURN = 8
# Interval between decisions, in seconds: half the interval of the routers'
# probes. Changed reports lead to a decision at once.
_DECISION_INTERVAL_S = 0.25
_MS = 1000


class EntryCapacities:
    """Tells the other entries this one's capacity; decides from theirs.

    A message with an interval of 0 goes to an entry of another data centre and
    is not answered; any other message from there is answered with one, so that
    its sender does not ask again.
    """

    __slots__ = (
        '_data_centre',
        '_is_prepared',
        '_known_entries',
        '_local_turn',
        '_may_leave',
        '_node',
        '_remote',
        '_reported',
        '_rotation',
        '_stopping',
        '_unlocated_turn',
    )

    def __init__(
        self,
        node: Node,
        known_entries: Callable[[], list[bytes]],
        is_prepared: Callable[[], bool],
        setting: str,
    ) -> None:
        """Register the message handler and start the timers.

        Args:
            node: the process that runs the entry.
            known_entries: returns the packed addresses of the other entries of
                all data centres.
            is_prepared: returns whether this entry can place flows.
            setting: ``capacity`` or ``all``; others are logged and count as
                ``all``.
        """
        self._node = node
        self._known_entries = known_entries
        self._is_prepared = is_prepared
        self._data_centre = messages.digest(node.settings.data_centre)
        self._rotation = EntryRotation(node.packed_ip)
        self._remote: set[bytes] = set()
        self._local_turn = Rotation(_MAX_LOCAL_PER_TURN)
        self._unlocated_turn = Rotation(_MAX_UNLOCATED_PER_TURN)
        self._stopping = False
        #: Last state that was sent to all entries of the data centre.
        self._reported = (False, False)
        self._may_leave = setting == BY_CAPACITY
        if setting not in {BY_CAPACITY, NEVER_LEAVE}:
            problem = setting.replace(' ', '_')
            node.log(
                'settings.refused', reason=f'entry_rotation_is_{problem!r}'
            )
        node.handlers[messages.ENTRY_CAPACITY] = self._handle_capacity
        node.loop.every(_SEND_INTERVAL_S, self._send_in_turn)
        node.loop.every(_DECISION_INTERVAL_S, self._check)
        # A report that arrived during a stall is older than it seems.
        node.loop.on_stall(lambda _seconds: self._rotation.restart_hold())

    @property
    def in_rotation(self) -> bool:
        """Whether this entry is in rotation by its own decision."""
        return self._rotation.in_rotation

    def begin_stop(self) -> None:
        """Tell the entries of the data centre that this one stops."""
        self._stopping = True
        self._send_if_changed()

    def _check(self) -> None:
        # Reports may wait behind the messages that were handled.
        self._node.receive_pending()
        self._rotation.sweep(self._node.loop.now)
        self._decide()
        self._update_gauges()

    def _decide(self) -> None:
        rotation = self._rotation
        settings = self._node.settings
        rotation.own.capacity = packet_rate(settings.link_kbps, settings.cores)
        before = rotation.in_rotation
        if self._stopping:
            # Readiness ends with the stop; the decision no longer matters.
            return
        if self._may_leave and self._is_prepared():
            rotation.decide(self._node.loop.now, len(self._unlocated()))
        else:
            rotation.join()
        if rotation.in_rotation != before:
            self._log_change()
        self._send_if_changed()

    def _log_change(self) -> None:
        name = 'joined' if self._rotation.in_rotation else 'left'
        inputs = self._rotation.describe(self._node.loop.now)
        self._node.log(f'rotation.{name}', **inputs)
        self._node.meters.count(f'rotation_{name}_total')

    def _update_gauges(self) -> None:
        meters = self._node.meters
        others = self._rotation.count_in_rotation(self._node.loop.now)
        meters.gauge('entries_known', len(self._rotation.others) + 1)
        meters.gauge('entries_in_rotation', others + self._is_serving())
        meters.gauge('in_rotation', int(self._rotation.in_rotation))

    def _is_serving(self) -> bool:
        return (
            self._rotation.in_rotation
            and not self._stopping
            and self._is_prepared()
        )

    def _unlocated(self) -> list[bytes]:
        """Return the entries whose data centre is not known."""
        return [
            packed
            for packed in self._known_entries()
            if packed not in self._rotation and packed not in self._remote
        ]

    def _send_if_changed(self) -> None:
        state = (self._is_serving(), self._stopping)
        if self._reported != state:
            self._reported = state
            self._send(self._rotation.others)

    def _send_in_turn(self) -> None:
        self._remote.intersection_update(self._known_entries())
        self._send(self._local_turn.next(self._rotation.others))
        self._send(self._unlocated_turn.next(self._unlocated()))

    def _send(self, receivers: list[bytes]) -> None:
        report = self._report()
        turns = self._local_turn.turns(len(self._rotation.others))
        report.interval_ms = int(turns * _SEND_INTERVAL_S * _MS)
        datagram = report.pack()
        for packed in receivers:
            self._node.send(inet_ntoa(packed), datagram)

    def _report(self) -> messages.EntryCapacity:
        report = messages.EntryCapacity(self._data_centre)
        report.capacity = self._rotation.own.capacity
        report.serving = self._is_serving()
        report.stopping = self._stopping
        return report

    def _handle_capacity(self, raw: bytes, ip: str) -> None:
        report = messages.EntryCapacity.read(raw)
        packed = inet_aton(ip)
        if report.data_centre == self._data_centre:
            self._remote.discard(packed)
            self._note_local(packed, report)
            return
        self._remote.add(packed)
        self._rotation.forget(packed)
        if report.interval_ms:
            self._node.send(ip, self._report().pack())

    def _note_local(
        self, packed: bytes, report: messages.EntryCapacity
    ) -> None:
        state = EntryState(packed, report.capacity, self._node.loop.now)
        state.serving = report.serving
        state.stopping = report.stopping
        state.interval_s = report.interval_ms / _MS
        if self._rotation.note(state):
            self._decide()
