"""Faults that befall the request rig, drawn from a seed."""

import asyncio
import random
from collections import Counter

from siskinbank.lab.request_rig import RequestRig, RigHost

__all__ = ('Disturber',)

_PACE_SECONDS = 0.35
_LONGEST_PAUSE_SECONDS = 1.2
_DOWN_SECONDS = 0.2
_STATES = ('active', 'active', 'draining', 'absent')
_LEAST_ACTIVE = 3


class Disturber:
    """Pauses, restarts and changes one thing after the other."""

    def __init__(self, rig: RequestRig, rng: random.Random) -> None:
        """Disturb a started rig."""
        self._rig = rig
        self._rng = rng
        self.done: Counter[str] = Counter()

    async def run(self) -> None:
        """Cause faults until cancelled."""
        faults = {
            'pause': self._pause,
            'cut': self._cut,
            'sidecar restart': self._restart_sidecar,
            'upstream restart': self._restart_upstream,
            'pool change': self._change_pool,
            'uneven pool change': self._change_pool_unevenly,
        }
        while True:
            await asyncio.sleep(_PACE_SECONDS)
            name = self._rng.choice(list(faults))
            self.done[name] += 1
            await faults[name](self._pick())

    async def mend(self) -> None:
        """Bring everything back."""
        for host in self._rig.hosts.values():
            host.link.resume()
            host.state = 'active'
            if host.process is None:
                await self._rig.start_sidecar(host.name)
            await host.upstream.stop()
            await host.upstream.start(host.upstream_address)
        self._rig.publish()

    def _pick(self) -> RigHost:
        return self._rng.choice(list(self._rig.hosts.values()))

    async def _pause(self, host: RigHost) -> None:
        host.link.pause()
        await asyncio.sleep(self._rng.uniform(0, _LONGEST_PAUSE_SECONDS))
        host.link.resume()

    async def _cut(self, host: RigHost) -> None:
        host.link.cut()

    async def _restart_sidecar(self, host: RigHost) -> None:
        await self._rig.kill_sidecar(host.name)
        await asyncio.sleep(_DOWN_SECONDS)
        await self._rig.start_sidecar(host.name)

    async def _restart_upstream(self, host: RigHost) -> None:
        await host.upstream.stop()
        await asyncio.sleep(_DOWN_SECONDS)
        await host.upstream.start(host.upstream_address)

    async def _change_pool(self, host: RigHost) -> None:
        self._change(host)
        self._rig.publish()

    async def _change_pool_unevenly(self, host: RigHost) -> None:
        """Put a change in force at one process after the other."""
        self._change(host)
        self._rig.generation += 1
        site = self._rig.site()
        views = self._rig.views()
        self._rng.shuffle(views)
        for view in views:
            view.adopt(site)
            await asyncio.sleep(self._rng.uniform(0, _DOWN_SECONDS))

    def _change(self, host: RigHost) -> None:
        host.state = self._rng.choice(_STATES)
        active = [
            other
            for other in self._rig.hosts.values()
            if other.state == 'active'
        ]
        if len(active) < _LEAST_ACTIVE:
            host.state = 'active'
