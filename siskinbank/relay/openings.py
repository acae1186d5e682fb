"""First packets of clients: where one goes that reaches a sidecar."""

from __future__ import annotations

from _socket import inet_ntoa

from siskinbank.admission import reasons
from siskinbank.admission.arrivals import where_to_wait
from siskinbank.admission.waiting_room import (
    KeptOpening,
    WaitingRoom,
    sent_ago_s,
)
from siskinbank.platform.packets import (
    FLOW_KEY,
    HEAD_BYTES,
    describe,
    sequence_numbers,
)
from siskinbank.relay import messages
from siskinbank.sidecar.held_flows import Waiting

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.beliefs.own_host import OwnHost
    from siskinbank.relay.node import Node
    from siskinbank.relay.reports import Reports
    from siskinbank.sidecar.held_flows import HeldFlow

__all__ = ('Openings', 'whole_packet')

# A flow is passed on at most this often.
_MOST_HOPS = 8
# Free slots of a host that would shed another request.
_NO_ROOM = -1000
# Kept flows are looked at this often, in seconds, besides each end of a
# request: as long as a usual request.
_LOOK_S = 0.03
_MS = 1000


class Openings:
    """Takes new flows for one host, keeps them, or passes them on.

    Attributes:
        room: the flows kept until a slot is free.
    """

    __slots__ = (
        '_deliver',
        '_flows',
        '_host',
        '_looking',
        '_node',
        '_reports',
        '_waiting',
        'room',
    )

    def __init__(
        self,
        node: Node,
        host: OwnHost,
        reports: Reports,
        flows: dict[bytes, HeldFlow],
        waiting: dict[bytes, Waiting],
        deliver: Callable[[bytes], None],
    ) -> None:
        """Hear first packets from now on.

        Args:
            node: the process.
            host: what is known of the host.
            reports: tells the entries.
            flows: the flows that the host holds, by key.
            waiting: packets that the host has not answered, by flow key.
            deliver: hands a packet to the host.
        """
        self.room = WaitingRoom()
        self._looking = False
        self._node = node
        self._host = host
        self._reports = reports
        self._flows = flows
        self._waiting = waiting
        self._deliver = deliver
        node.handlers[messages.OPEN] = self._hear_open

    def take_back(self, key: bytes, waiting: Waiting | None) -> None:
        """Note that the host does not take a flow."""
        self._host.arriving.end(key)
        if self._host.refusing.note_refusal(self._node.loop.now):
            self._node.log('host.refusing', flows=len(self._flows))
            self._reports.tell()
        if waiting and waiting.opening:
            self._pass_on(key, waiting.opening, reasons.HOST_REFUSED)

    def count_in_time(self) -> int:
        """Count the kept flows that a new one would find before it."""
        now = self._node.loop.now
        return self.room.count_in_time(now, self._host.work.seconds)

    def release(self) -> None:
        """Hand kept flows to the host while it has slots for them."""
        if not self.room:
            return
        now = self._node.loop.now
        host = self._host
        reason = host.reason_against(host.service, now)
        if reason == reasons.COLD:
            return
        if reason:
            for key, kept in self.room.clear():
                self._pass_on(key, kept.opening, reason)
            return
        while host.spare(now) != 0:
            found = self.room.next(now, host.work.seconds, self._free(now))
            if found is None:
                return
            self._admit(*found)

    def _hear_open(self, raw: bytes, ip: str) -> None:
        opening = messages.Opening.read(raw)
        packet = whole_packet(opening.packet)
        key = packet[FLOW_KEY]
        entry = inet_ntoa(opening.entry)
        self._host.version = max(self._host.version, opening.version)
        self._reports.note_entry(entry)
        flow = self._flows.get(key)
        if flow:
            flow.entry = entry
        if flow or key in self._waiting:
            # A copy of what the host has already.
            self._deliver(packet)
            return
        kept = self.room.get(key)
        if kept:
            kept.opening = opening
            return
        now = self._node.loop.now
        reason = self._host.reason_against(opening.service, now)
        if reason:
            self._pass_on(key, opening, reason)
        else:
            self._place(key, opening)

    def _place(self, key: bytes, opening: messages.Opening) -> None:
        now = self._node.loop.now
        host = self._host
        left = bool(opening.candidates) and opening.hops < _MOST_HOPS
        unknown = not host.is_trusted(now) and not host.may_prove_itself(now)
        if left and unknown:
            self._pass_on(key, opening, reasons.BUSY)
            return
        copy = sequence_numbers(opening.packet)[1]
        sent = now - sent_ago_s(copy)
        kept = KeptOpening(opening, now, sent, opening.aim_ms / _MS)
        wait = self._wait_s(kept)
        best = opening.best_wait_s
        where = where_to_wait(wait, opening.limit_ms / _MS, best, left)
        if where == 'here':
            self._keep(key, kept)
            return
        if where == 'back':
            # There it stays.
            opening.candidates = [opening.best]
            opening.best_wait_ms = messages.MOST_WAIT_MS
        elif wait is not None and (best is None or wait < best):
            opening.best = self._node.packed_ip
            opening.best_wait_ms = messages.wait_ms(wait)
        reason = reasons.BUSY if opening.is_hopeless else reasons.FULL
        self._pass_on(key, opening, reason)

    def _wait_s(self, kept: KeptOpening) -> float | None:
        """Return how long a flow would wait here, None if there is no room."""
        if self.room.full:
            return None
        now = self._node.loop.now
        host = self._host
        ahead = self.room.ahead_of(kept, now, host.work.seconds)
        return host.wait_s(now, ahead)

    def _keep(self, key: bytes, kept: KeptOpening) -> None:
        self.room.keep(key, kept)
        self.release()
        if not self.room.get(key):
            return
        opening = kept.opening
        self._node.meters.count('flows_kept_total')
        self._node.log(
            'flow.kept',
            flow=describe(key),
            kept=len(self.room),
            busy=self._host.busy,
            copy=sequence_numbers(opening.packet)[1],
            hops=opening.hops,
        )
        note = messages.flow_note(messages.KEPT, key, 0)
        self._node.send(inet_ntoa(opening.entry), note)
        self._look_later()

    def _free(self, now: float) -> int:
        """Return the slots without a request, below 0 for those that wait."""
        host = self._host
        if host.is_full(now):
            return _NO_ROOM
        return host.slots - host.expected(now)

    def _look_later(self) -> None:
        if not self._looking:
            self._looking = True
            self._node.loop.after(_LOOK_S, self._look)

    def _look(self) -> None:
        """See what becomes of the flows that are kept."""
        self._looking = False
        now = self._node.loop.now
        for key, kept in self.room.drop_given_up(now):
            self._node.meters.count('flows_given_up_total')
            self._node.log(
                'flow.refused',
                flow=describe(key),
                reason='client-gave-up',
                kept_ms=int((now - kept.since) * _MS),
            )
        self.release()
        if self.room:
            self._look_later()

    def _admit(self, key: bytes, kept: KeptOpening) -> None:
        now = self._node.loop.now
        opening = kept.opening
        host = self._host
        host.note_taken(key, now)
        waiting = Waiting(inet_ntoa(opening.entry), now, opening.packet)
        waiting.opening = opening
        self._waiting[key] = waiting
        self._node.log(
            'flow.taken',
            flow=describe(key),
            busy=host.busy,
            kept_ms=int((now - kept.since) * _MS),
            kept=len(self.room),
            flows=len(self._flows),
            hops=opening.hops,
            version=opening.version,
            revision=host.revision,
            age_ms=host.age_ms(now),
        )
        self._deliver(opening.packet)

    def _pass_on(
        self,
        key: bytes,
        opening: messages.Opening,
        reason: int,
    ) -> None:
        host = self._host
        name = reasons.name_of(reason)
        passing = bool(opening.candidates) and opening.hops <= _MOST_HOPS
        self._node.meters.count(f'flows_not_taken_{name}_total')
        self._node.log(
            'flow.passed' if passing else 'flow.refused',
            flow=describe(key),
            reason=name,
            busy=host.busy,
            wait_ms=int(host.wait_s(self._node.loop.now) * _MS),
            hops=opening.hops,
            revision=host.revision,
            age_ms=host.age_ms(self._node.loop.now),
        )
        if passing:
            opening.hops += 1
            self._node.send(opening.pop_next(), opening.pack())
            return
        note = messages.flow_note(messages.REFUSED, key, 0, reason)
        self._node.send(inet_ntoa(opening.entry), note + opening.packet)


def whole_packet(packet: bytes) -> bytes:
    """Return a packet that has at least a head.

    Raises:
        Malformed: it has not.
    """
    if len(packet) < HEAD_BYTES:
        raise messages.Malformed('no packet')
    return packet
