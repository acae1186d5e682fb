"""A real sidecar beside a simulated host, with simulated clients and clock."""

import os
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from types import SimpleNamespace
from typing import Any

from siskinbank.platform.encoding import Packet, answer_bytes, request_bytes
from siskinbank.platform.packets import (
    ACK,
    BOUNCED,
    FLOW_KEY,
    RST,
    SYN,
    begins_request,
)
from siskinbank.relay import messages
from siskinbank.relay.loop import Loop
from siskinbank.relay.meters import Meters
from siskinbank.relay.sidecar import Sidecar
from siskinbank.tracking.store_position import StorePosition

SERVICE = 'feed'
ENTRY = '10.0.0.1'
# Addresses of a route of low priority with long flows and of one of high
# priority with a flow per request.
LOW = ('198.18.0.1', 443)
HIGH = ('198.18.0.2', 443)
# Addresses of two routes with long flows: one of low, one of high priority.
VIEW = ('198.18.0.3', 443)
SWAP = ('198.18.0.4', 443)
CLIENT_IP = '100.64.0.7'
# Delay between sidecar and client, in seconds, one way.
NETWORK_S = 0.003
# Requests that the host queues beyond its slots.
HOST_QUEUE = 4
# Sequence numbers that client and host begin with.
CLIENT_NUMBER = 100
HOST_NUMBER = 5000
# The first packet of a client's request.
FIRST_NUMBER = CLIENT_NUMBER + 1
_FLAGS = messages.OPERATOR_READ | messages.REGISTERED
_TIMER_S = 0.005
_PROCESS = os.getpid()
_IP = f'127.{_PROCESS % 200 + 1}.{_PROCESS // 200 % 200}.9'


class RouteTimes:
    """Priority and times of a route, in seconds."""

    def __init__(
        self,
        priority: int,
        work_s: float,
        target_s: float,
        timeout_s: float,
        repeatable: bool,
    ) -> None:
        """Initialize a route."""
        self.priority = priority
        self.work_s = work_s
        self.target_s = target_s
        self.timeout_s = timeout_s
        self.repeatable = repeatable


ROUTES = {
    LOW: RouteTimes(2, 0.056, 0.441, 3.947, repeatable=True),
    HIGH: RouteTimes(1, 0.073, 0.546, 3.672, repeatable=False),
    VIEW: RouteTimes(2, 0.055, 0.506, 3.792, repeatable=True),
    SWAP: RouteTimes(1, 0.072, 0.5, 4.996, repeatable=False),
}


