"""HTTP/1.1 for a process that carries packets: the store, probes, metrics.

Both ends read a message when its head and the body that ``Content-Length``
announces have come; nothing here waits.
"""

from __future__ import annotations

from _socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_ERROR,
    SO_REUSEADDR,
    SOCK_CLOEXEC,
    SOCK_NONBLOCK,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.loop import Loop, Timer

    #: Takes status and body; status 0 means that no answer came.
    Answered = Callable[[int, bytes], None]

__all__ = ('Client', 'Server')

_STREAM = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC
_READ_BYTES = 65536
# Heads and bodies beyond this are refused; the store's values are 1 MiB at
# most, in base64 a third more, and a page holds about as much.
_MOST_BYTES = 4 << 20
_BACKLOG = 16
# Probes come from one router a data centre; more connections than this are
# closed, the oldest first.
_MOST_CONNECTIONS = 32
_STATUS_DIGITS = 3
# A connection that is not open after this, in seconds, is tried anew: many
# ways between data centres, and a quarter of the time after which the system
# repeats a lost opening packet.
_CONNECT_S = 0.25
_HEAD_END = b'\r\n\r\n'


class Client:
    """One connection to one server, one request at a time."""

    __slots__ = (
        '_answered',
        '_connecting',
        '_loop',
        '_peer',
        '_received',
        '_socket',
        '_timer',
    )

    def __init__(self, loop: Loop, peer: tuple[str, int]) -> None:
        """Connect on first use."""
        self._loop = loop
        self._peer = peer
        self._socket: socket | None = None
        self._received = b''
        self._answered: Answered | None = None
        self._timer: Timer | None = None
        self._connecting: Timer | None = None

    @property
    def busy(self) -> bool:
        """Whether a request waits for its answer."""
        return self._answered is not None

    def get(self, path: str, timeout: float, answered: Answered) -> None:
        """Ask for a path.

        Args:
            path: path and query.
            timeout: seconds until the connection is given up.
            answered: called once.
        """
        self._answered = answered
        self._received = b''
        self._timer = self._loop.after(timeout, self._expire)
        ip, port = self._peer
        request = f'GET {path} HTTP/1.1\r\nHost: {ip}:{port}\r\n\r\n'.encode()
        try:
            self._send(request)
        except OSError:
            self._finish(0, b'')

    def close(self) -> None:
        """Drop the connection; a request that waits gets no answer."""
        if self._socket is not None:
            self._loop.forget(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _send(self, request: bytes) -> None:
        if self._socket is not None:
            self._socket.send(request)
            return
        connection = socket(AF_INET, _STREAM)
        self._socket = connection
        connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self._connecting = self._loop.after(_CONNECT_S, self._expire)
        connected = self._connected(request)
        self._loop.watch(connection.fileno(), connected)
        self._loop.watch_writing(connection.fileno(), writing=True)
        try:
            connection.connect(self._peer)
        except BlockingIOError:
            return

    def _connected(self, request: bytes) -> Callable[[int], None]:
        unsent = [request]

        def ready(events: int) -> None:
            connection = self._socket
            if connection is None:
                return
            if unsent:
                self._end_connecting()
                if connection.getsockopt(SOL_SOCKET, SO_ERROR):
                    self._finish(0, b'')
                    return
                self._loop.watch_writing(connection.fileno(), writing=False)
                try:
                    connection.send(unsent.pop())
                except OSError:
                    # Reset as soon as it was open.
                    self._finish(0, b'')
                return
            self._read(connection)

        return ready

    def _read(self, connection: socket) -> None:
        received = _receive(connection)
        if received is None:
            return
        if not received:
            self._finish(0, b'')
            return
        self._received += received
        answer = _split(self._received)
        if answer:
            head, body = answer
            self._finish(_status(head), body)
        elif len(self._received) > _MOST_BYTES:
            self._finish(0, b'')

    def _expire(self) -> None:
        self._finish(0, b'')

    def _end_connecting(self) -> None:
        if self._connecting is not None:
            self._loop.cancel(self._connecting)
            self._connecting = None

    def _finish(self, status: int, body: bytes) -> None:
        self._end_connecting()
        if self._timer is not None:
            self._loop.cancel(self._timer)
            self._timer = None
        if not status:
            self.close()
        answered, self._answered = self._answered, None
        if answered is not None:
            answered(status, body)


class Server:
    """Answers ``GET`` for a few paths."""

    __slots__ = ('_connections', '_listener', '_loop', '_paths')

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        paths: dict[str, Callable[[], tuple[int, str]]],
    ) -> None:
        """Listen.

        Args:
            loop: where to wait.
            address: where to listen.
            paths: for each path what gives status and text.

        Raises:
            OSError: the address cannot be had.
        """
        self._loop = loop
        self._paths = paths
        self._connections: dict[int, socket] = {}
        self._listener = socket(AF_INET, _STREAM)
        self._listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(_BACKLOG)
        loop.watch(self._listener.fileno(), self._accept)

    def _accept(self, events: int) -> None:
        try:
            descriptor, _ = self._listener._accept()  # type: ignore[attr-defined]
        except OSError:
            # The caller went away first.
            return
        connection = socket(AF_INET, _STREAM, 0, descriptor)
        connection.setblocking(False)
        if len(self._connections) >= _MOST_CONNECTIONS:
            self._close(next(iter(self._connections)))
        self._connections[descriptor] = connection
        self._loop.watch(descriptor, self._reader(descriptor, connection))

    def _reader(
        self,
        descriptor: int,
        connection: socket,
    ) -> Callable[[int], None]:
        pending = bytearray()

        def ready(events: int) -> None:
            received = _receive(connection)
            if received is None:
                return
            pending.extend(received)
            if not received or len(pending) > _READ_BYTES:
                self._close(descriptor)
            elif pending.endswith(_HEAD_END):
                request = bytes(pending)
                pending.clear()
                self._answer(descriptor, connection, request)

        return ready

    def _answer(
        self,
        descriptor: int,
        connection: socket,
        request: bytes,
    ) -> None:
        words = request.split(b' ', 2)
        path = words[1].decode('latin-1') if len(words) > 1 else ''
        answer = self._paths.get(path)
        status, text = answer() if answer else (404, '')
        body = text.encode()
        head = (
            f'HTTP/1.1 {status} -\r\n'
            'Content-Type: text/plain\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        try:
            connection.send(head.encode() + body)
        except OSError:
            self._close(descriptor)

    def _close(self, descriptor: int) -> None:
        self._loop.forget(descriptor)
        self._connections.pop(descriptor).close()


def _receive(connection: socket) -> bytes | None:
    """Return what has come, nothing at the end, None if there is none yet."""
    try:
        return connection.recv(_READ_BYTES)
    except BlockingIOError:
        return None
    except OSError:
        # Reset: the connection is over as at its end.
        return b''


def _split(received: bytes) -> tuple[bytes, bytes] | None:
    """Return head and body once both are whole."""
    head, found, rest = received.partition(_HEAD_END)
    if not found:
        return None
    length = _length(head)
    return (head, rest[:length]) if len(rest) >= length else None


def _length(head: bytes) -> int:
    for line in head.split(b'\r\n'):
        name, _, length = line.partition(b':')
        if name.lower() == b'content-length' and length.strip().isdigit():
            return int(length)
    return 0


def _status(head: bytes) -> int:
    _, _, rest = head.partition(b' ')
    status = rest[:_STATUS_DIGITS]
    return int(status) if status.isdigit() else 0
