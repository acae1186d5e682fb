"""Nodes in virtual time: the real gossip code over a simulated network."""

import functools
import random
from collections import Counter
from collections.abc import Callable

from siskinbank.config.sections import DocumentKey, Manifest
from siskinbank.config.site import Address, Site
from siskinbank.directory.store import DocumentStore, judge_document
from siskinbank.kernel import events
from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.findings import Findings
from siskinbank.kernel.metrics import Metrics
from siskinbank.lab.network import FakeNetwork
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.peers.gossip import Gossip, Identity
from siskinbank.wire.keys import KEY_BYTES, Key, KeyRing

__all__ = ('CountingLog', 'VirtualNode', 'VirtualTimers')

_KEYS = KeyRing([Key(1, bytes(KEY_BYTES))])


class CountingLog(events.EventLog):
    """Counts events by number instead of writing them."""

    def __init__(self) -> None:
        """Initialize all counts to 0."""
        super().__init__('lab', 'virtual')
        self.event_counts: Counter[int] = Counter()

    def write(self, event: events.Event, **_fields: object) -> None:
        """Count one event."""
        self.event_counts[event.number] += 1


class VirtualTimers:
    """A timer service that defers callbacks while the process is paused."""

    def __init__(
        self,
        network: FakeNetwork,
        clock: FakeClock,
        rng: random.Random,
    ) -> None:
        """Initialize a timer service that uses the network's event queue."""
        self._network = network
        self._clock = clock
        self._rng = rng
        self._deferred: list[Callable[[], None]] = []
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
        """Call ``callback`` every ``interval`` seconds.

        ``jitter`` is the largest deviation, as a share of the interval.
        """

        def repeat() -> None:
            callback()
            spread = self._rng.uniform(-jitter, jitter) * interval
            self.after(interval + spread, repeat)

        self.after(interval * self._rng.random(), repeat)

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` once after ``delay`` seconds."""
        self._network.after(delay, functools.partial(self._run, callback))

    def resume(self) -> None:
        """End a pause and run the deferred callbacks."""
        self.paused = False
        deferred, self._deferred = self._deferred, []
        for callback in deferred:
            self._run(callback)

    def _run(self, callback: Callable[[], None]) -> None:
        if self.stopped:
            return
        if self.paused:
            self._deferred.append(callback)
        else:
            callback()


_Validation = tuple[Site | None, Findings]
_validations: dict[DocumentKey, _Validation] = {}


def _validate_once(
    manifest: Manifest,
    read_section: Callable[[str], bytes],
    findings: Findings,
) -> Site | None:
    """Validate as a real process does, but each document once for all nodes.

    The findings of the first validation are repeated to the other nodes.
    """
    key = manifest.key
    if key not in _validations:
        found = Findings()
        _validations[key] = judge_document(manifest, read_section, found), found
    site, found = _validations[key]
    findings.extend(found)
    return site


class VirtualNode:
    """The gossip of one process; records configuration and member changes.

    Attributes:
        adopted: time and generation of each configuration put in force.
        ever_gone: names of the processes that were ever known as gone.
        leaving_at: time at which each process was first known as leaving.
        gone_at: time at which each process was first known as gone.
    """

    def __init__(
        self,
        identity: Identity,
        network: FakeNetwork,
        clock: FakeClock,
        rng: random.Random,
    ) -> None:
        """Initialize a node and bind it to the identity's address."""
        self.identity = identity
        self.network = network
        self.timers = VirtualTimers(network, clock, rng)
        self.log = CountingLog()
        self.metrics = Metrics()
        self.peers = PeerSocket(_KEYS, self.metrics)
        self.peers.attach_transport(
            network.bind(identity.address, self._receive)
        )
        self.rng = rng
        store = DocumentStore(self.log, self.metrics, _validate_once)
        self.gossip = Gossip(
            identity,
            store,
            self.timers,
            self.peers.send_message,
            self.log,
            self.metrics,
            rng,
        )
        self.gossip.on_adopt = self._record_adopted
        self.gossip.on_membership_change = self._record_leaving_and_gone
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
        """Start the gossip."""
        self.gossip.start()

    def pause(self) -> None:
        """Suspend the process; datagrams are queued in the socket."""
        self.timers.paused = True

    def resume(self) -> None:
        """Resume the process; queued datagrams come before timers."""
        self.timers.paused = False
        queued, self._queued = self._queued, []
        for datagram, sender in queued:
            self.peers.receive(datagram, sender)
        self.timers.resume()

    def kill(self) -> None:
        """Stop the process without announcing that it leaves."""
        self.timers.stopped = True
        self.network.unbind(self.identity.address)

    def _receive(self, datagram: bytes, sender: Address) -> None:
        if self.timers.paused:
            self._queued.append((datagram, sender))
        else:
            self.peers.receive(datagram, sender)

    def _record_adopted(self, site: Site) -> None:
        self.adopted.append((self.timers.now, site.generation))

    def _record_leaving_and_gone(self) -> None:
        now = self.timers.now
        self.ever_gone |= self.gossip.gone
        for name in self.gossip.leaving:
            self.leaving_at.setdefault(name, now)
        for gone_name in self.gossip.gone:
            self.gone_at.setdefault(gone_name, now)
