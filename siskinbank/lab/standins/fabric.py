"""A stand-in of the fabric: sprays each packet over the live entries."""

import asyncio
import random
from collections.abc import Sequence

from siskinbank.config.site import Address
from siskinbank.peers.datagrams import open_udp
from siskinbank.directory.client import PlatformClient, PlatformError
from siskinbank.directory.live import InstanceState, Role

__all__ = ('FabricStandIn',)

_REFRESH_SECONDS = 0.2


class FabricStandIn:
    """Hands any packet to any entry that the platform lists as live."""

    def __init__(
        self,
        entries: dict[str, Address],
        platform: PlatformClient,
        seed: int,
    ) -> None:
        """Spray over ``entries``, by instance name."""
        self._entries = entries
        self._platform = platform
        self._rng = random.Random(seed)
        self._live: Sequence[Address] = list(entries.values())
        self._transport: asyncio.DatagramTransport | None = None

    async def run(self, address: Address) -> None:
        """Serve until cancelled."""
        self._transport = await open_udp(address, self._spray)
        while True:
            await self._refresh()
            await asyncio.sleep(_REFRESH_SECONDS)

    def _spray(self, datagram: bytes, _sender: Address) -> None:
        if self._transport is not None and self._live:
            self._transport.sendto(datagram, self._rng.choice(self._live))

    async def _refresh(self) -> None:
        try:
            instances = await self._platform.instances()
        except PlatformError:
            return
        self._live = [
            self._entries[instance.name]
            for instance in instances
            if instance.role is Role.entry
            and instance.state is InstanceState.live
            and instance.name in self._entries
        ]
