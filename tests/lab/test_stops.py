"""Tests of stops of real processes while callers read slowly."""

import signal
import socket
import subprocess
import time
from concurrent.futures import ThreadPoolExecutor

from tests.first_service import LOOPBACK, FirstServiceCase, fetch_with_retries

_HEAD_BYTES = 1000
_CALLERS = 20
_LOAD_SECONDS = 2
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


class TestStopsUnderLoad(FirstServiceCase):
    """Stops while callers connect as fast as they can."""

    page_bytes = 1000

    def test_planned_stop_of_entry(self) -> None:
        """A connection that was accepted gets an answer."""
        for number in (6, 7):
            fetch_with_retries(f'http://{LOOPBACK}:{self.ports[number]}/page')
        with ThreadPoolExecutor(2 * _CALLERS) as pool:
            callers = [
                pool.submit(self._call_until_refused, port)
                for port in self.ports[6:8] * _CALLERS
            ]
            time.sleep(_LOAD_SECONDS)
            self.entry.send_signal(signal.SIGTERM)
            results = [caller.result() for caller in callers]
        self.assertEqual(self.entry.wait(20), 0)
        self.assertTrue(all(answered for answered, _cut in results))
        self.assertEqual([cut for _answered, cut in results if cut], [])

    def _call_until_refused(self, port: int) -> tuple[int, list[str]]:
        """Return the number of answers, and what callers without one saw."""
        answered = 0
        cut = []
        while True:
            try:
                caller = socket.create_connection((LOOPBACK, port), timeout=10)
            except ConnectionRefusedError:
                return answered, cut
            with caller:
                got = self._ask_once(caller)
            if got.startswith('HTTP/1.'):
                answered += 1
            else:
                cut.append(got)

    def _ask_once(self, caller: socket.socket) -> str:
        try:
            caller.sendall(
                b'GET /page HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
            )
            return caller.recv(_HEAD_BYTES).decode()
        except OSError as error:
            return repr(error)
