"""Tests of stops of real processes while callers read slowly."""

import signal
import socket
import subprocess

from tests.first_service import LOOPBACK, FirstServiceCase, fetch_with_retries

_HEAD_BYTES = 1000
_READ_BYTES = 64 * 1024
#: Small, so that most of the page waits in the processes.
_RECEIVE_BUFFER_BYTES = 4096


class TestStops(FirstServiceCase):
    """Stops of an entry and a sidecar in the middle of an answer."""

    page_bytes = 20_000_000

    def test_killed_entry_resets_flows(self) -> None:
        """A flow that a killed entry broke off ends with a reset."""
        caller = self._ask(self.ports[7], b'1.0')
        self.entry.kill()
        with self.assertRaises(ConnectionResetError):
            self._read_all(caller)

    def test_killed_sidecar_resets_flows(self) -> None:
        """The same for a killed sidecar; an answer misses its end."""
        caller = self._ask(self.ports[7], b'1.0')
        requester = self._ask(self.ports[6], b'1.1')
        self.sidecar.kill()
        with self.assertRaises(ConnectionResetError):
            self._read_all(caller)
        self.assertLess(len(self._read_all(requester)), len(self.page))

    def test_planned_stop_of_entry(self) -> None:
        """Slow callers get their whole answers."""
        callers = [
            self._ask(port, version)
            for port in self.ports[6:8]
            for version in (b'1.0', b'1.1')
        ]
        self.entry.send_signal(signal.SIGTERM)
        self._check_whole(callers, self.entry)

    def test_planned_stop_of_sidecar(self) -> None:
        """The same while the sidecar stops."""
        callers = [self._ask(port, b'1.1') for port in self.ports[6:8]]
        self.sidecar.send_signal(signal.SIGTERM)
        self._check_whole(callers, self.sidecar)

    def _check_whole(
        self,
        callers: list[socket.socket],
        process: subprocess.Popen[bytes],
    ) -> None:
        for caller in callers:
            got = self._read_all(caller)
            caller.close()
            self.assertGreater(len(got), len(self.page))
        self.assertEqual(process.wait(20), 0)

    def _ask(self, port: int, version: bytes) -> socket.socket:
        """Request the page and wait for the start of the answer."""
        fetch_with_retries(f'http://{LOOPBACK}:{port}/')
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        caller.settimeout(20)
        caller.connect((LOOPBACK, port))
        caller.sendall(
            b'GET /page HTTP/%s\r\nHost: a\r\nConnection: close\r\n\r\n'
            % version
        )
        self.assertIn(b'200 OK', caller.recv(_HEAD_BYTES, socket.MSG_PEEK))
        return caller

    def _read_all(self, caller: socket.socket) -> bytes:
        parts = []
        while part := caller.recv(_READ_BYTES):
            parts.append(part)
        return b''.join(parts)
