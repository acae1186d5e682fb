"""Streams between siskinbank's own processes.

No other module opens or accepts such streams.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from siskinbank.config.site import Address
from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.reasons import Drop
from siskinbank.peers.refusals import RefusalLog
from siskinbank.wire.keys import KeyRing
from siskinbank.wire.streams import MessageStream
from siskinbank.wire.tls import StreamSecurity

__all__ = ('PeerStreams',)

_HANDSHAKE_TIMEOUT_SECONDS = 5


class PeerStreams:
    """Opens and accepts TLS streams with mutual authentication."""

    def __init__(self, process: ProcessContext, keys: KeyRing) -> None:
        """Initialize with the keys that authenticate both sides."""
        self._process = process
        self._security = StreamSecurity(keys)
        self._security.on_refusal = self._note_refusal
        self._refusals = RefusalLog(process)

    async def connect(self, address: Address) -> MessageStream:
        """Open a stream to another process.

        Raises:
            OSError: the process cannot be reached, or the keys do not match.
        """
        reader, writer = await asyncio.open_connection(
            *address,
            **self._client_options(),
        )
        return MessageStream(reader, writer)

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
            accept(MessageStream(reader, writer))

        return await asyncio.start_server(
            handle_connection,
            *address,
            **self._server_options(),
        )

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

    def _note_refusal(self, reason: str) -> None:
        """Count and log a refused stream."""
        self._process.metrics.count(Drop.unkeyed_stream)
        self._refusals.write('stream', reason)
