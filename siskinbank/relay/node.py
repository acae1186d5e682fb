"""What entry and sidecar share: sockets, settings, signals, metrics."""

from __future__ import annotations

from _signal import (  # type: ignore[import-not-found]
    SIG_IGN,
    SIGHUP,
    SIGPIPE,
    SIGTERM,
    signal,
)
from _socket import inet_aton

from siskinbank.platform.documents import Unreadable
from siskinbank.platform.packets import (
    FLOW_KEY,
    client_address,
    describe,
    reset_for,
)
from siskinbank.platform.settings import READY_PATH, read_settings
from siskinbank.relay.datagrams import open_datagrams, read_datagrams
from siskinbank.relay.http import Server
from siskinbank.relay.log import Log, no_blanks
from siskinbank.relay.loop import Loop
from siskinbank.relay.messages import Malformed
from siskinbank.relay.meters import Meters

TYPE_CHECKING = False
if TYPE_CHECKING:
    from _socket import socket
    from collections.abc import Callable

    #: Takes a datagram and the address of its sender.
    Handler = Callable[[bytes, str], None]

__all__ = ('Node',)

METRICS_PATH = '/metrics'
# The port that deploy/system.toml names for metrics.
METRICS_PORT = 9464

# The longest datagram: a packet, the head around it, and candidates.
_READ_BYTES = 4096
# Settings may change without a signal; they are looked at this often, in
# seconds: seeds may come late, and a start without them waits for this.
_SETTINGS_S = 1.0
# Signals are served this often, in seconds: a small part of the six that a
# planned stop may take.
_SIGNALS_S = 0.1


class Node:
    """One process on the platform: its surroundings, without its job."""

    def __init__(self, path: str) -> None:
        """Read the settings and open what both programs need.

        Raises:
            OSError: settings or an address cannot be had.
            Unreadable: the settings make no sense.
        """
        self.loop = Loop()
        self.log = Log(self.loop)
        self.meters = Meters()
        self.settings = read_settings(path)
        self.packed_ip = inet_aton(self.settings.ip)
        self.handlers: dict[int, Handler] = {}
        self.ready: Callable[[], bool] = bool
        self.stopping: Callable[[], None] = self.stop
        self._path = path
        self._term = False
        self._hup = False
        self._peers = open_datagrams(
            (self.settings.ip, self.settings.peer_port)
        )
        self.loop.watch(self._peers.fileno(), self._receive)
        signal(SIGPIPE, SIG_IGN)
        signal(SIGTERM, self._note_signal)
        signal(SIGHUP, self._note_signal)
        self.loop.every(_SIGNALS_S, self._serve_signals)
        self.loop.every(_SETTINGS_S, self.reload)
        self.loop.on_stall(self._note_stall)
        self.loop.on_fault = self._note_fault
        self._servers = [
            Server(
                self.loop,
                self.settings.ready_address,
                {READY_PATH: self._readiness},
            ),
        ]
        self._serve_metrics()

    def send(self, ip: str, datagram: bytes) -> None:
        """Send a datagram to the process of this system at an address."""
        try:
            self._peers.sendto(datagram, (ip, self.settings.peer_port))
        except OSError:
            self.meters.count('send_errors_total')

    def run(self) -> None:
        """Serve until the platform ends this process."""
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
        """End the process after this turn."""
        self.loop.stop()

    def reload(self) -> None:
        """Read the settings again; what makes no sense changes nothing."""
        try:
            fresh = read_settings(self._path)
        except (OSError, Unreadable) as error:
            self.log('settings.refused', reason=no_blanks(error))
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
        """End the flow of a client's packet.

        Args:
            sender: any socket of this process.
            packet: the packet.
            reason: why, for the log.
            inputs: what else decided it, for the log.
        """
        key = packet[FLOW_KEY]
        self.meters.count('resets_total')
        self.log('flow.reset', flow=describe(key), reason=reason, **inputs)
        address = (client_address(key), self.settings.packet_port)
        try:
            sender.sendto(reset_for(packet), address)
        except OSError:
            self.meters.count('send_errors_total')

    def _receive(self, events: int) -> None:
        read_datagrams(self._peers, _READ_BYTES, self._handle)

    def _handle(self, datagram: bytes, address: tuple[str, int]) -> None:
        sender = address[0]
        handler = self.handlers.get(datagram[0]) if datagram else None
        if handler is None:
            self.meters.count('peer_datagrams_refused_total')
            return
        try:
            handler(datagram, sender)
        except Malformed as error:
            self.meters.count('peer_datagrams_refused_total')
            self.log(
                'packet.refused',
                sender=sender,
                reason=no_blanks(error),
            )

    def _readiness(self) -> tuple[int, str]:
        return (200, '') if self.ready() else (503, '')

    def _serve_metrics(self) -> None:
        address = (self.settings.ip, METRICS_PORT)
        try:
            server = Server(
                self.loop,
                address,
                {METRICS_PATH: lambda: (200, self.meters.text())},
            )
        except OSError as error:
            self.log('packet.refused', reason=no_blanks(error))
            return
        self._servers.append(server)

    def _note_signal(self, number: int, frame: object) -> None:
        if number == SIGTERM:
            self._term = True
        else:
            self._hup = True

    def _serve_signals(self) -> None:
        if self._hup:
            self._hup = False
            self.reload()
        if self._term:
            self._term = False
            self.log('process.stopping', instance=self.settings.instance)
            self.stopping()

    def _note_fault(self, fault: Exception) -> None:
        """Log a fault of the program with the place where it happened."""
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
            reason=no_blanks(fault),
            place=place,
        )

    def _note_stall(self, lost: float) -> None:
        self.meters.count('stalls_total')
        self.log('process.stalled', seconds=round(lost, 2))
