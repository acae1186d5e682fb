"""Tests of the event loop, and of HTTP on it."""

import socket
import struct
import threading
import time
import unittest
from collections.abc import Callable

from siskinbank.relay.http import Client, Server
from siskinbank.relay.loop import Loop

_RESET = struct.pack('ii', 1, 0)
# Longer than any of these tests needs, in seconds.
_LONG_S = 5


def run_until(loop: Loop, done: Callable[[], bool]) -> None:
    """Run the loop until something is so."""
    deadline = time.monotonic() + _LONG_S

    def check() -> None:
        if done() or time.monotonic() > deadline:
            loop.stop()

    timer = loop.every(0.01, check)
    loop.run()
    loop.cancel(timer)


class TestLoop(unittest.TestCase):
    """Timers and faults."""

    def test_timers(self) -> None:
        """Once, again and again, or not at all."""
        loop = Loop()
        calls: list[str] = []
        loop.after(0.02, lambda: calls.append('once'))
        loop.every(0.02, lambda: calls.append('again'))
        loop.cancel(loop.after(0.02, lambda: calls.append('never')))
        run_until(loop, lambda: calls.count('again') > 2)
        self.assertEqual(calls.count('once'), 1)
        self.assertNotIn('never', calls)

    def test_a_fault_ends_no_other_subscriber(self) -> None:
        """It is reported; without a taker it ends the process."""
        loop = Loop()
        faults: list[Exception] = []
        calls: list[int] = []

        def fail() -> None:
            raise ValueError('a fault')

        loop.on_fault = faults.append
        loop.every(0.01, fail)
        loop.every(0.01, lambda: calls.append(1))
        run_until(loop, lambda: len(calls) > 3)
        self.assertGreater(len(faults), 1)
        loop.on_fault = None
        with self.assertRaises(ValueError):
            loop.run()


class TestClient(unittest.TestCase):
    """Calls to a server that misbehaves."""

    def answer_of(self, serve: Callable[[socket.socket], None]) -> int:
        """Return the status of one call to a server."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)

        def accept() -> None:
            connection, _ = listener.accept()
            serve(connection)

        thread = threading.Thread(target=accept)
        thread.start()
        self.addCleanup(thread.join)
        loop = Loop()
        client = Client(loop, listener.getsockname())
        found: list[int] = []
        client.get('/', 0.3, lambda status, body: found.append(status))
        run_until(loop, lambda: bool(found))
        client.close()
        return found[0]

    def test_a_whole_answer(self) -> None:
        """In two parts."""

        def serve(connection: socket.socket) -> None:
            self.addCleanup(connection.close)
            connection.recv(1000)
            connection.send(b'HTTP/1.1 200 OK\r\nContent-Len')
            time.sleep(0.05)
            connection.send(b'gth: 2\r\n\r\n{}')

        self.assertEqual(self.answer_of(serve), 200)

    def test_reset_at_once(self) -> None:
        """Before or after the request."""

        def serve(connection: socket.socket) -> None:
            option = (socket.SOL_SOCKET, socket.SO_LINGER)
            connection.setsockopt(*option, _RESET)
            connection.close()

        for _ in range(5):
            self.assertEqual(self.answer_of(serve), 0)

    def test_an_opening_packet_is_lost(self) -> None:
        """Load pattern: a cut ends just after processes started.

        The system would repeat the packet a second later.
        """
        listener = socket.create_server(('127.0.0.1', 0), backlog=0)
        self.addCleanup(listener.close)
        address = listener.getsockname()
        for _ in range(2):
            filling = socket.socket()
            self.addCleanup(filling.close)
            filling.setblocking(False)
            filling.connect_ex(address)
        loop = Loop()
        client = Client(loop, address)
        self.addCleanup(client.close)
        found: list[int] = []
        began = time.monotonic()
        client.get('/', _LONG_S, lambda status, body: found.append(status))
        run_until(loop, lambda: bool(found))
        self.assertEqual(found, [0])
        self.assertLess(time.monotonic() - began, 0.9)

    def test_silence_and_half_an_answer(self) -> None:
        """Given up after the time-out."""

        def serve(connection: socket.socket) -> None:
            self.addCleanup(connection.close)
            connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{')

        self.assertEqual(self.answer_of(serve), 0)


class TestServer(unittest.TestCase):
    """Probes, good and bad."""

    def test_callers_that_misbehave(self) -> None:
        """They hinder nobody else."""
        loop = Loop()
        address = ('127.0.0.1', _free_port())
        Server(loop, address, {'/ready': lambda: (503, 'not yet')})
        bad: list[socket.socket] = []
        for number in range(40):
            connection = socket.create_connection(address)
            self.addCleanup(connection.close)
            connection.send(b'\xff' * number)
            bad.append(connection)
            # More than the server keeps, and than it lets wait at a time.
            if number % 4 == 3:
                bad[-2].close()
                run_until(loop, _after(0.02))
        client = Client(loop, address)
        found: list[tuple[int, bytes]] = []
        client.get('/ready', 1, lambda *answer: found.append(answer))
        run_until(loop, lambda: bool(found))
        self.assertEqual(found, [(503, b'not yet')])
        client.get('/other', 1, lambda *answer: found.append(answer))
        run_until(loop, lambda: len(found) > 1)


def _after(seconds: float) -> Callable[[], bool]:
    edge = time.monotonic() + seconds
    return lambda: time.monotonic() > edge


def _free_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port: int = listener.getsockname()[1]
        return port
