"""A simulated network in virtual time for experiments."""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from siskinbank.config.site import Address
from siskinbank.kernel.clock import FakeClock

__all__ = ('FakeNetwork', 'FakeTransport')

Handler = Callable[[bytes, Address], None]


class FakeTransport(asyncio.DatagramTransport):
    """A datagram socket of a simulated network."""

    def __init__(self, network: 'FakeNetwork', local_address: Address) -> None:
        """Initialize a socket bound to ``local_address``."""
        super().__init__()
        self._network = network
        self._local_address = local_address

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send one datagram to ``addr``."""
        self._network.send(bytes(data), self._local_address, addr)

    def close(self) -> None:
        """Unbind the address."""
        self._network.unbind(self._local_address)


class FakeNetwork:
    """Delivers datagrams and runs callbacks in the order of virtual time.

    Attributes:
        loss: probability that a datagram is lost, if it may be lost.
        may_lose: returns whether a datagram may be lost.
        cut: returns whether the path from sender to receiver is cut.
        on_deliver: called with each delivered datagram and its receiver.
        datagrams: number of datagrams sent.
        bytes_sent: number of bytes sent.
    """

    def __init__(
        self,
        clock: FakeClock,
        rng: random.Random,
        latency: float = 0.001,
    ) -> None:
        """Initialize a network.

        Args:
            clock: the virtual clock, which the network advances.
            rng: draws losses and delays.
            latency: mean delay in seconds; each delay differs from it by up
                to a fifth.
        """
        self._clock = clock
        self._rng = rng
        self._latency = latency
        self._handlers: dict[Address, Handler] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.loss: float = 0
        self.may_lose: Callable[[bytes], bool] = _may_lose_any
        self.cut: Callable[[Address, Address], bool] = _never_cut
        self.on_deliver: Handler = _ignore_datagram
        self.datagrams = 0
        self.bytes_sent = 0

    def bind(self, address: Address, handler: Handler) -> FakeTransport:
        """Bind ``handler`` to an address; return a socket to send from it."""
        self._handlers[address] = handler
        return FakeTransport(self, address)

    def unbind(self, address: Address) -> None:
        """Unbind an address; datagrams to it are dropped from now on."""
        self._handlers.pop(address, None)

    def send(self, datagram: bytes, sender: Address, receiver: Address) -> None:
        """Send one datagram; it may be lost."""
        self.datagrams += 1
        self.bytes_sent += len(datagram)
        if self.loss and self.may_lose(datagram):
            if self._rng.random() < self.loss:
                return
        if self.cut(sender, receiver):
            return
        delay = self._latency * self._rng.uniform(0.8, 1.2)
        self.after(delay, lambda: self.deliver(datagram, receiver, sender))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` after ``delay`` seconds of virtual time."""
        due = self._clock() + delay
        heapq.heappush(self._queue, (due, next(self._order), callback))

    def run(self, seconds: float) -> None:
        """Run for ``seconds`` of virtual time."""
        deadline = self._clock() + seconds
        while self._queue and self._queue[0][0] <= deadline:
            due, _order, callback = heapq.heappop(self._queue)
            self._clock.now = max(due, self._clock.now)
            callback()
        self._clock.now = deadline

    def deliver(
        self,
        datagram: bytes,
        receiver: Address,
        sender: Address = ('0.0.0.0', 0),
    ) -> None:
        """Deliver a datagram without delay."""
        self.on_deliver(datagram, receiver)
        handler = self._handlers.get(receiver)
        if handler is not None:
            handler(datagram, sender)


def _never_cut(_sender: Address, _receiver: Address) -> bool:
    return False


def _may_lose_any(_datagram: bytes) -> bool:
    return True


def _ignore_datagram(_datagram: bytes, _receiver: Address) -> None:
    """Ignore a datagram."""
