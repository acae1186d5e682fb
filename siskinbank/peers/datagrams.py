"""The authenticated UDP socket between siskinbank's own processes."""

import asyncio
import socket
from collections.abc import Callable

from siskinbank.config.site import Address
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Drop
from siskinbank.wire.envelopes import PACKET_KIND, Envelope
from siskinbank.wire.keys import KeyRing
from siskinbank.wire.messages import Message, MessageError, decode, encode
from siskinbank.wire.replay import STAMP_BYTES, ReplayGuard

__all__ = ('PeerSocket', 'open_udp')

_CONTROL_PREFIX = b'\0'
_STAMP_END = len(_CONTROL_PREFIX) + STAMP_BYTES
_RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

EnvelopeHandler = Callable[[Envelope, Address], None]
MessageHandler = Callable[[Message, Address], None]


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, handle: Callable[[bytes, Address], None]) -> None:
        self._handle = handle

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._handle(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore; an unreachable peer is detected by its missing answers."""


async def open_udp(
    address: Address,
    handle: Callable[[bytes, Address], None],
) -> asyncio.DatagramTransport:
    """Bind a UDP socket and pass each datagram to ``handle``.

    Raises:
        OSError: the address could not be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    try:
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            _RECEIVE_BUFFER_BYTES,
        )
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f'{error.strerror}: {address}') from error
    loop = asyncio.get_running_loop()
    transport, _protocol = await loop.create_datagram_endpoint(
        lambda: _Receiver(handle),
        sock=sock,
    )
    return transport


class PeerSocket:
    """Sends and receives sealed envelopes and messages."""

    def __init__(self, keys: KeyRing, metrics: Metrics) -> None:
        """Initialize an unbound socket; handlers are set before ``open``.

        ``on_message`` receives the messages of classes without a subscriber.
        ``handle_body`` receives the body of each envelope and returns whether
        it has handled it. If not, the envelope is decoded and passed to
        ``on_envelope``. ``on_unkeyed`` is called for each datagram that no key
        opens.

        Args:
            keys: the keys that seal and open datagrams.
            metrics: counts dropped datagrams and the bytes of control
                messages.
        """
        self.keys = keys
        self._metrics = metrics
        self._replay_guard = ReplayGuard()
        self._transport: asyncio.DatagramTransport | None = None
        self._subscribers: dict[type[Message], MessageHandler] = {}
        self.on_envelope: EnvelopeHandler = _ignore
        self.on_message: MessageHandler = _ignore
        self.on_unkeyed: Callable[[], None] = _ignore_unkeyed
        self.handle_body: Callable[[bytes], bool] = _handle_no_body

    def subscribe(
        self, message_class: type[Message], handler: MessageHandler
    ) -> None:
        """Pass messages of one class to ``handler``.

        Raises:
            ValueError: the class already has a subscriber.
        """
        if self._subscribers.setdefault(message_class, handler) is not handler:
            raise ValueError(
                f'{message_class.__name__} already has a subscriber'
            )

    async def open(self, address: Address) -> None:
        """Bind to ``address``."""
        self.attach_transport(await open_udp(address, self.receive))

    def attach_transport(self, transport: asyncio.DatagramTransport) -> None:
        """Use a transport that is already open."""
        self._transport = transport

    def receive(self, datagram: bytes, sender: Address) -> None:
        """Authenticate a datagram and dispatch it; count refused ones."""
        body = self.keys.open(datagram)
        if body is None:
            self._metrics.count(Drop.unkeyed)
            self.on_unkeyed()
        elif body[0] == PACKET_KIND:
            if not self.handle_body(body):
                self._receive_envelope(body, sender)
        else:
            self._receive_message(body, sender)

    def send_packet(self, head: bytes, raw: bytes, receiver: Address) -> None:
        """Send a packet behind an already packed envelope header."""
        if self._transport is not None:
            sealed = self.keys.seal_parts(head, raw)
            self._transport.sendto(sealed, receiver)

    def send_envelope(self, envelope: Envelope, receiver: Address) -> None:
        """Forward a packet to another process."""
        if self._transport is not None:
            sealed = self.keys.seal_parts(envelope.pack_head(), envelope.raw)
            self._transport.sendto(sealed, receiver)

    def send_message(self, sent: Message, receiver: Address) -> None:
        """Send a control message to another process."""
        if self._transport is not None:
            sealed = self.keys.seal(
                _CONTROL_PREFIX + self._replay_guard.stamp() + encode(sent),
            )
            self._metrics.tally('control_bytes', len(sealed))
            self._transport.sendto(sealed, receiver)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _receive_envelope(self, body: bytes, sender: Address) -> None:
        envelope = Envelope.unpack(body)
        if envelope is None:
            self._metrics.count(Drop.malformed)
        else:
            self.on_envelope(envelope, sender)

    def _receive_message(self, body: bytes, sender: Address) -> None:
        if not self._replay_guard.accept(
            body[len(_CONTROL_PREFIX) : _STAMP_END]
        ):
            self._metrics.count(Drop.replayed)
            return
        try:
            received = decode(body[_STAMP_END:])
        except MessageError:
            self._metrics.count(Drop.malformed)
            return
        handler = self._subscribers.get(type(received), self.on_message)
        handler(received, sender)


def _ignore(_received: object, _sender: Address) -> None:
    """Drop a datagram without a handler."""


def _ignore_unkeyed() -> None:
    """Default of ``on_unkeyed``."""


def _handle_no_body(_body: bytes) -> bool:
    return False
