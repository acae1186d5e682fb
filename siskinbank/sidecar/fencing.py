"""Ask the former homes of a key to fence it."""

import asyncio

from siskinbank.config.site import Host
from siskinbank.entry.links import LinkLostError, RequestLinks
from siskinbank.kernel.process import ProcessContext
from siskinbank.peers.connect import PeerStreams
from siskinbank.wire.request_messages import FenceKey, KeyFenced, RequestHead

__all__ = ('Fencing',)

_ASK_SECONDS = 1.0


class Fencing:
    """Asks other sidecars over request links, as an entry does."""

    def __init__(self, process: ProcessContext, streams: PeerStreams) -> None:
        """Keep links as tasks of ``process``."""
        self._links = RequestLinks(process, streams)

    async def ask(self, homes: list[Host], head: RequestHead) -> bool:
        """Whether all former homes fenced the key of a request."""
        answers = await asyncio.gather(
            *(self._ask(home, head) for home in homes),
        )
        return all(answers)

    async def _ask(self, home: Host, head: RequestHead) -> bool:
        try:
            async with asyncio.timeout(_ASK_SECONDS):
                link = await self._links.get(home.address)
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
