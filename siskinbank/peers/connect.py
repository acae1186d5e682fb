"""Streams between siskinbank's own processes.

No other module opens or accepts such streams.
"""

import asyncio
import weakref
from collections.abc import Callable
from typing import Any

from siskinbank.config.site import Address
from siskinbank.kernel import events
from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.reasons import Drop
from siskinbank.peers.refusals import RefusalLog
from siskinbank.wire.keys import Key, KeyRing
from siskinbank.wire.stream_keys import StreamKeys
from siskinbank.wire.streams import MessageStream
from siskinbank.wire.tls import StreamSecurity

__all__ = ('PeerStreams',)

_HANDSHAKE_TIMEOUT_SECONDS = 5


class PeerStreams:
    """Opens and accepts TLS streams with mutual authentication."""

    def __init__(self, process: ProcessContext, keys: KeyRing) -> None:
        """Initialize with the keys that authenticate both sides."""
        self._process = process
        self._keys = keys
        self._security = StreamSecurity(keys)
        self._security.on_refusal = self.note_refusal
        self._refusals = RefusalLog(process)
        self._streams: weakref.WeakSet[MessageStream] = weakref.WeakSet()
        keys.subscribe(self._log_withdrawn)

    async def connect(self, address: Address) -> MessageStream:
        """Open a stream to another process.

        Raises:
            OSError: the process cannot be reached, or the keys do not match.
        """
        own = self._keys.keys[0]
        reader, writer = await asyncio.open_connection(
            *address,
            **self._client_options(),
        )
        return self._make_stream(reader, writer, own)

    async def listen(
        self,
        address: Address,
        accept: Callable[[MessageStream], None],
    ) -> asyncio.Server:
        """Listen and pass each authenticated stream to ``accept``.

        Raises:
            OSError: the address could not be bound.
        """

        def handle_connection(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            accept(self._make_stream(reader, writer, None))

        return await asyncio.start_server(
            handle_connection,
            *address,
            **self._server_options(),
        )

    def subscribe(self, notify: Callable[[], None]) -> None:
        """Call ``notify`` after each replacement of the keys."""
        self._keys.subscribe(notify)

    def note_refusal(self, reason: str) -> None:
        """Count and log a refused stream."""
        self._process.metrics.count(Drop.unkeyed_stream)
        self._refusals.write('stream', reason)

    def _client_options(self) -> dict[str, Any]:
        return {
            'ssl': self._security.client,
            'ssl_handshake_timeout': _HANDSHAKE_TIMEOUT_SECONDS,
        }

    def _server_options(self) -> dict[str, Any]:
        return {
            'ssl': self._security.server(),
            'ssl_handshake_timeout': _HANDSHAKE_TIMEOUT_SECONDS,
        }

    def _make_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own: Key | None,
    ) -> MessageStream:
        tls = writer.get_extra_info('ssl_object')
        keys = None
        if tls is not None:
            peer = self._security.key_of(tls.getpeercert(binary_form=True))
            keys = StreamKeys(self._keys, own, peer)
        stream = MessageStream(reader, writer, keys)
        self._streams.add(stream)
        return stream

    def _log_withdrawn(self) -> None:
        """Log how many open streams have a key that is no longer valid."""
        withdrawn = [
            stream
            for stream in self._streams
            if stream.withdrawn and not stream.writer.is_closing()
        ]
        if withdrawn:
            self._process.log.write(
                events.STREAMS_WITHDRAWN, streams=len(withdrawn)
            )
