"""Process environment of entry and sidecar: sockets, settings, signals."""

from __future__ import annotations

from _signal import (  # type: ignore[import-not-found]
    SIG_IGN,
    SIGHUP,
    SIGPIPE,
    SIGTERM,
    signal,
)
from _socket import inet_aton

from siskinbank.platform.documents import DocumentError
from siskinbank.platform.packets import (
    FLOW_KEY,
    build_reset,
    client_address,
    describe_flow,
)
from siskinbank.platform.settings import READY_PATH, read_settings
from siskinbank.relay.datagrams import open_udp_socket, read_datagrams
from siskinbank.relay.http import Server
from siskinbank.relay.log import Log, log_value
from siskinbank.relay.loop import Loop
from siskinbank.relay.messages import UNKNOWN, DatagramError
from siskinbank.relay.meters import Meters

TYPE_CHECKING = False
if TYPE_CHECKING:
    from _socket import socket
    from collections.abc import Callable

    #: Called with a datagram and the IP address of its sender.
    Handler = Callable[[bytes, str], None]

__all__ = ('Node',)

METRICS_PATH = '/metrics'
# The metrics port named in deploy/system.toml.
METRICS_PORT = 9464

# The longest datagram: a packet, its message header and the candidates.
_MAX_DATAGRAM_BYTES = 4096
# Interval between reloads of the settings, in seconds. Settings may change
# without a signal, and a start without seeds waits until they are added.
_RELOAD_INTERVAL_S = 1.0
# Interval between checks for signals, in seconds: a small part of the six
# seconds that a planned stop may take.
_SIGNAL_INTERVAL_S = 0.1
# Maximum number of reads from the peer socket at once, each of the datagrams of
# one turn.
_MAX_PENDING_READS = 8