class SimulatedHost:
    """A sidecar, its host and the network to the clients.

    Attributes:
        now: simulated time in seconds.
        sidecar: the sidecar under test.
        events: the logged events with their fields.
        sent: datagrams that the sidecar sent to entries.
        resets: headers, reasons and inputs of the flows that the sidecar reset.
        received: packets that reached the host, in order.
        on_client_packet: called with each packet that reaches a client.
        on_reset: called with the flow key of each reset.
        on_refused: called with flow key and reason of each refusal.
        work_s: returns the processing time of a request by its route.
        listening: whether anything listens on the port of the host.
        accepting: whether the host answers first packets.
        host_number: initial sequence number of the host's next flows.
    """

    def __init__(self, slots: int = 4) -> None:
        """Start a sidecar with the record of its host."""
        self.slots = slots
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.sent: list[bytes] = []
        self.resets: list[tuple[bytes, str]] = []
        self.received: list[Packet] = []
        self.on_client_packet: Callable[[Packet], object] = bool
        self.on_reset: Callable[[bytes], object] = bool
        self.on_refused: Callable[[bytes, int], object] = lambda _key, _why: 0
        self.work_s: Callable[[tuple[str, int]], float] = lambda route: (
            ROUTES[route].work_s
        )
        self.listening = True
        self.accepting = True
        self.host_number = HOST_NUMBER
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = count()
        self._processing = 0
        self._waiting: list[Packet] = []
        self._seen: set[tuple[bytes, int]] = set()
        self._revision = 1
        self.now = 1000
        self._next_timers = 1000.0
        self.sidecar = self._start_sidecar()
        self.send_record()

    def close(self) -> None:
        """Close the only socket that is left."""
        self.sidecar._outbound_socket.close()  # noqa: SLF001

    def restart_sidecar(self) -> None:
        """Replace the sidecar by one that knows nothing."""
        self.close()
        self.sidecar = self._start_sidecar()
        self.send_record()

    def at(self, when: float, call: Callable[[], object]) -> None:
        """Call back at a time in seconds."""
        heappush(self._heap, (when, next(self._numbers), call))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            upcoming = self._heap[0][0] if self._heap else end
            self.now = max(self.now, min(upcoming, self._next_timers, end))
            self.loop.now = self.now
            while self._heap and self._heap[0][0] <= self.now:
                heappop(self._heap)[-1]()
            if self.now >= self._next_timers:
                self._next_timers = self.now + _TIMER_S
                self.loop._run_timers()  # noqa: SLF001

    def send_record(self, flags: int = 0, **fields: Any) -> None:
        """Hand the sidecar a newer record of its host."""
        self._revision += 1
        record = messages.Record()
        record.service = messages.digest(SERVICE)
        record.flags = _FLAGS | flags
        record.slots = self.slots
        record.born_ms = 1
        record.position = StorePosition(1, self._revision)
        record.operator_position = StorePosition(1, 1)
        for name, setting in fields.items():
            setattr(record, name, setting)
        self.sidecar._apply_record(record, 'test')  # noqa: SLF001

    def send_opening(
        self,
        route: tuple[str, int],
        port: int,
        copy: int = 0,
        number: int = CLIENT_NUMBER,
    ) -> bytes:
        """Let an entry send a first packet; return its flow key."""
        times = ROUTES[route]
        packet = Packet((CLIENT_IP, port), route, SYN, number, copy).write()
        opening = messages.Opening(bytes((10, 0, 0, 1)), packet)
        opening.service = messages.digest(SERVICE)
        opening.priority = times.priority
        opening.idempotent = times.repeatable
        opening.target_latency_ms = int(times.target_s * 1000)
        opening.timeout_ms = int(times.timeout_s * 1000)
        opening.wait_limit_ms = int(times.timeout_s * 500)
        self.handlers[messages.OPEN](opening.pack(), ENTRY)
        return packet[FLOW_KEY]

    def send_packet(
        self,
        route: tuple[str, int],
        port: int,
        number: int = FIRST_NUMBER,
        content: bytes = b'',
        flags: int = ACK,
        entry: str = ENTRY,
        searching: bool = False,
    ) -> None:
        """Let an entry forward a client's packet."""
        packet = Packet(
            (CLIENT_IP, port), route, flags, number, HOST_NUMBER + 1, content
        ).write()
        if searching:
            self.handlers[messages.SEARCH](messages.pack_search(packet), entry)
        else:
            datagram = messages.pack_forward(packet)
            self.handlers[messages.FORWARD](datagram, entry)

    def send_request(
        self, route: tuple[str, int], port: int, number: int = FIRST_NUMBER
    ) -> None:
        """Let an entry forward a request."""
        self.send_packet(route, port, number, request_bytes(f'{port}-{number}'))

    def count(self, event: str) -> int:
        """Return how often an event was logged."""
        return sum(1 for name, _ in self.events if name == event)

    @property
    def state(self) -> Any:
        """What the sidecar knows of its host."""
        return self.sidecar._host  # noqa: SLF001

    @property
    def queue(self) -> Any:
        """The queue of the sidecar."""
        return self.sidecar._holding.queue  # noqa: SLF001

    @property
    def load(self) -> int:
        """The load that the sidecar reports."""
        return self.sidecar._reporter._status().busy  # noqa: SLF001

    def requests_received(self) -> list[tuple[int, int]]:
        """Return ports and numbers of the requests that reached the host."""
        return [
            (packet.source[1], packet.number)
            for packet in self.received
            if begins_request(packet.write())
        ]

    def bounce(self, packet: Packet) -> None:
        """Let the host refuse a packet."""
        refused = replace(packet, flags=packet.flags | BOUNCED).pack()
        self.sidecar._check_packet(refused, ('', 0))  # noqa: SLF001

    def answer(
        self, packet: Packet, flags: int, number: int, content: bytes = b''
    ) -> None:
        """Let the host answer a packet."""
        answer = Packet(
            packet.target,
            packet.source,
            flags,
            number,
            packet.number + max(1, len(packet.content)),
            content,
        )
        self.sidecar._check_packet(answer.write(), ('', 0))  # noqa: SLF001

    def _start_sidecar(self) -> Sidecar:
        self.loop = Loop()
        self.loop.now = self.now
        self.handlers: dict[int, Callable[[bytes, str], None]] = {}
        self.node = SimpleNamespace(
            loop=self.loop,
            log=lambda event, **fields: self.events.append((event, fields)),
            meters=Meters(),
            handlers=self.handlers,
            on_message=bool,
            packed_ip=bytes(map(int, _IP.split('.'))),
            settings=SimpleNamespace(
                ip=_IP,
                data_centre='a',
                instance='sidecar',
                service=SERVICE,
                seeds=(),
                store=('127.0.0.1', 1),
                packet_port=31000,
                peer_port=31001,
                outbound_address=(_IP, 31002),
                host_address=(_IP, 31003),
                flow_lifetime_s=60.0,
            ),
            send=self._handle_message,
            stop=lambda: None,
            reset_flow=self._handle_reset,
        )
        sidecar = Sidecar(self.node)  # type: ignore[arg-type]
        sidecar._inbound_socket.close()  # noqa: SLF001
        sidecar._client_socket.close()  # noqa: SLF001
        inbound: Any = SimpleNamespace(send=self._receive)
        clients: Any = SimpleNamespace(sendto=self._send_to_client)
        sidecar._inbound_socket = inbound  # noqa: SLF001
        sidecar._client_socket = clients  # noqa: SLF001
        return sidecar

    def _handle_message(self, ip: str, datagram: bytes) -> None:
        self.sent.append(datagram)
        if datagram[0] == messages.REFUSED:
            key, _, reason = messages.read_flow_note(datagram)
            self.on_refused(key, reason)

    def _handle_reset(
        self, sender: object, packet: bytes, reason: str, **inputs: Any
    ) -> None:
        self.events.append(('flow.reset', {'reason': reason, **inputs}))
        self.resets.append((packet, reason))
        self.on_reset(packet[FLOW_KEY])

    def _send_to_client(self, raw: bytes, address: object) -> None:
        packet = Packet.read(raw)
        self.at(self.now + NETWORK_S, lambda: self.on_client_packet(packet))

    # The host.

    def _receive(self, raw: bytes) -> None:
        if not self.listening:
            raise ConnectionRefusedError
        packet = Packet.read(raw)
        self.received.append(packet)
        if packet.flags & SYN and self.accepting:
            self.answer(packet, SYN, self.host_number)
        if packet.flags & RST or not begins_request(raw):
            return
        identity = (raw[FLOW_KEY], packet.number)
        if identity in self._seen:
            return
        self._seen.add(identity)
        if self._processing < self.slots:
            self._start(packet)
        elif len(self._waiting) < HOST_QUEUE:
            self._waiting.append(packet)
        else:
            self.answer(
                packet,
                ACK,
                HOST_NUMBER + 1,
                b'HTTP/1.1 503 Busy\r\nSiskinbank-Not-Executed: 1\r\n\r\n',
            )

    def _start(self, packet: Packet) -> None:
        self._processing += 1
        done_at = self.now + self.work_s(packet.target)
        self.at(done_at, lambda: self._finish(packet))

    def _finish(self, packet: Packet) -> None:
        self._processing -= 1
        if self._waiting:
            self._start(self._waiting.pop(0))
        self.answer(packet, ACK, HOST_NUMBER + 1, answer_bytes('a', 'h'))
