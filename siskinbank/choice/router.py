"""The candidates for flows and requests, worked out from a fleet view."""

from dataclasses import dataclass

from siskinbank.choice.registry import Rank, choices
from siskinbank.config.site import Host, Service, Site
from siskinbank.directory.view import FleetView
from siskinbank.wire.packets import pack_address

__all__ = ('CANDIDATES', 'PoolRanks', 'Router')

#: How many hosts a first packet may be offered to.
CANDIDATES = 4
#: How many hosts are looked at for the owner of a flow.
_KNOWN_CANDIDATES = 6
_METHOD = 'rendezvous'


@dataclass(frozen=True, slots=True)
class PoolRanks:
    """The rankings of one service's pool.

    ``fresh`` ranks the hosts that take new work; ``known`` ranks all that may
    still own flows, the leaving ones included.
    """

    fresh: Rank
    known: Rank
    hosts: tuple[Host, ...]
    takers: tuple[Host, ...] = ()


class Router:
    """Ranks the hosts of each service, as the view has them now.

    The rankings of a pool stay the same object until the pool changes.
    """

    def __init__(self, view: FleetView) -> None:
        """Follow ``view``."""
        self._view = view
        self._ranks: dict[int, PoolRanks] = {}
        self._allowed: frozenset[bytes] = frozenset()
        self._out: frozenset[bytes] = frozenset()
        view.subscribe(self._refresh)

    def ranks(self, service: Service) -> PoolRanks:
        """Return the rankings of a service."""
        known = self._ranks.get(service.ident)
        if known is None:
            known = self._prepare(service, None)
            self._ranks[service.ident] = known
        return known

    def fresh(self, service: Service, flow: int) -> list[Host]:
        """Return the hosts to offer new work to, best first."""
        return self.ranks(service).fresh(flow)

    def known(self, service: Service, flow: int) -> list[Host]:
        """Return the hosts that may own a flow, likeliest first."""
        return self.ranks(service).known(flow)

    def allows(self, address: bytes, generation: int = 0) -> bool:
        """Whether packets may go to the sidecar at a packed address.

        Args:
            address: the sidecar's packed address.
            generation: the generation in which the sidecar says it serves; a
                sidecar that is not yet in the view is believed if it is ahead.
        """
        if address in self._allowed:
            return True
        return generation > self._view.generation and address not in self._out

    def _prepare(self, service: Service, old: PoolRanks | None) -> PoolRanks:
        site = self._view.site
        if site is None:
            return PoolRanks(_rank_none, _rank_none, ())
        leaving = self._view.leaving
        gone = self._view.gone
        present = tuple(
            host
            for host in service.hosts
            if not site.is_out(host) and host.name not in gone
        )
        takers = tuple(
            host
            for host in present
            if site.takes_work(host) and host.name not in leaving
        )
        if old and (old.hosts, old.takers) == (present, takers):
            return old
        prepare = choices.find(_METHOD).prepare
        return PoolRanks(
            prepare(takers, CANDIDATES),
            prepare(present, _KNOWN_CANDIDATES),
            present,
            takers,
        )

    def _refresh(self) -> None:
        site = self._view.site
        if site is None:
            return
        old = self._ranks
        self._ranks = {
            service.ident: self._prepare(service, old.get(service.ident))
            for service in site.services.values()
            if service.ident in old
        }
        gone = self._view.gone
        self._allowed = _addresses(site, gone, out=False)
        self._out = _addresses(site, gone, out=True) - self._allowed


def _addresses(
    site: Site,
    gone: frozenset[str],
    *,
    out: bool,
) -> frozenset[bytes]:
    """Return the addresses of hosts that are out or gone, or of all others."""
    return frozenset(
        pack_address(host.address)
        for service in site.services.values()
        for host in service.hosts
        if (site.is_out(host) or host.name in gone) is out
    )


def _rank_none(_flow: int) -> list[Host]:
    return []
