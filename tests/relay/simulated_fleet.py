"""One real entry and real sidecars on a simulated network and clock."""

import os
from collections.abc import Callable
from socket import socket
from types import SimpleNamespace
from typing import Any

from siskinbank.platform.encoding import Packet
from siskinbank.platform.packets import ACK, FLOW_KEY
from siskinbank.platform.records import Route
from siskinbank.relay import messages
from siskinbank.relay.datagrams import open_udp_socket
from siskinbank.relay.entry import Entry
from siskinbank.relay.loop import Loop
from siskinbank.relay.meters import Meters
from siskinbank.relay.sidecar import Sidecar
from siskinbank.tracking.store_position import StorePosition

SERVICE = 'matcher'
ADDRESS = ('198.18.0.1', 443)
CLIENT = ('100.64.0.7', 40001)
# Loopback addresses of this test run, as others may run at the same time.
_PREFIX = f'127.{os.getpid() % 200 + 1}.{os.getpid() // 200 % 200}'
# Peers from which sidecars learn of entries. They know more entries than one
# list of addresses holds, and never name the simulated one.
OTHER_ENTRIES = tuple(f'{_PREFIX}.{number}' for number in range(2, 6))
# One-way delay of the network and length of a step, in seconds.
DELAY_S = 0.002
STEP_S = 0.01
# A stall that the loop of a process reports, in seconds.
STALL_S = 1.0
_RECORD_INTERVAL_S = 0.7
_STATUS_INTERVAL_S = 0.4
_GREETING_INTERVAL_S = 5.0

#: Decides whether a datagram from one address to another is lost.
Loss = Callable[[str, str, bytes], bool]


class SimulatedNode(SimpleNamespace):
    """The environment of one process without sockets to its peers."""

    loop: Loop
    inbox: list[tuple[str, bytes]]
    handlers: dict[int, Callable[[bytes, str], None]]
    meters: Meters
    on_message: Callable[[str], object]
    stall_callbacks: list[Callable[[float], None]]


