"""A network in memory and in virtual time, for the experiments."""

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
    """A socket of the network in memory."""

    def __init__(self, network: 'FakeNetwork', own: Address) -> None:
        """Send from ``own``."""
        super().__init__()
        self._network = network
        self._own = own

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send one datagram."""
        self._network.send(bytes(data), self._own, addr)

    def close(self) -> None:
        """Take the address off the network."""
        self._network.unbind(self._own)


class FakeNetwork:
    """Delivers datagrams and calls back in the order of virtual time."""

    def __init__(
        self,
        clock: FakeClock,
        rng: random.Random,
        latency: float = 0.001,
    ) -> None:
        """Deliver after ``latency`` seconds, a fifth more or less."""
        self._clock = clock
        self._rng = rng
        self._latency = latency
        self._handlers: dict[Address, Handler] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.loss: float = 0
        self.may_lose: Callable[[bytes], bool] = _may_lose_all
        self.cut: Callable[[Address, Address], bool] = _never_cut
        self.watch: Handler = _watch_nothing
        self.datagrams = 0
        self.octets = 0

    def bind(self, address: Address, handler: Handler) -> FakeTransport:
        """Deliver what is sent to ``address`` to ``handler``."""
        self._handlers[address] = handler
        return FakeTransport(self, address)

    def unbind(self, address: Address) -> None:
        """Drop what is sent to ``address`` from now on."""
        self._handlers.pop(address, None)

    def send(self, datagram: bytes, sender: Address, receiver: Address) -> None:
        """Send one datagram; it may be lost."""
        self.datagrams += 1
        self.octets += len(datagram)
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
        """Let virtual time pass."""
        until = self._clock() + seconds
        while self._queue and self._queue[0][0] <= until:
            due, _order, callback = heapq.heappop(self._queue)
            self._clock.now = max(due, self._clock.now)
            callback()
        self._clock.now = until

    def deliver(
        self,
        datagram: bytes,
        receiver: Address,
        sender: Address = ('0.0.0.0', 0),
    ) -> None:
        """Hand over a datagram at once."""
        self.watch(datagram, receiver)
        handler = self._handlers.get(receiver)
        if handler is not None:
            handler(datagram, sender)


def _never_cut(_sender: Address, _receiver: Address) -> bool:
    return False


def _may_lose_all(_datagram: bytes) -> bool:
    return True


def _watch_nothing(_datagram: bytes, _receiver: Address) -> None:
    """Let a datagram pass."""
