"""Streams without TLS, so that a faulty link can see their messages."""

import asyncio
from collections.abc import Callable

from siskinbank.config.site import Address
from siskinbank.peers.connect import PeerStreams
from siskinbank.wire.streams import MessageStream

__all__ = ('PlainStreams',)


class PlainStreams(PeerStreams):
    """Opens and accepts streams in the clear; for experiments only."""

    async def connect(self, address: Address) -> MessageStream:
        """Open a stream to another process.

        Raises:
            OSError: it cannot be reached.
        """
        return MessageStream(*await asyncio.open_connection(*address))

    async def listen(
        self,
        address: Address,
        accept: Callable[[MessageStream], None],
    ) -> asyncio.Server:
        """Hand each stream to ``accept``.

        Raises:
            OSError: the address could not be bound.
        """

        def take(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            accept(MessageStream(reader, writer))

        return await asyncio.start_server(take, *address)
