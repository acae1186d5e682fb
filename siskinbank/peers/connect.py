"""The one place that opens and accepts streams between our processes."""

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

_HANDSHAKE_SECONDS = 5


class PeerStreams:
    """Opens and accepts streams in TLS with mutual authentication."""

    def __init__(self, process: ProcessContext, keys: KeyRing) -> None:
        """Prove and demand the keys of ``keys``."""
        self._process = process
        self._security = StreamSecurity(keys)
        self._security.on_refusal = self._refuse
        self._refusals = RefusalLog(process)

    async def connect(self, address: Address) -> MessageStream:
        """Open a stream to another process.

        Raises:
            OSError: it cannot be reached, or the keys do not match.
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
        """Hand each stream of a process with a valid key to ``accept``.

        Raises:
            OSError: the address could not be bound.
        """

        def take(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            accept(MessageStream(reader, writer))

        return await asyncio.start_server(
            take,
            *address,
            **self._server_options(),
        )

    def _client_options(self) -> dict[str, Any]:
        return {
            'ssl': self._security.client,
            'ssl_handshake_timeout': _HANDSHAKE_SECONDS,
        }

    def _server_options(self) -> dict[str, Any]:
        return {
            'ssl': self._security.server(),
            'ssl_handshake_timeout': _HANDSHAKE_SECONDS,
        }

    def _refuse(self, reason: str) -> None:
        """Count a refused stream, and say so in the log."""
        self._process.metrics.count(Drop.unkeyed_stream)
        self._refusals.write('stream', reason)
