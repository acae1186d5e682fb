"""Tests of the event loop and of its HTTP client and server."""

import socket
import struct
import threading
import time
import unittest
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from siskinbank.relay.http import Client, Response, Server
from siskinbank.relay.loop import Loop

_RESET = struct.pack('ii', 1, 0)
# Time limit of each test, in seconds; longer than any of them needs.
_TEST_TIMEOUT_S = 5
_PAUSE_S = 0.1
_DESCRIPTOR = 3


class PausedPoll:
    """Stands for a poll during which the process is paused."""

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """Return no events after the pause, and one without a timeout."""
        if not timeout:
            return [(_DESCRIPTOR, 1)]
        time.sleep(_PAUSE_S)
        return []


def run_until(loop: Loop, done: Callable[[], bool]) -> None:
    """Run the loop until a condition holds or time is up."""
    deadline = time.monotonic() + _TEST_TIMEOUT_S

    def check() -> None:
        if done() or time.monotonic() > deadline:
            loop.stop()

    timer = loop.every(0.01, check)
    loop.run()
    loop.cancel(timer)


class TestLoop(unittest.TestCase):
    """Timers and exceptions of callbacks."""

    def test_timers(self) -> None:
        """Single, periodic and cancelled timers."""
        loop = Loop()
        calls: list[str] = []
        loop.after(0.02, lambda: calls.append('once'))
        loop.every(0.02, lambda: calls.append('again'))
        loop.cancel(loop.after(0.02, lambda: calls.append('never')))
        run_until(loop, lambda: calls.count('again') > 2)
        self.assertEqual(calls.count('once'), 1)
        self.assertNotIn('never', calls)

    def test_pause_within_turn(self) -> None:
        """It shows in the clock at once and in the length of the turn later.

        Packets that waited meanwhile would count as fresh otherwise.
        """
        loop = Loop()
        behind: list[float] = []
        since: list[float] = []

        def pause() -> None:
            time.sleep(_PAUSE_S)
            behind.append(loop.read_clock() - loop.now)

        loop.after(0, pause)
        loop.every(0.01, lambda: since.append(loop.since_previous_s))
        run_until(loop, lambda: len(since) > 2)
        self.assertGreaterEqual(behind[0], _PAUSE_S)
        self.assertGreaterEqual(max(since), _PAUSE_S)

    def test_pause_during_poll(self) -> None:
        """What waited is read in the turn that knows of the pause.

        A poll that is interrupted by a pause returns no events. In the next
        turn, packets that waited would count as fresh.
        """
        loop = Loop()
        loop._poll = PausedPoll()  # type: ignore[assignment] # noqa: SLF001
        since: list[float] = []
        loop._callbacks[_DESCRIPTOR] = lambda events: since.append(  # noqa: SLF001
            loop.since_previous_s
        )
        loop._run_once()  # noqa: SLF001
        self.assertGreaterEqual(max(since), _PAUSE_S)

    def test_error_in_one_callback_leaves_others_running(self) -> None:
        """The exception goes to on_fault, or out of the loop without one."""
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
    """Requests to a misbehaving server."""

    def request_status(self, serve: Callable[[socket.socket], None]) -> int:
        """Return the status of one request to a server."""
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
        responses: list[int] = []
        client.get('/', 0.3, lambda response: responses.append(response.status))
        run_until(loop, lambda: bool(responses))
        client.close()
        return responses[0]

    def test_response_in_two_parts(self) -> None:
        """The head is split between two segments."""

        def serve(connection: socket.socket) -> None:
            self.addCleanup(connection.close)
            connection.recv(1000)
            connection.send(b'HTTP/1.1 200 OK\r\nContent-Len')
            time.sleep(0.05)
            connection.send(b'gth: 2\r\n\r\n{}')

        self.assertEqual(self.request_status(serve), 200)

    def test_connection_reset(self) -> None:
        """The server resets the connection, before or after the request."""

        def serve(connection: socket.socket) -> None:
            option = (socket.SOL_SOCKET, socket.SO_LINGER)
            connection.setsockopt(*option, _RESET)
            connection.close()

        for _ in range(5):
            self.assertEqual(self.request_status(serve), 0)

    def test_lost_syn(self) -> None:
        """Load pattern: a network partition ends soon after a process start.

        The kernel would retransmit the lost SYN only after a second; the client
        abandons the connection before that.
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
        responses: list[int] = []
        started = time.monotonic()
        client.get(
            '/', _TEST_TIMEOUT_S, lambda found: responses.append(found.status)
        )
        run_until(loop, lambda: bool(responses))
        self.assertEqual(responses, [0])
        self.assertLess(time.monotonic() - started, 0.9)

    def test_second_copy_of_a_response(self) -> None:
        """A part of it arrives late, and the rest with the next response.

        The next request goes over another connection.
        """
        copy = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1'
        second = copy[:-1] + b'2'
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(1000)
                connection.send(copy)
                time.sleep(0.05)
                connection.send(copy[:20])
                if connection.recv(1000):
                    connection.send(copy[20:] + second)
                    return
            connection, _ = listener.accept()
            with connection:
                connection.recv(1000)
                connection.send(second)

        thread = threading.Thread(target=serve)
        thread.start()
        loop = Loop()
        client = Client(loop, listener.getsockname())
        found: list[Response] = []
        for count in (1, 2):
            client.get('/', 1, found.append)
            run_until(loop, _has_length(found, count))
            run_until(loop, _after(0.1))
        client.close()
        thread.join()
        self.assertEqual([one.body for one in found], [b'1', b'2'])

    def test_incomplete_response_times_out(self) -> None:
        """The request is abandoned after its timeout."""

        def serve(connection: socket.socket) -> None:
            self.addCleanup(connection.close)
            connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{')

        self.assertEqual(self.request_status(serve), 0)


class TestThinLink(unittest.TestCase):
    """Load pattern: a large response takes longer than a missing one.

    Guards against first reads of a large configuration that never end.
    """

    def serve(self, pause_s: float) -> tuple[str, int]:
        """Send a response in ten parts with a pause before each one."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        # Without a connection the test must fail, not wait.
        listener.settimeout(_TEST_TIMEOUT_S)

        def answer() -> None:
            with suppress(OSError), listener.accept()[0] as connection:
                connection.recv(1000)
                connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n')
                connection.send(b'\r\n')
                for _ in range(10):
                    time.sleep(pause_s)
                    connection.send(b'x' * 100)

        thread = threading.Thread(target=answer)
        thread.start()
        self.addCleanup(thread.join)
        address: tuple[str, int] = listener.getsockname()
        return address

    def response(self, pause_s: float, **limits: Any) -> Response:
        """Return the response to a request with a timeout of 0.2 s."""
        loop = Loop()
        client = Client(loop, self.serve(pause_s))
        self.addCleanup(client.close)
        found: list[Response] = []
        client.get('/', 0.2, found.append, **limits)
        run_until(loop, _has_length(found, 1))
        return found[0]

    def test_bytes_keep_arriving(self) -> None:
        """The response is read whole, unless it has to be there in time."""
        whole = self.response(0.05, silence_s=0.2)
        self.assertEqual((whole.status, len(whole.body)), (200, 1000))
        self.assertEqual(self.response(0.05).status, 0)

    def test_connection_goes_silent(self) -> None:
        """The response is abandoned after the time without a byte."""
        self.assertEqual(self.response(0.4, silence_s=0.2).status, 0)

    def test_too_large(self) -> None:
        """It is abandoned when its length is known, not after it has come."""
        found = self.response(0.4, silence_s=2, max_bytes=1000)
        self.assertEqual((found.status, found.is_too_large), (0, True))
        found = self.response(0.01, silence_s=2, max_bytes=1100)
        self.assertEqual((found.status, found.is_too_large), (200, False))


