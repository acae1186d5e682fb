"""Non-blocking HTTP/1.1 client and server on the event loop.

The client talks to the store; the server answers health probes and metrics
requests. The client handles a response once its head and the body announced by
``Content-Length`` are complete. The server ignores request bodies.
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

    ResponseCallback = Callable[['Response'], None]

__all__ = ('Client', 'Response', 'Server')

_NONBLOCKING_TCP = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC
_READ_BYTES = 65536
# Size limit of a response with its head. Values in the store have at most
# 1 MiB, a third more in base64, and a page holds about as much.
_MAX_RESPONSE_BYTES = 4_194_304
_BACKLOG = 16
# Limit of open server connections; beyond it the oldest is closed. Probes come
# from one router in each data centre.
_MAX_CONNECTIONS = 32
_STATUS_DIGITS = 3
# Connect timeout, in seconds: many round trips between data centres, and a
# quarter of the time after which the kernel retransmits a lost SYN. The caller
# then tries a new connection.
_CONNECT_TIMEOUT_S = 0.25
# A connection that has been idle for longer than this, in seconds, is replaced. It
# may have gone silent, which only a timeout would show.
_MAX_IDLE_S = 5.0
# Time limit of a response of which bytes keep arriving, in seconds: 4 MB at 5
# Mbit/s.
_MAX_TRANSFER_S = 7.0
_VERSIONS = frozenset((b'HTTP/1.0', b'HTTP/1.1'))
_LINE_END = b'\r\n'
_HEAD_END = b'\r\n\r\n'


class Response:
    """The response to a request.

    Attributes:
        status: status code, 0 if there is no response.
        body: the body.
        is_too_large: whether it exceeds the size limit of its request, or the
            time limit of a transfer, and was not received for that.
    """

    __slots__ = ('_head', 'body', 'is_too_large', 'status')

    def __init__(
        self, head: bytes = b'', body: bytes = b'', is_too_large: bool = False
    ) -> None:
        """Create a response; without a head one that was not received."""
        self.status = _status(head)
        self.body = body
        self.is_too_large = is_too_large
        self._head = head

    def header(self, name: str) -> str:
        """Return the value of a header, empty without one."""
        return _header(self._head, name.lower().encode())


class Client:
    """HTTP client with one persistent connection and one request at a time."""

    __slots__ = (
        '_connect_timer',
        '_expected_bytes',
        '_loop',
        '_max_bytes',
        '_on_response',
        '_peer',
        '_received',
        '_silence_s',
        '_socket',
        '_timer',
        '_transfer_ends_at',
        '_used_at',
    )

    def __init__(self, loop: Loop, peer: tuple[str, int]) -> None:
        """Create a client that connects on first use."""
        self._loop = loop
        self._peer = peer
        self._socket: socket | None = None
        self._received = bytearray()
        self._expected_bytes = 0
        self._max_bytes = _MAX_RESPONSE_BYTES
        self._on_response: ResponseCallback | None = None
        self._timer: Timer | None = None
        self._connect_timer: Timer | None = None
        self._silence_s: float = 0
        self._transfer_ends_at: float = 0
        self._used_at: float = 0

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""
        return self._on_response is not None

    def get(
        self,
        path: str,
        timeout: float,
        on_response: ResponseCallback,
        silence_s: float = 0,
        max_bytes: int = _MAX_RESPONSE_BYTES,
    ) -> None:
        """Send a GET request.

        Args:
            path: path and query.
            timeout: seconds until the connection is abandoned.
            on_response: called once with the response.
            silence_s: seconds without a byte after which a response that has
                begun is abandoned, in place of the timeout; 0 to keep that. A
                large response over a thin link takes longer than one that is
                missing.
            max_bytes: size limit of the response with its head.
        """
        self._max_bytes = max_bytes
        self._on_response = on_response
        self._silence_s = silence_s
        self._transfer_ends_at = 0
        self._received = bytearray()
        self._expected_bytes = 0
        self._timer = self._loop.after(timeout, self._expire)
        ip, port = self._peer
        request = f'GET {path} HTTP/1.1\r\nHost: {ip}:{port}\r\n\r\n'.encode()
        if self._loop.now - self._used_at > _MAX_IDLE_S:
            self.close()
        try:
            self._send(request)
        except OSError:
            self._finish(Response())

    def close(self) -> None:
        """Close the connection; a pending request gets no response."""
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _send(self, request: bytes) -> None:
        if self._socket is not None:
            self._socket.send(request)
            return
        connection = socket(AF_INET, _NONBLOCKING_TCP)
        self._socket = connection
        connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self._connect_timer = self._loop.after(_CONNECT_TIMEOUT_S, self._expire)
        callback = self._connect_callback(request)
        self._loop.watch(connection.fileno(), callback)
        self._loop.watch_writing(connection.fileno(), writing=True)
        try:
            connection.connect(self._peer)
        except BlockingIOError:
            return

    def _connect_callback(self, request: bytes) -> Callable[[int], None]:
        unsent = [request]

        def ready(events: int) -> None:
            connection = self._socket
            if connection is None:
                return
            if unsent:
                self._cancel_connect_timer()
                if connection.getsockopt(SOL_SOCKET, SO_ERROR):
                    self._finish(Response())
                    return
                self._loop.watch_writing(connection.fileno(), writing=False)
                try:
                    connection.send(unsent.pop())
                except OSError:
                    # The peer reset the connection after it was opened.
                    self._finish(Response())
                return
            self._read(connection)

        return ready

    def _read(self, connection: socket) -> None:
        received = _receive(connection)
        if received is None:
            return
        if not received or not self.busy:
            # Without a request in progress this is the end of the connection,
            # or a second copy of a response, which another request must not
            # get.
            self._finish(Response())
            return
        self._received += received
        if len(self._received) < self._expected_bytes:
            self._extend()
            return
        message = _split_message(bytes(self._received))
        if message:
            head, body, rest = message
            if rest:
                self.close()
            self._finish(Response(head, body))
            return
        self._expected_bytes = _message_length(self._received)
        if max(self._expected_bytes, len(self._received)) > self._max_bytes:
            self._finish(Response(is_too_large=True))
        else:
            self._extend()

    def _extend(self) -> None:
        """Wait for the rest of a response that has begun."""
        if not self._silence_s:
            return
        now = self._loop.now
        if not self._transfer_ends_at:
            self._transfer_ends_at = now + _MAX_TRANSFER_S
        if self._timer is not None:
            self._loop.cancel(self._timer)
        delay_s = min(self._silence_s, self._transfer_ends_at - now)
        self._timer = self._loop.after(delay_s, self._expire)

    def _expire(self) -> None:
        ends_at = self._transfer_ends_at
        has_lasted = 0 < ends_at <= self._loop.now
        self._finish(Response(is_too_large=has_lasted))

    def _cancel_connect_timer(self) -> None:
        if self._connect_timer is not None:
            self._loop.cancel(self._connect_timer)
            self._connect_timer = None

    def _finish(self, response: Response) -> None:
        self._cancel_connect_timer()
        if self._timer is not None:
            self._loop.cancel(self._timer)
            self._timer = None
        if not response.status:
            self.close()
        self._used_at = self._loop.now
        on_response, self._on_response = self._on_response, None
        if on_response is not None:
            on_response(response)


class Server:
    """HTTP server for GET requests to fixed paths."""

    __slots__ = ('_connections', '_listener', '_loop', '_paths')

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        paths: dict[str, Callable[[], tuple[int, str]]],
    ) -> None:
        """Open the listening socket.

        Args:
            loop: event loop.
            address: address to listen at.
            paths: functions that return status and text, by path.

        Raises:
            OSError: the address cannot be bound.
        """
        self._loop = loop
        self._paths = paths
        self._connections: dict[int, socket] = {}
        self._listener = socket(AF_INET, _NONBLOCKING_TCP)
        self._listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(_BACKLOG)
        loop.watch(self._listener.fileno(), self._accept)

    def _accept(self, events: int) -> None:
        try:
            descriptor, _ = self._listener._accept()  # type: ignore[attr-defined]
        except OSError:
            # The client closed the connection before it was accepted.
            return
        connection = socket(AF_INET, _NONBLOCKING_TCP, 0, descriptor)
        connection.setblocking(False)
        if len(self._connections) >= _MAX_CONNECTIONS:
            self._close(next(iter(self._connections)))
        self._connections[descriptor] = connection
        self._loop.watch(
            descriptor, self._request_callback(descriptor, connection)
        )

    def _request_callback(
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
        parts = request.split(b' ', 2)
        path = parts[1].decode('latin-1') if len(parts) > 1 else ''
        respond = self._paths.get(path)
        status, text = respond() if respond else (404, '')
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
        self._loop.unwatch(descriptor)
        self._connections.pop(descriptor).close()


def _receive(connection: socket) -> bytes | None:
    """Return received bytes, empty at the end, None if none are available."""
    try:
        return connection.recv(_READ_BYTES)
    except BlockingIOError:
        return None
    except OSError:
        # A reset is handled like the end of the stream.
        return b''


def _split_message(received: bytes) -> tuple[bytes, bytes, bytes] | None:
    """Return head, body and what follows, or None while incomplete."""
    head, found, rest = received.partition(_HEAD_END)
    if not found:
        return None
    length = _content_length(head)
    if len(rest) < length:
        return None
    return head, rest[:length], rest[length:]


def _message_length(received: bytearray) -> int:
    """Return the length of a message, 0 while its head is incomplete."""
    end = received.find(_HEAD_END)
    if end < 0:
        return 0
    length = _content_length(bytes(received[:end]))
    return end + len(_HEAD_END) + length


def _content_length(head: bytes) -> int:
    length = _header(head, b'content-length')
    return int(length) if length.isdecimal() else 0


def _header(head: bytes, lower_name: bytes) -> str:
    for line in head.split(_LINE_END)[1:]:
        name, _, text = line.partition(b':')
        if name.lower() == lower_name:
            return text.strip().decode('latin-1')
    return ''


def _status(head: bytes) -> int:
    """Return the status code of a response, 0 without a status line."""
    version, _, rest = head.partition(_LINE_END)[0].partition(b' ')
    status = rest.partition(b' ')[0]
    is_status = len(status) == _STATUS_DIGITS and status.isdigit()
    return int(status) if is_status and version in _VERSIONS else 0
