"""Processes in virtual time: the real dissemination over a fake network."""

import functools
import random
from collections import Counter
from collections.abc import Callable

from siskinbank.config.sections import DocumentKey, Manifest
from siskinbank.config.site import Address, Site
from siskinbank.kernel import events
from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.findings import Findings
from siskinbank.kernel.metrics import Metrics
from siskinbank.lab.network import FakeNetwork
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.peers.gossip import Gossip, Identity
from siskinbank.directory.store import DocumentStore, judge_document
from siskinbank.wire.keys import KEY_BYTES, Key, KeyRing

__all__ = ('QuietLog', 'VirtualNode', 'VirtualTimers')

_KEYS = KeyRing([Key(1, bytes(KEY_BYTES))])


class QuietLog(events.EventLog):
    """Counts events by number and writes none."""

    def __init__(self) -> None:
        """Start with none."""
        super().__init__('lab', 'virtual')
        self.numbers: Counter[int] = Counter()

    def write(self, event: events.Event, **_fields: object) -> None:
        """Count one event."""
        self.numbers[event.number] += 1


class VirtualTimers:
    """A timer service whose callbacks wait while the process is paused."""

    def __init__(
        self,
        network: FakeNetwork,
        clock: FakeClock,
        rng: random.Random,
    ) -> None:
        """Run on the network's queue."""
        self._network = network
        self._clock = clock
        self._rng = rng
        self._waiting: list[Callable[[], None]] = []
        self.paused = False
        self.stopped = False

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return self._clock.now

    def every(
        self,
        interval: float,
        callback: Callable[[], None],
        jitter: float = 0,
    ) -> None:
        """Call ``callback`` each ``interval`` seconds."""

        def again() -> None:
            callback()
            spread = self._rng.uniform(-jitter, jitter) * interval
            self.after(interval + spread, again)

        self.after(interval * self._rng.random(), again)

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` once."""
        self._network.after(delay, functools.partial(self._run, callback))

    def resume(self) -> None:
        """Go on after a pause; what is late runs at once."""
        self.paused = False
        waiting, self._waiting = self._waiting, []
        for callback in waiting:
            self._run(callback)

    def _run(self, callback: Callable[[], None]) -> None:
        if self.stopped:
            return
        if self.paused:
            self._waiting.append(callback)
        else:
            callback()


_Judged = tuple[Site | None, Findings]
_judged: dict[DocumentKey, _Judged] = {}


def _judge_once(
    manifest: Manifest,
    read_section: Callable[[str], bytes],
    findings: Findings,
) -> Site | None:
    """Judge as the product does, but each document once for all nodes."""
    key = manifest.key
    if key not in _judged:
        found = Findings()
        _judged[key] = judge_document(manifest, read_section, found), found
    site, found = _judged[key]
    findings.extend(found)
    return site


class VirtualNode:
    """One process's dissemination, with what the experiments watch."""

    def __init__(
        self,
        identity: Identity,
        network: FakeNetwork,
        clock: FakeClock,
        rng: random.Random,
    ) -> None:
        """Bind to the identity's address."""
        self.identity = identity
        self.network = network
        self.timers = VirtualTimers(network, clock, rng)
        self.log = QuietLog()
        self.metrics = Metrics()
        self.peers = PeerSocket(_KEYS, self.metrics)
        self.peers.use(network.bind(identity.address, self._receive))
        self.rng = rng
        store = DocumentStore(self.log, self.metrics, _judge_once)
        self.gossip = Gossip(
            identity,
            store,
            self.timers,
            self.peers.send_message,
            self.log,
            self.metrics,
            rng,
        )
        self.gossip.on_adopt = self._adopt
        self.gossip.on_beliefs = self._note_beliefs
        self.gossip.subscribe_to(self.peers.subscribe)
        self.adopted: list[tuple[float, int]] = []
        self.ever_gone: set[str] = set()
        self.leaving_at: dict[str, float] = {}
        self.gone_at: dict[str, float] = {}
        self._queued: list[tuple[bytes, Address]] = []

    @property
    def generation(self) -> int:
        """The generation in force."""
        return self.gossip.store.in_force[0]

    def start(self) -> None:
        """Start the dissemination."""
        self.gossip.start()

    def pause(self) -> None:
        """Stop running; datagrams wait in the socket."""
        self.timers.paused = True

    def resume(self) -> None:
        """Run again: what waits in the socket comes first."""
        self.timers.paused = False
        queued, self._queued = self._queued, []
        for datagram, sender in queued:
            self.peers.receive(datagram, sender)
        self.timers.resume()

    def kill(self) -> None:
        """End without warning."""
        self.timers.stopped = True
        self.network.unbind(self.identity.address)

    def _receive(self, datagram: bytes, sender: Address) -> None:
        if self.timers.paused:
            self._queued.append((datagram, sender))
        else:
            self.peers.receive(datagram, sender)

    def _adopt(self, site: Site) -> None:
        self.adopted.append((self.timers.now, site.generation))

    def _note_beliefs(self) -> None:
        now = self.timers.now
        self.ever_gone |= self.gossip.gone
        for name in self.gossip.leaving:
            self.leaving_at.setdefault(name, now)
        for lost in self.gossip.gone:
            self.gone_at.setdefault(lost, now)
