"""A stand-in for the fabric: sprays packets over the live entries."""

import asyncio
import random
from collections.abc import Sequence

from siskinbank.config.site import Address
from siskinbank.directory.client import PlatformClient, PlatformError
from siskinbank.directory.live import InstanceState, Role
from siskinbank.peers.datagrams import open_udp

__all__ = ('FabricStandIn',)

_REFRESH_SECONDS = 0.2


class FabricStandIn:
    """Forwards each packet to a random entry that is listed as live."""

    def __init__(
        self,
        entries: dict[str, Address],
        platform: PlatformClient,
        seed: int,
    ) -> None:
        """Initialize a fabric.

        Args:
            entries: addresses of the entries by instance name.
            platform: client that reads the live list.
            seed: seed of the choice of entries.
        """
        self._entries = entries
        self._platform = platform
        self._rng = random.Random(seed)
        self._live: Sequence[Address] = list(entries.values())
        self._transport: asyncio.DatagramTransport | None = None

    async def run(self, address: Address) -> None:
        """Forward packets received at ``address`` until cancelled."""
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
