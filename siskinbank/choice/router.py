"""The candidates for flows and requests, worked out from a fleet view."""

from dataclasses import dataclass

from siskinbank.choice.registry import Rank, choices
from siskinbank.config.site import Host, Service
from siskinbank.platform.view import FleetView
from siskinbank.wire.packets import pack_address

__all__ = ('CANDIDATES', 'PoolRanks', 'Router')

#: How many hosts a first packet may be offered to.
CANDIDATES = 4
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


class Router:
    """Ranks the hosts of each service, as the view has them now."""

    def __init__(self, view: FleetView) -> None:
        """Follow ``view``."""
        self._view = view
        self._ranks: dict[int, PoolRanks] = {}
        self._allowed: frozenset[bytes] = frozenset()
        view.subscribe(self._refresh)

    def ranks(self, service: Service) -> PoolRanks:
        """Return the rankings of a service."""
        known = self._ranks.get(service.ident)
        if known is None:
            known = self._prepare(service)
            self._ranks[service.ident] = known
        return known

    def fresh(self, service: Service, flow: int) -> list[Host]:
        """Return the hosts to offer new work to, best first."""
        return self.ranks(service).fresh(flow)

    def known(self, service: Service, flow: int) -> list[Host]:
        """Return the hosts that may own a flow, likeliest first."""
        return self.ranks(service).known(flow)

    def allows(self, address: bytes) -> bool:
        """Whether packets may go to the sidecar at a packed address."""
        return address in self._allowed

    def _prepare(self, service: Service) -> PoolRanks:
        site = self._view.site
        if site is None:
            return PoolRanks(_rank_none, _rank_none, ())
        leaving = self._view.leaving
        gone = self._view.gone
        present = [
            host
            for host in service.hosts
            if not site.is_out(host) and host.name not in gone
        ]
        fresh = [
            host
            for host in present
            if site.takes_work(host) and host.name not in leaving
        ]
        prepare = choices.find(_METHOD).prepare
        return PoolRanks(
            prepare(fresh, CANDIDATES),
            prepare(present, CANDIDATES),
            tuple(present),
        )

    def _refresh(self) -> None:
        self._ranks.clear()
        site = self._view.site
        if site is None:
            return
        self._allowed = frozenset(
            pack_address(host.address)
            for service in site.services.values()
            for host in service.hosts
            if not site.is_out(host)
        )


def _rank_none(_flow: int) -> list[Host]:
    return []
