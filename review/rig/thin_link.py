"""A proxy to the store that passes answers at the rate of a thin link."""

import asyncio

_CHUNK_BYTES = 4096
_BITS = 8


class ThinLink:
    """Accepts the calls of one machine and passes them on to the store.

    The answers of all connections share the rate, as on the machine's own link.
    """

    def __init__(self, store: tuple[str, int], mbps: float) -> None:
        """Create a link with a rate in Mbit/s."""
        self._store = store
        self._bytes_per_s = mbps * 1e6 / _BITS
        self._free_at: float = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, address: tuple[str, int]) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self) -> None:
        """Stop to listen and end all connections."""
        if self._server:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        store_reader, store_writer = await asyncio.open_connection(*self._store)
        writers = {writer, store_writer}
        self._writers |= writers
        passes = {
            asyncio.create_task(_pass(reader, store_writer)),
            asyncio.create_task(self._pass_slowly(store_reader, writer)),
        }
        await asyncio.wait(passes, return_when=asyncio.FIRST_COMPLETED)
        for task in passes:
            task.cancel()
        for one in writers:
            one.close()
        self._writers -= writers

    async def _pass_slowly(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while received := await reader.read(_CHUNK_BYTES):
                now = loop.time()
                duration = len(received) / self._bytes_per_s
                self._free_at = max(self._free_at, now) + duration
                await asyncio.sleep(self._free_at - now)
                writer.write(received)
                await writer.drain()
        except OSError:
            # The caller has closed the connection.
            return


async def _pass(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while received := await reader.read(_CHUNK_BYTES):
            writer.write(received)
            await writer.drain()
    except OSError:
        # The store has closed the connection.
        return
