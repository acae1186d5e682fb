"""The one place that opens and accepts streams between our processes."""

import asyncio
from collections.abc import Callable

from siskinbank.config.site import Address
from siskinbank.kernel import events
from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.reasons import Drop
from siskinbank.wire.keys import KeyRing
from siskinbank.wire.streams import MessageStream
from siskinbank.wire.tls import StreamSecurity

__all__ = ('PeerStreams',)

_HANDSHAKE_SECONDS = 5
_EVENT_SECONDS = 60


class PeerStreams:
    """Opens and accepts streams in TLS with mutual authentication."""

    def __init__(self, process: ProcessContext, keys: KeyRing) -> None:
        """Prove and demand the keys of ``keys``."""
        self._process = process
        self._security = StreamSecurity(keys)
        self._security.on_refusal = self._refuse
        self._told_at: float | None = None

    async def connect(self, address: Address) -> MessageStream:
        """Open a stream to another process.

        Raises:
            OSError: it cannot be reached, or the keys do not match.
        """
        reader, writer = await asyncio.open_connection(
            *address,
            ssl=self._security.client,
            ssl_handshake_timeout=_HANDSHAKE_SECONDS,
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
            ssl=self._security.server(),
            ssl_handshake_timeout=_HANDSHAKE_SECONDS,
        )

    def _refuse(self, reason: str) -> None:
        """Count a refused stream; write an event, but not one for each."""
        self._process.metrics.count(Drop.unkeyed_stream)
        now = self._process.timers.now
        if self._told_at is None or now - self._told_at >= _EVENT_SECONDS:
            self._told_at = now
            self._process.log.write(events.UNKEYED, what='stream', why=reason)
