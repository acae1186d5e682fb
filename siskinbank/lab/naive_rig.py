"""Naive proxies with the same upstreams and kinds of faults as siskinbank."""

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
_ATTEMPT_TIMEOUT_SECONDS = 0.3
_FAULT_INTERVAL_SECONDS = 0.35
_MAX_PAUSE_SECONDS = 1.2
_DOWNTIME_SECONDS = 0.2


@dataclass(slots=True)
class NaiveRig:
    """Proxies and upstreams, with links between them that forward byte streams.

    Attributes:
        rng: source of randomness for proxies, links, upstreams and faults.
        slots: requests that each upstream runs at the same time.
        timeout: time limit of each attempt of a proxy in seconds.
        proxies: the proxies.
        links: the link to each upstream.
        upstreams: the upstreams.
        proxy_addresses: address of each proxy.
        upstream_addresses: address of each upstream.
    """

    rng: random.Random
    slots: int
    timeout: float = _ATTEMPT_TIMEOUT_SECONDS
    proxies: list[NaiveProxy] = field(default_factory=list)
    links: list[FaultyLink] = field(default_factory=list)
    upstreams: list[RequestUpstream] = field(default_factory=list)
    proxy_addresses: list[Address] = field(default_factory=list)
    upstream_addresses: list[Address] = field(default_factory=list)

    async def start(self, proxies: int, hosts: int, faults: LinkFaults) -> None:
        """Start all proxies, links and upstreams.

        Args:
            proxies: number of proxies.
            hosts: number of upstreams, each behind a link.
            faults: faults of all links.

        Raises:
            OSError: an address could not be bound.
        """
        ports = iter(free_ports(proxies + 2 * hosts))
        link_addresses = []
        for number in range(hosts):
            link_address, upstream_address = (
                (_LOOPBACK, next(ports)) for _ in range(2)
            )
            link_addresses.append(link_address)
            name = f'matcher-{number + 1}'
            upstream = RequestUpstream(name, self.slots, self.rng)
            await upstream.start(upstream_address)
            link = FaultyLink(upstream_address, faults, self.rng, frames=False)
            await link.start(link_address)
            self.upstreams.append(upstream)
            self.upstream_addresses.append(upstream_address)
            self.links.append(link)
        for _ in range(proxies):
            proxy = NaiveProxy(link_addresses, self.timeout, self.rng)
            self.proxy_addresses.append((_LOOPBACK, next(ports)))
            await proxy.start(self.proxy_addresses[-1])
            self.proxies.append(proxy)

    async def stop(self) -> None:
        """Stop all proxies, links and upstreams."""
        for proxy in self.proxies:
            await proxy.stop()
        for link in self.links:
            await link.close()
        for upstream in self.upstreams:
            await upstream.stop()

    def urls(self) -> list[str]:
        """Return the base URLs of the proxies."""
        return [
            'http://{0}:{1}'.format(*address)
            for address in self.proxy_addresses
        ]

    async def inject_faults(self) -> None:
        """Pause links, cut links and restart upstreams until cancelled."""
        while True:
            await asyncio.sleep(_FAULT_INTERVAL_SECONDS)
            number = self.rng.randrange(len(self.links))
            link = self.links[number]
            fault = self.rng.randrange(3)
            if fault == 0:
                link.pause()
                pause_seconds = self.rng.uniform(0, _MAX_PAUSE_SECONDS)
                await asyncio.sleep(pause_seconds)
                link.resume()
            elif fault == 1:
                link.cut()
            else:
                await self.upstreams[number].stop()
                await asyncio.sleep(_DOWNTIME_SECONDS)
                address = self.upstream_addresses[number]
                await self.upstreams[number].start(address)