class Node:
    """Process environment shared by entry and sidecar.

    Attributes:
        loop: event loop.
        log: event log.
        meters: counters and histograms.
        settings: settings in force.
        packed_ip: IP address of this process as 4 bytes.
        handlers: handlers of peer messages, by message kind.
        on_message: called with the sender's IP address before each handler.
        is_ready: returns whether the readiness probe succeeds.
        on_stop: called on SIGTERM; stops the process by default.
    """

    def __init__(self, path: str) -> None:
        """Read the settings, open the sockets and install signal handlers.

        Args:
            path: path of the settings file.

        Raises:
            OSError: the settings cannot be read, or an address cannot be
                bound.
            DocumentError: the settings are invalid.
        """
        self._stop_requested = False
        self._stopping = False
        self._reload_requested = False
        # The platform may send signals before the start is complete.
        signal(SIGPIPE, SIG_IGN)
        signal(SIGTERM, self._record_signal)
        signal(SIGHUP, self._record_signal)
        self.loop = Loop()
        self.log = Log(self.loop)
        self.meters = Meters()
        self.settings = read_settings(path)
        self.packed_ip = inet_aton(self.settings.ip)
        self.handlers: dict[int, Handler] = {}
        self.on_message: Callable[[str], object] = bool
        self.is_ready: Callable[[], bool] = bool
        self.on_stop: Callable[[], None] = self.stop
        self._path = path
        self._peer_socket = open_udp_socket(
            (self.settings.ip, self.settings.peer_port)
        )
        self.loop.watch(self._peer_socket.fileno(), self._receive)
        self.loop.every(_SIGNAL_INTERVAL_S, self._handle_signals)
        self.loop.every(_RELOAD_INTERVAL_S, self.reload)
        self.loop.on_stall(self._log_stall)
        self.loop.on_fault = self._log_fault
        self._servers = [
            Server(
                self.loop,
                self.settings.ready_address,
                {READY_PATH: self._readiness},
            ),
        ]
        self._serve_metrics()

    def send(self, ip: str, datagram: bytes) -> None:
        """Send a datagram to the peer port at an IP address."""
        try:
            self._peer_socket.sendto(datagram, (ip, self.settings.peer_port))
        except OSError:
            self.meters.count('send_errors_total')
        else:
            self.meters.sent.add(datagram[0], len(datagram))

    def receive_pending(self) -> bool:
        """Handle the messages that wait; return whether none is left."""
        return any(self._receive() for _ in range(_MAX_PENDING_READS))

    def run(self) -> None:
        """Run until the platform stops this process."""
        settings = self.settings
        self.log(
            'process.start',
            instance=settings.instance,
            ip=settings.ip,
            data_centre=settings.data_centre,
            service=settings.service,
            seeds=len(settings.seeds),
        )
        self.loop.run()
        self.log('process.stop', instance=settings.instance)
        self.log.flush()

    def stop(self) -> None:
        """Stop the process after the current turn."""
        self.loop.stop()

    def reload(self) -> None:
        """Reload the settings; keep the current ones if that fails."""
        try:
            fresh = read_settings(self._path)
        except (OSError, DocumentError) as error:
            self.log('settings.refused', reason=log_value(error))
            return
        before = self.settings
        if (fresh.seeds, fresh.service) != (before.seeds, before.service):
            self.log(
                'settings.reload',
                seeds=len(fresh.seeds),
                service=fresh.service,
            )
        self.settings = fresh

    def reset_flow(
        self,
        sender: socket,
        packet: bytes,
        reason: str,
        **inputs: object,
    ) -> None:
        """Reset the flow of a client's packet.

        Args:
            sender: any socket of this process.
            packet: packet of the flow.
            reason: reason for the log.
            inputs: other values behind the decision, for the log.
        """
        key = packet[FLOW_KEY]
        self.meters.count('resets_total')
        self.log('flow.reset', flow=describe_flow(key), reason=reason, **inputs)
        address = (client_address(key), self.settings.packet_port)
        try:
            sender.sendto(build_reset(packet), address)
        except OSError:
            self.meters.count('send_errors_total')

    def _receive(self, events: int = 0) -> bool:
        """Handle the messages of one turn; return whether none is left."""
        return read_datagrams(
            self._peer_socket, _MAX_DATAGRAM_BYTES, self._dispatch
        )

    def _dispatch(self, datagram: bytes, address: tuple[str, int]) -> None:
        sender = address[0]
        kind = datagram[0] if datagram else UNKNOWN
        handler = self.handlers.get(kind)
        if handler is None:
            self.meters.received.add(UNKNOWN, len(datagram))
            self.meters.count('peer_datagrams_refused_total')
            return
        self.meters.received.add(kind, len(datagram))
        self.on_message(sender)
        try:
            handler(datagram, sender)
        except DatagramError as error:
            self.meters.count('peer_datagrams_refused_total')
            self.log(
                'packet.refused',
                sender=sender,
                reason=log_value(error),
            )

    def _readiness(self) -> tuple[int, str]:
        return (200, '') if self.is_ready() else (503, '')

    def _serve_metrics(self) -> None:
        address = (self.settings.ip, METRICS_PORT)
        try:
            server = Server(
                self.loop,
                address,
                {METRICS_PATH: lambda: (200, self.meters.text())},
            )
        except OSError as error:
            self.log('metrics.refused', reason=log_value(error))
            return
        self._servers.append(server)

    def _record_signal(self, number: int, frame: object) -> None:
        if number == SIGTERM:
            self._stop_requested = True
        else:
            self._reload_requested = True

    def _handle_signals(self) -> None:
        if self._reload_requested:
            self._reload_requested = False
            self.reload()
        if self._stop_requested and not self._stopping:
            self._stopping = True
            self.log('process.stopping', instance=self.settings.instance)
            self.on_stop()

    def _log_fault(self, fault: Exception) -> None:
        """Log an unexpected exception with the file and line of its origin."""
        trace = fault.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        place = '-'
        if trace is not None:
            code = trace.tb_frame.f_code
            place = f'{code.co_filename}:{trace.tb_lineno}'
        self.meters.count('faults_total')
        self.log(
            'process.fault',
            kind=type(fault).__name__,
            reason=log_value(fault),
            place=place,
        )

    def _log_stall(self, stalled_s: float) -> None:
        self.meters.count('stalls_total')
        self.log('process.stalled', seconds=round(stalled_s, 2))
