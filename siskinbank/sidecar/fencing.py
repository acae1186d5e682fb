"""Ask the former primary hosts of a key to run no more requests with it."""

import asyncio

from siskinbank.config.site import Host
from siskinbank.entry.links import LinkLostError, RequestLinks
from siskinbank.kernel.process import ProcessContext
from siskinbank.peers.connect import PeerStreams
from siskinbank.wire.request_messages import FenceKey, KeyFenced, RequestHead

__all__ = ('KeyFencer',)

_FENCE_TIMEOUT_SECONDS = 1.0


class KeyFencer:
    """Sends fence requests to other sidecars over request links."""

    def __init__(self, process: ProcessContext, streams: PeerStreams) -> None:
        """Initialize the fencer; its links run as tasks of ``process``."""
        self._links = RequestLinks(process, streams)

    async def fence_at(self, primaries: list[Host], head: RequestHead) -> bool:
        """Ask all former primary hosts; return whether all fenced the key."""
        answers = await asyncio.gather(
            *(self._fence(primary, head) for primary in primaries),
        )
        return all(answers)

    async def _fence(self, primary: Host, head: RequestHead) -> bool:
        try:
            async with asyncio.timeout(_FENCE_TIMEOUT_SECONDS):
                link = await self._links.get(primary.address)
                exchange = link.open()
                try:
                    exchange.post(
                        FenceKey(exchange.number, head.service, head.key),
                    )
                    return isinstance(await exchange.reply, KeyFenced)
                finally:
                    exchange.close(finished=True)
        except (LinkLostError, TimeoutError):
            return False