class TestIdleConnection(unittest.TestCase):
    """Load pattern: open connections go silent while new ones work.

    Guards against processes that read the store in place of others and lose the
    time of a timeout and a pause with their first call.
    """

    def setUp(self) -> None:
        """Serve each connection until it is told to be silent."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        self.connections: list[socket.socket] = []
        self.silent: set[int] = set()
        self.loop = Loop()
        self.client = Client(self.loop, listener.getsockname())
        self.addCleanup(self.client.close)
        listener.setblocking(False)
        self.loop.watch(listener.fileno(), lambda _: self.accept(listener))

    def accept(self, listener: socket.socket) -> None:
        """Answer the requests on a new connection."""
        connection, _ = listener.accept()
        number = len(self.connections)
        self.connections.append(connection)
        self.addCleanup(connection.close)

        def answer(_events: int) -> None:
            if connection.recv(1000) and number not in self.silent:
                connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

        self.loop.watch(connection.fileno(), answer)

    def status(self) -> int:
        """Return the status of the response to a request."""
        found: list[Response] = []
        self.client.get('/', 0.3, found.append)
        run_until(self.loop, _has_length(found, 1))
        return found[0].status

    def test_connection_in_use_is_kept(self) -> None:
        """Requests soon after each other share it."""
        for _ in range(3):
            self.assertEqual(self.status(), 200)
        self.assertEqual(len(self.connections), 1)

    def test_idle_connection_is_replaced(self) -> None:
        """The first request after a while gets its response."""
        self.assertEqual(self.status(), 200)
        self.silent.add(0)
        self.client._used_at -= 6  # noqa: SLF001
        self.assertEqual(self.status(), 200)
        self.assertEqual(len(self.connections), 2)


class TestServer(unittest.TestCase):
    """Valid and invalid requests."""

    def test_malformed_requests_do_not_block_others(self) -> None:
        """A client gets its response despite 40 malformed connections."""
        loop = Loop()
        address = ('127.0.0.1', _free_port())
        Server(loop, address, {'/ready': lambda: (503, 'not yet')})
        bad: list[socket.socket] = []
        for number in range(40):
            connection = socket.create_connection(address)
            self.addCleanup(connection.close)
            connection.send(b'\xff' * number)
            bad.append(connection)
            # More connections than the server keeps open, and than its
            # backlog holds.
            if number % 4 == 3:
                bad[-2].close()
                run_until(loop, _after(0.02))
        client = Client(loop, address)
        responses: list[Response] = []
        client.get('/ready', 1, responses.append)
        run_until(loop, lambda: bool(responses))
        self.assertEqual(responses[0].status, 503)
        self.assertEqual(responses[0].body, b'not yet')
        self.assertEqual(responses[0].header('Content-type'), 'text/plain')
        self.assertEqual(responses[0].header('Store-Era'), '')
        client.get('/other', 1, responses.append)
        run_until(loop, lambda: len(responses) > 1)


def _has_length(found: list[Response], count: int) -> Callable[[], bool]:
    return lambda: len(found) >= count


def _after(seconds: float) -> Callable[[], bool]:
    deadline = time.monotonic() + seconds
    return lambda: time.monotonic() > deadline


def _free_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port: int = listener.getsockname()[1]
        return port
