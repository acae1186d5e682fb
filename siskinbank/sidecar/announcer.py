"""Tell other sidecars of the flows that they are asked for but do not own."""

import itertools
import struct
from collections.abc import Iterable, Iterator

from siskinbank.config.site import Address
from siskinbank.sidecar.context import SidecarContext
from siskinbank.sidecar.flows import FlowTable, Pointer
from siskinbank.sidecar.pool_history import PoolHistory
from siskinbank.wire.flow_messages import Moved, Started
from siskinbank.wire.packets import (
    flow_number,
    pack_address,
    unpack_address,
)

__all__ = ('Announcer', 'read_numbers')

LEASE_SECONDS = 90
_RENEW_SECONDS = 30
#: The renewal is spread over so many steps of a period.
_SLICES = 30
#: A change is told again, because datagrams get lost and views lag.
_REPEATS_SECONDS = (1, 3, 7, 12)
_FLOWS_A_MESSAGE = 128
_MAX_STARTED_PEERS = 128
_NUMBER = struct.Struct('!Q')


class Announcer:
    """Sends pointers to this upstream's flows, and renews their leases."""

    def __init__(
        self,
        context: SidecarContext,
        flows: FlowTable,
        history: PoolHistory,
        incarnation: int,
    ) -> None:
        """Announce ``flows`` where ``history`` says."""
        self._context = context
        self._flows = flows
        self._history = history
        self._incarnation = incarnation
        self._own = pack_address(context.settings.bind)
        self._waiting: Iterator[bytes] = iter(())
        self._slice = 0
        timers = context.process.timers
        timers.every(_RENEW_SECONDS / _SLICES, self._renew, jitter=0.2)

    def pool_changed(self) -> None:
        """Announce all flows now, and again for those who missed it."""
        self.announce_all()
        for delay in _REPEATS_SECONDS:
            self._context.process.timers.after(delay, self.announce_all)

    def started(self) -> None:
        """Ask the pool for pointers, as this process remembers nothing."""
        self._ask()
        for delay in _REPEATS_SECONDS:
            self._context.process.timers.after(delay, self._ask)

    def announce_new(self, flow: bytes) -> None:
        """Announce a flow that was opened just now."""
        self._send(self._by_home((flow,), new=True))

    def announce_all(self) -> None:
        """Announce all flows that other hosts may be asked for."""
        now = self._context.process.timers.now
        recent: list[bytes] = []
        old: list[bytes] = []
        for flow in self._flows:
            owned = self._flows.get(flow)
            young = owned is not None and now - owned.opened < LEASE_SECONDS
            (recent if young else old).append(flow)
        self._send(self._by_home(recent, new=True))
        self._send(self._by_home(old, new=False))

    def answer(self, address: bytes) -> None:
        """Announce to one host that has restarted what it should know."""
        homes = self._by_home(tuple(self._flows), new=False)
        self._send(
            {to: homes[to] for to in homes if pack_address(to) == address}
        )

    def tell(
        self,
        receiver: bytes,
        flow: bytes,
        pointer: Pointer | None = None,
    ) -> None:
        """Tell one host where a flow lives.

        Args:
            receiver: the host's packed address.
            flow: the flow.
            pointer: says where it lives, if not here.
        """
        if pointer is None:
            generation = self._context.view.generation
            pointer = Pointer(self._own, self._incarnation, generation, 0)
        sent = Moved(
            self._context.service.ident if self._context.service else 0,
            pointer.address,
            pointer.incarnation,
            pointer.generation,
            LEASE_SECONDS,
            _NUMBER.pack(flow_number(flow)),
        )
        self._context.peers.send_message(sent, unpack_address(receiver))

    def _renew(self) -> None:
        """Announce the next part of the flows that live away from home."""
        if self._slice == 0:
            self._waiting = iter(tuple(self._flows))
        self._slice = (self._slice + 1) % _SLICES
        size = len(self._flows) // _SLICES + 1
        part = list(itertools.islice(self._waiting, size))
        self._send(self._by_home(part, new=False))

    def _by_home(
        self,
        flows: Iterable[bytes],
        *,
        new: bool,
    ) -> dict[Address, list[int]]:
        homes: dict[Address, list[int]] = {}
        own = self._context.process.name
        for flow in flows:
            number = flow_number(flow)
            for host in self._history.homes(number, own, new=new):
                homes.setdefault(host.address, []).append(number)
        return homes

    def _send(self, homes: dict[Address, list[int]]) -> None:
        service = self._context.service
        if service is None:
            return
        for address, numbers in homes.items():
            for part in _parts(numbers):
                sent = Moved(
                    service.ident,
                    self._own,
                    self._incarnation,
                    self._context.view.generation,
                    LEASE_SECONDS,
                    part,
                )
                self._context.peers.send_message(sent, address)

    def _ask(self) -> None:
        service = self._context.service
        if service is None:
            return
        sent = Started(service.ident, self._own, self._incarnation)
        own = self._context.process.name
        hosts = [host for host in service.hosts if host.name != own]
        for host in hosts[:_MAX_STARTED_PEERS]:
            if self._context.router.allows(pack_address(host.address)):
                self._context.peers.send_message(sent, host.address)


def _parts(numbers: list[int]) -> Iterator[bytes]:
    for start in range(0, len(numbers), _FLOWS_A_MESSAGE):
        part = numbers[start : start + _FLOWS_A_MESSAGE]
        yield b''.join(map(_NUMBER.pack, part))


def read_numbers(packed: bytes) -> list[int]:
    """Return the flow numbers of a ``Moved`` message; none if malformed."""
    if len(packed) % _NUMBER.size:
        return []
    return [parts[0] for parts in _NUMBER.iter_unpack(packed)]
