"""Seeded fault injection for the request rig."""

import asyncio
import random
from collections import Counter

from siskinbank.lab.request_rig import RequestRig, RigHost

__all__ = ('RequestFaultInjector',)

_FAULT_INTERVAL_SECONDS = 0.35
_MAX_PAUSE_SECONDS = 1.2
#: Downtime of a restarted process, and the longest time between two processes
#: that apply an uneven pool change.
_DOWNTIME_SECONDS = 0.2
#: States to draw from; ``active`` is drawn twice as often as each other state.
_HOST_STATES = ('active', 'active', 'draining', 'absent')
#: A host whose change would leave fewer active hosts stays active.
_MIN_ACTIVE_HOSTS = 3


class RequestFaultInjector:
    """Injects random faults into a request rig, one at a time.

    Attributes:
        fault_counts: number of injected faults by name.
    """

    def __init__(self, rig: RequestRig, rng: random.Random) -> None:
        """Create an injector.

        Args:
            rig: the rig, already started.
            rng: draws the faults, hosts, host states and durations.
        """
        self._rig = rig
        self._rng = rng
        self.fault_counts: Counter[str] = Counter()

    async def run(self) -> None:
        """Inject faults until cancelled."""
        faults = {
            'pause': self._pause_link,
            'cut': self._cut_link,
            'sidecar restart': self._restart_sidecar,
            'upstream restart': self._restart_upstream,
            'pool change': self._change_pool,
            'uneven pool change': self._change_pool_unevenly,
        }
        while True:
            await asyncio.sleep(_FAULT_INTERVAL_SECONDS)
            name = self._rng.choice(list(faults))
            self.fault_counts[name] += 1
            await faults[name](self._random_host())

    async def restore(self) -> None:
        """Resume all links, start stopped processes and activate all hosts.

        All upstreams are restarted, as a cancelled fault may have stopped one.
        """
        for host in self._rig.hosts.values():
            host.link.resume()
            host.state = 'active'
            if host.process is None:
                await self._rig.start_sidecar(host.name)
            await host.upstream.stop()
            await host.upstream.start(host.upstream_address)
        self._rig.publish()

    def _random_host(self) -> RigHost:
        return self._rng.choice(list(self._rig.hosts.values()))

    async def _pause_link(self, host: RigHost) -> None:
        host.link.pause()
        await asyncio.sleep(self._rng.uniform(0, _MAX_PAUSE_SECONDS))
        host.link.resume()

    async def _cut_link(self, host: RigHost) -> None:
        host.link.cut()

    async def _restart_sidecar(self, host: RigHost) -> None:
        await self._rig.kill_sidecar(host.name)
        await asyncio.sleep(_DOWNTIME_SECONDS)
        await self._rig.start_sidecar(host.name)

    async def _restart_upstream(self, host: RigHost) -> None:
        await host.upstream.stop()
        await asyncio.sleep(_DOWNTIME_SECONDS)
        await host.upstream.start(host.upstream_address)

    async def _change_pool(self, host: RigHost) -> None:
        self._change_state(host)
        self._rig.publish()

    async def _change_pool_unevenly(self, host: RigHost) -> None:
        """Apply a change at one process after another, in random order."""
        self._change_state(host)
        self._rig.generation += 1
        site = self._rig.site()
        views = self._rig.views()
        self._rng.shuffle(views)
        for view in views:
            view.adopt(site)
            await asyncio.sleep(self._rng.uniform(0, _DOWNTIME_SECONDS))

    def _change_state(self, host: RigHost) -> None:
        host.state = self._rng.choice(_HOST_STATES)
        active = [
            other
            for other in self._rig.hosts.values()
            if other.state == 'active'
        ]
        if len(active) < _MIN_ACTIVE_HOSTS:
            host.state = 'active'
