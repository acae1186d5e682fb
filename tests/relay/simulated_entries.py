"""Entries that exchange their capacities, on a simulated network and clock."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from siskinbank.relay import messages
from siskinbank.relay.entry_capacities import EntryCapacities
from siskinbank.relay.loop import Loop
from siskinbank.relay.meters import Meters

STEP_S = 0.05
# Other entries are listed for this time after their death, in seconds, as by
# the gossip of an entry.
LISTED_S = 60.0
# Time from the begin of a planned stop to its end, in seconds.
STOP_S = 1.2

#: Returns the delay of a datagram in seconds, None if it is lost.
Network = Callable[[str, str], float | None]


class SimulatedEntry:
    """One entry.

    Attributes:
        node: its environment.
        capacities: the object under test.
        prepared: whether it can place flows.
        stopping: whether it has begun to stop.
        data_centre: name of its data centre.
        events: logged events with their time and inputs.
    """

    def __init__(
        self, cluster: 'EntryCluster', ip: str, link_kbps: int, **options: str
    ) -> None:
        """Start the entry."""
        loop = Loop()
        loop.now = cluster.now
        self.prepared = True
        self.stopping = False
        self.data_centre = options.get('data_centre', 'a')
        self.events: list[tuple[float, str, dict[str, object]]] = []
        self.inbox: list[tuple[str, bytes]] = []
        self.node: Any = SimpleNamespace(
            loop=loop,
            handlers={},
            meters=Meters(),
            packed_ip=bytes(map(int, ip.split('.'))),
            settings=SimpleNamespace(
                ip=ip,
                data_centre=self.data_centre,
                link_kbps=link_kbps,
                cores=0,
                flow_lifetime_s=60.0,
            ),
            log=lambda event, **inputs: self.events.append(
                (loop.now, event, inputs)
            ),
            send=lambda target, datagram: cluster.send(ip, target, datagram),
            receive_pending=self.receive,
        )
        self.capacities = EntryCapacities(
            self.node,
            lambda: cluster.listed(ip),
            lambda: self.prepared,
            options.get('setting', 'capacity'),
        )

    @property
    def in_rotation(self) -> bool:
        """Whether it is in rotation by its own decision."""
        return self.capacities.in_rotation

    def begin_stop(self) -> None:
        """Begin a planned stop."""
        self.stopping = True
        self.capacities.begin_stop()

    def receive(self) -> bool:
        """Handle the datagrams that have arrived."""
        inbox, self.inbox = self.inbox, []
        for source, datagram in inbox:
            self.node.handlers[datagram[0]](datagram, source)
        return True

    def take_turn(self, now: float) -> None:
        """Run what is due."""
        self.node.loop.now = now
        self.receive()
        self.node.loop._run_timers()  # noqa: SLF001


class EntryCluster:
    """Entries of several data centres.

    Attributes:
        now: simulated time in seconds.
        entries: the live entries by address.
        network: decides on delay and loss of each datagram.
        sent: number of datagrams sent, by sender.
    """

    def __init__(self) -> None:
        """Create a cluster without entries."""
        self.now = 10_000.0
        self.entries: dict[str, SimulatedEntry] = {}
        self.network: Network = lambda source, target: 0.002
        self.sent: list[tuple[str, str]] = []
        self._died: dict[str, float] = {}
        self._in_flight: list[tuple[float, str, str, bytes]] = []
        self._stops: list[tuple[float, str]] = []

    def start(self, ip: str, link_kbps: int, **options: str) -> SimulatedEntry:
        """Start an entry."""
        self._died.pop(ip, None)
        self.entries[ip] = SimulatedEntry(self, ip, link_kbps, **options)
        return self.entries[ip]

    def kill(self, ip: str) -> None:
        """Let an entry lose power; what it has sent still arrives."""
        self.entries.pop(ip)
        self._died[ip] = self.now

    def stop(self, ip: str) -> None:
        """Stop an entry as planned."""
        self.entries[ip].begin_stop()
        self._stops.append((self.now + STOP_S, ip))

    def listed(self, ip: str) -> list[bytes]:
        """Return the other entries that the gossip of an entry knows."""
        addresses = set(self.entries)
        addresses.update(
            other
            for other, died in self._died.items()
            if self.now - died < LISTED_S
        )
        return [
            bytes(map(int, other.split('.')))
            for other in sorted(addresses)
            if other != ip
        ]

    def send(self, source: str, target: str, datagram: bytes) -> None:
        """Send a datagram, which the network may lose."""
        self.sent.append((source, target))
        delay_s = self.network(source, target)
        if delay_s is not None:
            self._in_flight.append(
                (self.now + delay_s, source, target, datagram)
            )

    def run(self, seconds: float, check: Callable[[], object] = bool) -> None:
        """Let time pass; a check runs after each step."""
        end = self.now + seconds
        while self.now < end:
            self._step()
            check()

    def in_rotation(self, data_centre: str = 'a') -> list[str]:
        """Return the live entries that are in rotation by their decision."""
        return [
            ip
            for ip, entry in self.entries.items()
            if entry.in_rotation and entry.data_centre == data_centre
        ]

    def forge(self, source: str, target: str, **fields: Any) -> None:
        """Let a report arrive that no simulated entry sends."""
        report = messages.EntryCapacity(messages.digest('a'))
        for name, content in fields.items():
            setattr(report, name, content)
        self.entries[target].inbox.append((source, report.pack()))

    def _step(self) -> None:
        self.now += STEP_S
        arrived = [item for item in self._in_flight if item[0] <= self.now]
        self._in_flight = [
            item for item in self._in_flight if item[0] > self.now
        ]
        for _, source, target, datagram in arrived:
            if target in self.entries:
                self.entries[target].inbox.append((source, datagram))
        for entry in list(self.entries.values()):
            entry.take_turn(self.now)
        ended = [ip for end, ip in self._stops if end <= self.now]
        self._stops = [item for item in self._stops if item[0] > self.now]
        for ip in ended:
            if ip in self.entries:
                self.kill(ip)
