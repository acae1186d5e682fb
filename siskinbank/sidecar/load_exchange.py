"""Exchange the loads of a pool's hosts between its sidecars."""

import random
from collections.abc import Iterator

from siskinbank.admission.balance import PoolLoads
from siskinbank.config.site import Host, Service
from siskinbank.kernel.reasons import Drop
from siskinbank.sidecar.context import SidecarContext
from siskinbank.wire.loads import PoolLoad

__all__ = ('LoadExchange',)

_INTERVAL_SECONDS = 0.5
#: Maximum deviation, as a fraction of the interval.
_JITTER = 0.2
#: Peers to which each sidecar reports in each round, at any pool size.
_PEERS_PER_ROUND = 3
#: Maximum number of hosts in one message, including the sender.
_MAX_RECORDS = 24
_AGE_UNITS_PER_SECOND = 10


class LoadExchange:
    """Spreads loads through the pool by gossip, at a fixed cost per sidecar.

    Each message carries the sender's own load and a sample of the loads that
    it received from other hosts, with their ages.
    """

    def __init__(self, context: SidecarContext, rng: random.Random) -> None:
        """Start the periodic exchange.

        Args:
            context: the sidecar's shared parts.
            rng: selects the peers and the sample of loads.
        """
        self._context = context
        self._rng = rng
        self.loads = PoolLoads(lambda: context.process.timers.now)
        context.view.subscribe(self._refresh)
        context.process.timers.every(
            _INTERVAL_SECONDS, self.send_reports, _JITTER
        )

    def send_reports(self) -> None:
        """Send one round of load reports."""
        service = self._context.service
        host = self._context.host
        if service is None or host is None or not self._context.accepts_work:
            return
        peers = self.loads.hosts
        message = self._report(service, host)
        for peer in self._rng.sample(peers, min(_PEERS_PER_ROUND, len(peers))):
            self._context.peers.send_message(message, peer.address)
        self.loads.refresh()

    def receive_report(self, received: PoolLoad) -> None:
        """Store the loads of a report; count and drop an invalid one."""
        service = self._context.service
        if service is None or received.service != service.ident:
            self._context.process.metrics.count(Drop.other_pool)
            return
        if not _is_valid(received):
            self._context.process.metrics.count(Drop.malformed)
            return
        for seed, load, room, age in _records(received):
            self.loads.note(seed, load, room, age / _AGE_UNITS_PER_SECOND)
        self.loads.refresh()

    def _report(self, service: Service, own_host: Host) -> PoolLoad:
        now = self._context.process.timers.now
        admission = self._context.admission
        assert admission is not None
        known = self.loads.fresh()
        if len(known) >= _MAX_RECORDS:
            known = self._rng.sample(known, _MAX_RECORDS - 1)
        room = admission.limits.connections.room
        return PoolLoad(
            service.ident,
            [own_host.seed, *(host.seed for host, _ in known)],
            [admission.load, *(load.load for _, load in known)],
            [room, *(load.room for _, load in known)],
            [0, *(_age_units(now - load.at) for _, load in known)],
        )

    def _refresh(self) -> None:
        site = self._context.view.site
        service = self._context.service
        if site is None or service is None:
            return
        leaving = self._context.view.leaving
        self.loads.update_hosts(
            host
            for host in service.hosts
            if site.accepts_work(host)
            and host.name not in leaving
            and host.name != self._context.process.name
        )


def _age_units(seconds: float) -> int:
    return round(seconds * _AGE_UNITS_PER_SECOND)


def _records(received: PoolLoad) -> Iterator[tuple[int, int, int, int]]:
    return zip(
        received.hosts,
        received.loads,
        received.free_connections,
        received.ages,
        strict=True,
    )


def _is_count(number: object) -> bool:
    return (
        isinstance(number, int) and not isinstance(number, bool) and number >= 0
    )


def _is_valid(received: PoolLoad) -> bool:
    columns = (
        received.hosts,
        received.loads,
        received.free_connections,
        received.ages,
    )
    if any(len(column) != len(received.hosts) for column in columns):
        return False
    return len(received.hosts) <= _MAX_RECORDS and all(
        _is_count(number) for column in columns for number in column
    )