class SimulatedFleet:
    """An entry, sidecars beside hosts of one service, and other entries.

    Messages wait in the inbox of a process until its next turn. In each turn
    an entry handles the packets of its clients first, as it may with sockets.

    Attributes:
        now: simulated time in seconds.
        hosts: addresses of the hosts.
        entry: the entry under test.
        entry_ip: its address.
        sidecars: the sidecars by the addresses of their hosts.
        resets: time and reason of each reset by the entry, with its evidence.
        events: names of all logged events, each with its process.
        loss: decides which datagrams are lost.
        dead: addresses of processes that have lost power.
        evacuated: hosts that get no new flows.
        unlisted: hosts whose record is missing in the store.
        operator_read_at: time when the sender of records last read the operator
            keys, 0 if it reads them before each record.
        idle_timeout_s: the operator's idle timeout in seconds.
    """

    def __init__(self, hosts: int = 7, link_budget: bool = True) -> None:
        """Create the processes and let them discover each other.

        Args:
            hosts: number of hosts.
            link_budget: the setting of the entry.
        """
        self.entry_ip = f'{_PREFIX}.1'
        self.hosts = [f'{_PREFIX}.{20 + number}' for number in range(hosts)]
        self.resets: list[tuple[float, str, dict[str, Any]]] = []
        self.events: list[tuple[str, str]] = []
        self.loss: Loss = lambda source, target, datagram: False
        self.dead: set[str] = set()
        self.evacuated: set[str] = set()
        self.unlisted: set[str] = set()
        self.operator_read_at: float = 0
        self.idle_timeout_s = 15.0
        self._nodes: dict[str, SimulatedNode] = {}
        self._in_flight: list[tuple[float, str, str, bytes]] = []
        self._paused_until: dict[str, float] = {}
        self._packets: list[bytes] = []
        self._started = Loop().now
        self.now = self._started
        self._revision = 1
        self._greeted_at: dict[str, float] = {}
        self._host_sockets = [
            open_udp_socket((host, 31003)) for host in self.hosts
        ]
        entry_node = self._make_node(self.entry_ip, 'entry')
        self.entry = Entry(entry_node, link_budget=link_budget)
        self.sidecars: dict[str, Sidecar] = {}
        for number, host in enumerate(self.hosts):
            # Status updates of the hosts are spread over their interval.
            self.now = self._started + number * _STATUS_INTERVAL_S / hosts
            self.sidecars[host] = Sidecar(self._make_node(host, 'sidecar'))
        self._next_records = self.now
        self._next_greeting = self.now
        self.publish()
        self.run(1.0)

    def close(self) -> None:
        """Close the sockets of hosts and processes."""
        sockets = [*self._host_sockets, self.entry._client_socket]  # noqa: SLF001
        for sidecar in self.sidecars.values():
            sockets.extend(_sockets_of(sidecar))
        for udp_socket in sockets:
            udp_socket.close()

    def publish(self, idempotent: bool = True) -> None:
        """Put the route of the service and a first configuration in force."""
        configuration = self.entry._follower.configuration  # noqa: SLF001
        configuration.version = 1
        configuration.routes = {
            _route_key(): Route(((SERVICE, 1),), idempotent, 0.25, 2)
        }

    def open_flow(self, host: str, client: tuple[str, int] = CLIENT) -> bytes:
        """Open a flow at a host; return a packet that its client sends."""
        packet = Packet(client, ADDRESS, ACK, 7, 9).write()
        key = packet[FLOW_KEY]
        answer = Packet(ADDRESS, client, ACK, 8, 8).write()
        sidecar = self.sidecars[host]
        sidecar._check_packet(answer, (host, 1))  # noqa: SLF001
        flow = self.entry._flows.add(key, host, self.now)  # noqa: SLF001
        flow.add_holder(host, 8, established=True)
        return packet

    def restart_sidecar(self, host: str) -> None:
        """Replace a sidecar by a process that knows nothing."""
        sidecar = self.sidecars[host]
        for udp_socket in _sockets_of(sidecar):
            udp_socket.close()
        self.sidecars[host] = Sidecar(self._make_node(host, 'sidecar'))

    def send(self, packet: bytes) -> None:
        """Let a client's packet reach the entry in its next turn."""
        self._packets.append(packet)

    def was_greeted(self, ip: str) -> bool:
        """Return whether a process handles a hello in this turn."""
        return self._greeted_at.get(ip) == self.now

    def pause(self, ip: str, seconds: float) -> None:
        """Stop a process for a while; its messages wait."""
        self._paused_until[ip] = self.now + seconds

    def run(
        self, seconds: float, packet: bytes = b'', every_s: float = 0.1
    ) -> None:
        """Let time pass; a client sends a packet at regular intervals."""
        end = self.now + seconds
        next_packet = self.now
        while self.now < end:
            if packet and self.now >= next_packet:
                self.send(packet)
                next_packet += every_s
            self._step()

    def _step(self) -> None:
        self.now += STEP_S
        self._confirm_listing()
        if self.now >= self._next_records:
            self._next_records += _RECORD_INTERVAL_S
            self._send_records()
        if self.now >= self._next_greeting:
            self._next_greeting += _GREETING_INTERVAL_S
            self._greet_hosts()
        arrived = [item for item in self._in_flight if item[0] <= self.now]
        self._in_flight = [
            item for item in self._in_flight if item[0] > self.now
        ]
        for _, source, target, datagram in arrived:
            if target in self._nodes:
                self._nodes[target].inbox.append((source, datagram))
            elif target in OTHER_ENTRIES:
                self._answer_as_other_entry(target, source, datagram)
        for ip in self._nodes:
            if ip not in self.dead and self.now >= self._paused_until.get(
                ip, 0
            ):
                self._take_turn(ip)

    def _take_turn(self, ip: str) -> None:
        node = self._nodes[ip]
        node.loop.since_previous_s = self.now - node.loop.now
        stalled_s = node.loop.since_previous_s - STEP_S
        node.loop.now = self.now
        if stalled_s > STALL_S:
            for callback in node.loop._stall_callbacks:  # noqa: SLF001
                callback(stalled_s)
        if ip == self.entry_ip:
            packets, self._packets = self._packets, []
            for packet in packets:
                self.entry._check_packet(packet, CLIENT)  # noqa: SLF001
        node.receive_pending()
        node.loop._run_timers()  # noqa: SLF001

    def _make_node(self, ip: str, role: str) -> SimulatedNode:
        loop = Loop()
        loop.now = self.now
        node = SimulatedNode(
            loop=loop,
            log=lambda event, **_fields: self.events.append((ip, event)),
            meters=Meters(),
            handlers={},
            inbox=[],
            on_message=bool,
            packed_ip=bytes(map(int, ip.split('.'))),
            settings=SimpleNamespace(
                ip=ip,
                data_centre='a',
                instance=role,
                service=SERVICE,
                seeds=OTHER_ENTRIES[:1],
                flow_lifetime_s=60.0,
                store=('127.0.0.1', 1),
                packet_port=31000,
                peer_port=31001,
                link_kbps=0,
                cores=0,
                outbound_address=(ip, 31002),
                host_address=(ip, 31003),
            ),
            send=lambda target, datagram: self._send(ip, target, datagram),
            stop=lambda: None,
            reset_flow=self._note_reset,
        )
        node.receive_pending = lambda: self._receive_pending(node)
        self._nodes[ip] = node
        return node

    def _receive_pending(self, node: SimulatedNode) -> bool:
        inbox, node.inbox = node.inbox, []
        for source, datagram in inbox:
            if datagram[0] == messages.HELLO:
                self._greeted_at[node.settings.ip] = self.now
            node.on_message(source)
            node.handlers[datagram[0]](datagram, source)
        return True

    def _send(self, source: str, target: str, datagram: bytes) -> None:
        if source in self._nodes:
            meters = self._nodes[source].meters
            meters.sent.add(datagram[0], len(datagram))
        if source not in self.dead and not self.loss(source, target, datagram):
            arrival = self.now + DELAY_S
            self._in_flight.append((arrival, source, target, datagram))

    def _note_reset(
        self, sender: object, packet: bytes, reason: str, **evidence: Any
    ) -> None:
        self.resets.append((self.now, reason, evidence))

    def _answer_as_other_entry(
        self, entry: str, source: str, datagram: bytes
    ) -> None:
        """Answer a request for addresses like an entry with many peers."""
        if datagram[0] != messages.HELLO:
            return
        flags, _ = messages.read_hello(datagram)
        if flags & messages.WANTS_PEERS:
            entries = [bytes(map(int, ip.split('.'))) for ip in OTHER_ENTRIES]
            reply = messages.pack_addresses(messages.PEERS, entries, [])
            self._send(entry, source, reply)

    def _send_records(self) -> None:
        """Send the records of the hosts, as the reader of the store does."""
        self._revision += 1
        for host in self.hosts:
            record = messages.Record()
            record.service = messages.digest(SERVICE)
            record.flags = messages.OPERATOR_READ
            if host not in self.unlisted:
                record.flags |= messages.REGISTERED
            if host in self.evacuated:
                record.flags |= messages.EVACUATED
            record.position = StorePosition(1, self._revision)
            record.operator_position = StorePosition(1, 1)
            operator_read_at = self.operator_read_at or self.now
            record.operator_age_s = self.now - operator_read_at
            record.version = 1
            record.idle_timeout_s = self.idle_timeout_s
            self._send(OTHER_ENTRIES[0], host, record.pack())

    def _confirm_listing(self) -> None:
        """Let the entry know the newest listing of the hosts."""
        follower = self.entry._follower  # noqa: SLF001
        follower.absence_is_reliable = lambda: True
        listed = [host for host in self.hosts if host not in self.unlisted]
        packed = [bytes(map(int, host.split('.'))) for host in listed]
        follower.listing.replace(packed, self.now - 0.5)

    def _greet_hosts(self) -> None:
        """Let the entry greet the hosts that get new flows, in their place."""
        for host in self.hosts:
            if host not in self.evacuated:
                hello = messages.pack_hello(0, messages.digest('a'))
                self._send(self.entry_ip, host, hello)


def _sockets_of(sidecar: Sidecar) -> tuple[socket, ...]:
    return (
        sidecar._outbound_socket,  # noqa: SLF001
        sidecar._client_socket,  # noqa: SLF001
        sidecar._inbound_socket,  # noqa: SLF001
    )


def _route_key() -> bytes:
    packet = Packet(CLIENT, ADDRESS).write()
    return packet[FLOW_KEY][4:8] + packet[FLOW_KEY][10:12]
