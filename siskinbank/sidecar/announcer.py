"""Announce flows to the sidecars that get their packets but don't own them."""

import itertools
import struct
from collections.abc import Iterable, Iterator

from siskinbank.config.site import Address
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.flows import FlowTable, Pointer
from siskinbank.sidecar.pool_history import PoolHistory
from siskinbank.wire.flow_messages import Moved, Restarted
from siskinbank.wire.packets import (
    flow_number,
    pack_address,
    unpack_address,
)

__all__ = ('Announcer', 'unpack_flow_numbers')

LEASE_SECONDS = 90
_RENEW_INTERVAL_SECONDS = 30
#: Number of steps over which the renewals of one period are spread.
_RENEW_STEPS = 30
#: Share by which the interval between two steps varies.
_JITTER = 0.2
#: Delays of the repeated announcements after a change, because datagrams get
#: lost and the views of other processes lag behind.
_REPEAT_DELAYS_SECONDS = (1, 3, 7, 12)
_MAX_FLOWS_PER_MESSAGE = 128
#: Maximum number of hosts that receive a ``Restarted`` message.
_MAX_RESTART_RECEIVERS = 128
_FLOW_NUMBER = struct.Struct('!Q')


class Announcer:
    """Announces pointers to this upstream's flows and renews their leases."""

    def __init__(
        self,
        context: SidecarContext,
        flows: FlowTable,
        history: PoolHistory,
        incarnation: int,
    ) -> None:
        """Initialize the announcer and start the renewal timer.

        Args:
            context: the sidecar's shared parts.
            flows: the owned flows.
            history: selects the receivers of each announcement.
            incarnation: the incarnation of this process.
        """
        self._context = context
        self._flows = flows
        self._history = history
        self._incarnation = incarnation
        self._own_address = pack_address(context.settings.bind)
        self._unrenewed: Iterator[bytes] = iter(())
        self._step = 0
        timers = context.process.timers
        timers.every(
            _RENEW_INTERVAL_SECONDS / _RENEW_STEPS, self._renew, jitter=_JITTER
        )

    def pool_changed(self) -> None:
        """Announce all flows now and again later, as messages may be lost."""
        self.announce_all()
        for delay in _REPEAT_DELAYS_SECONDS:
            self._context.process.timers.after(delay, self.announce_all)

    def request_pointers(self) -> None:
        """Ask the pool for pointers, as this process starts without any."""
        self._send_restarted()
        for delay in _REPEAT_DELAYS_SECONDS:
            self._context.process.timers.after(delay, self._send_restarted)

    def announce_new(self, flow: bytes) -> None:
        """Announce a flow that was just opened."""
        self._send(self._group_by_receiver((flow,), new=True))

    def announce_all(self) -> None:
        """Announce all flows that entries may offer to other hosts first."""
        now = self._context.process.timers.now
        recent: list[bytes] = []
        old: list[bytes] = []
        for flow in self._flows:
            owned = self._flows.get(flow)
            is_recent = owned is not None and now - owned.opened < LEASE_SECONDS
            (recent if is_recent else old).append(flow)
        self._send(self._group_by_receiver(recent, new=True))
        self._send(self._group_by_receiver(old, new=False))

    def announce_to(self, address: bytes) -> None:
        """Announce to a restarted host the flows that it may be asked for."""
        receiver = unpack_address(address)
        numbers = self._history.announced_to(
            receiver,
            map(flow_number, self._flows),
            self._context.process.name,
        )
        if numbers:
            self._send({receiver: numbers})

    def send_pointer(
        self,
        receiver: bytes,
        flow: bytes,
        pointer: Pointer | None = None,
    ) -> None:
        """Send one host the pointer to a flow.

        Args:
            receiver: the host's packed address.
            flow: the flow.
            pointer: the pointer to its owner; this host if None.
        """
        if pointer is None:
            generation = self._context.view.generation
            pointer = Pointer(
                self._own_address, self._incarnation, generation, 0
            )
        message = Moved(
            self._context.service.ident if self._context.service else 0,
            pointer.address,
            pointer.incarnation,
            pointer.generation,
            LEASE_SECONDS,
            _FLOW_NUMBER.pack(flow_number(flow)),
        )
        self._context.peers.send_message(message, unpack_address(receiver))

    def _renew(self) -> None:
        """Announce the next part of the flows, which renews their leases."""
        if self._step == 0:
            self._unrenewed = iter(tuple(self._flows))
        self._step = (self._step + 1) % _RENEW_STEPS
        size = len(self._flows) // _RENEW_STEPS + 1
        chunk = list(itertools.islice(self._unrenewed, size))
        self._send(self._group_by_receiver(chunk, new=False))

    def _group_by_receiver(
        self,
        flows: Iterable[bytes],
        *,
        new: bool,
    ) -> dict[Address, list[int]]:
        receivers: dict[Address, list[int]] = {}
        own_name = self._context.process.name
        for flow in flows:
            number = flow_number(flow)
            for host in self._history.announcement_targets(
                number, own_name, new=new
            ):
                receivers.setdefault(host.address, []).append(number)
        return receivers

    def _send(self, receivers: dict[Address, list[int]]) -> None:
        service = self._context.service
        if service is None:
            return
        for address, numbers in receivers.items():
            for chunk in _pack_chunks(numbers):
                message = Moved(
                    service.ident,
                    self._own_address,
                    self._incarnation,
                    self._context.view.generation,
                    LEASE_SECONDS,
                    chunk,
                )
                self._context.peers.send_message(message, address)

    def _send_restarted(self) -> None:
        service = self._context.service
        if service is None:
            return
        message = Restarted(service.ident, self._own_address, self._incarnation)
        own_name = self._context.process.name
        hosts = [host for host in service.hosts if host.name != own_name]
        for host in hosts[:_MAX_RESTART_RECEIVERS]:
            if self._context.router.allows(pack_address(host.address)):
                self._context.peers.send_message(message, host.address)


def _pack_chunks(numbers: list[int]) -> Iterator[bytes]:
    for start in range(0, len(numbers), _MAX_FLOWS_PER_MESSAGE):
        chunk = numbers[start : start + _MAX_FLOWS_PER_MESSAGE]
        yield b''.join(map(_FLOW_NUMBER.pack, chunk))


def unpack_flow_numbers(packed: bytes) -> list[int]:
    """Return the flow numbers of a ``Moved`` message; none if malformed."""
    if len(packed) % _FLOW_NUMBER.size:
        return []
    return [parts[0] for parts in _FLOW_NUMBER.iter_unpack(packed)]
