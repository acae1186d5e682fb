"""Naive proxies before the same upstreams, with the same kinds of faults."""

import asyncio
import random
from dataclasses import dataclass, field

from siskinbank.config.site import Address
from siskinbank.lab.faulty_link import FaultyLink, LinkFaults
from siskinbank.lab.naive_proxy import NaiveProxy
from siskinbank.lab.ports import free_ports
from siskinbank.lab.request_upstream import RequestUpstream

__all__ = ('NaiveRig',)

_LOOPBACK = '127.0.0.1'
_TIMEOUT_SECONDS = 0.3
_PACE_SECONDS = 0.35
_LONGEST_PAUSE_SECONDS = 1.2
_DOWN_SECONDS = 0.2


@dataclass(slots=True)
class NaiveRig:
    """Proxies, links without frames, and upstreams."""

    rng: random.Random
    slots: int
    timeout: float = _TIMEOUT_SECONDS
    proxies: list[NaiveProxy] = field(default_factory=list)
    links: list[FaultyLink] = field(default_factory=list)
    upstreams: list[RequestUpstream] = field(default_factory=list)
    addresses: list[Address] = field(default_factory=list)
    upstream_addresses: list[Address] = field(default_factory=list)

    async def start(self, proxies: int, hosts: int, faults: LinkFaults) -> None:
        """Start all parts.

        Raises:
            OSError: an address could not be bound.
        """
        ports = iter(free_ports(proxies + 2 * hosts))
        links = []
        for number in range(hosts):
            address, inner = ((_LOOPBACK, next(ports)) for _ in range(2))
            links.append(address)
            name = f'matcher-{number + 1}'
            upstream = RequestUpstream(name, self.slots, self.rng)
            await upstream.start(inner)
            link = FaultyLink(inner, faults, self.rng, frames=False)
            await link.start(address)
            self.upstreams.append(upstream)
            self.upstream_addresses.append(inner)
            self.links.append(link)
        for _ in range(proxies):
            proxy = NaiveProxy(links, self.timeout, self.rng)
            self.addresses.append((_LOOPBACK, next(ports)))
            await proxy.start(self.addresses[-1])
            self.proxies.append(proxy)

    async def stop(self) -> None:
        """Stop all parts."""
        for proxy in self.proxies:
            await proxy.stop()
        for link in self.links:
            await link.close()
        for upstream in self.upstreams:
            await upstream.stop()

    def urls(self) -> list[str]:
        """Return the base URLs of the proxies."""
        return ['http://{0}:{1}'.format(*address) for address in self.addresses]

    async def disturb(self) -> None:
        """Pause links, cut them, and restart upstreams until cancelled."""
        while True:
            await asyncio.sleep(_PACE_SECONDS)
            number = self.rng.randrange(len(self.links))
            link = self.links[number]
            draw = self.rng.randrange(3)
            if draw == 0:
                link.pause()
                pause = self.rng.uniform(0, _LONGEST_PAUSE_SECONDS)
                await asyncio.sleep(pause)
                link.resume()
            elif draw == 1:
                link.cut()
            else:
                await self.upstreams[number].stop()
                await asyncio.sleep(_DOWN_SECONDS)
                address = self.upstream_addresses[number]
                await self.upstreams[number].start(address)
