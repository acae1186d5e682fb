"""Known loads of a pool's hosts, and the fair load of the own host."""

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from siskinbank.config.site import Host
from siskinbank.kernel.clock import Clock
from siskinbank.wire.packets import pack_address

__all__ = ('HostLoad', 'PoolLoads')

#: Factor above the mean load at which a host starts to forward first packets.
FAIR_FACTOR = 1.02
#: Age in seconds from which a load report is ignored.
MAX_REPORT_AGE_SECONDS = 20.0
#: Hosts drawn beyond those to ask, so that the most loaded ones drop out;
#: with 0 every host drawn is asked.
_EXTRA_DRAWN_HOSTS = 0


@dataclass(slots=True)
class HostLoad:
    """The load of one host at a point in time.

    ``load`` and ``room`` count connections, ``at`` is in seconds.
    """

    load: int
    room: int
    at: float


class PoolLoads:
    """The latest known load of each other host of the pool.

    After Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
    loads" (2018): a host accepts no more than a constant factor above the
    mean.
    """

    def __init__(self, clock: Clock) -> None:
        """Create the table without any hosts."""
        self._clock = clock
        self._hosts: dict[int, Host] = {}
        self._addresses: dict[bytes, Host] = {}
        self._packed: dict[int, bytes] = {}
        self._loads: dict[int, HostLoad] = {}
        self._others_load_and_weight: tuple[float, float] = (0, 0)
        self._rooms: dict[bytes, int] = {}

    @property
    def hosts(self) -> list[Host]:
        """The other hosts of the pool that accept new work."""
        return list(self._hosts.values())

    def update_hosts(self, hosts: Iterable[Host]) -> None:
        """Set the other hosts that accept new work."""
        self._hosts = {host.seed: host for host in hosts}
        self._packed = {
            seed: pack_address(host.address)
            for seed, host in self._hosts.items()
        }
        self._addresses = {
            self._packed[seed]: host for seed, host in self._hosts.items()
        }
        for seed in self._loads.keys() - self._hosts.keys():
            del self._loads[seed]
        self.refresh()

    def note(self, seed: int, load: int, room: int, age: float) -> None:
        """Record a report that was taken ``age`` seconds ago."""
        at = self._clock() - max(age, 0)
        known = self._loads.get(seed)
        if seed in self._hosts and (known is None or known.at < at):
            self._loads[seed] = HostLoad(load, room, at)

    def fresh(self) -> list[tuple[Host, HostLoad]]:
        """Return the hosts with a recent load report, and their loads."""
        oldest = self._clock() - MAX_REPORT_AGE_SECONDS
        return [
            (self._hosts[seed], known)
            for seed, known in self._loads.items()
            if known.at >= oldest
        ]

    def refresh(self) -> None:
        """Update the totals of the hosts that have room."""
        oldest = self._clock() - MAX_REPORT_AGE_SECONDS
        total_load: float = 0
        total_weight: float = 0
        rooms = {}
        for seed, known in self._loads.items():
            if known.at < oldest:
                continue
            rooms[self._packed[seed]] = known.room
            if known.room:
                total_load += known.load
                total_weight += self._hosts[seed].weight
        self._others_load_and_weight = (total_load, total_weight)
        self._rooms = rooms

    def fair_load(self, own_load: int, own_weight: float) -> float:
        """Return the connections up to which this host accepts first packets.

        Infinite while no load is known: then only the host's own limit
        applies.
        """
        load, weight = self._others_load_and_weight
        if not weight:
            return math.inf
        mean = (load + own_load) / (weight + own_weight) * own_weight
        return max(math.ceil(mean * FAIR_FACTOR), math.floor(mean) + 1)

    def sort(self, addresses: Sequence[bytes]) -> list[bytes]:
        """Return packed addresses, the least loaded host first.

        A host of unknown load is ranked by the mean load. Full hosts come
        last.
        """
        keys = {address: self._key(address) for address in addresses}
        return sorted(addresses, key=keys.__getitem__)

    def filter_accepting(self, addresses: Sequence[bytes]) -> list[bytes]:
        """Return the addresses of other hosts that accept new work."""
        return [address for address in addresses if address in self._addresses]

    def with_room(self, rng: random.Random, count: int) -> list[bytes]:
        """Return hosts drawn from those not known to be full, sorted by load.

        Reports are a little old: if every sidecar chose the least loaded host,
        they would overload it until the next report (Mitzenmacher, "How useful
        is old information?", 2000).
        """
        rooms = self._rooms
        left = [address for address in self._addresses if rooms.get(address, 1)]
        drawn = rng.sample(left, min(count + _EXTRA_DRAWN_HOSTS, len(left)))
        return self.sort(drawn)[:count]

    def most_room(self, asked: Sequence[bytes]) -> bytes | None:
        """Return the host with the most known room that was not asked."""
        left = [
            address
            for address, room in self._rooms.items()
            if room and address not in asked
        ]
        return max(left, key=self._rooms.__getitem__, default=None)

    def count_forwarded(self, address: bytes) -> None:
        """Count a first packet that was forwarded to a host."""
        host = self._addresses.get(address)
        known = self._loads.get(host.seed) if host else None
        if known is not None:
            known.load += 1

    def _key(self, address: bytes) -> tuple[bool, float]:
        host = self._addresses.get(address)
        known = self._loads.get(host.seed) if host else None
        oldest = self._clock() - MAX_REPORT_AGE_SECONDS
        if host is None or known is None or known.at < oldest:
            load, weight = self._others_load_and_weight
            return False, load / weight if weight else 0
        return not known.room, known.load / host.weight
