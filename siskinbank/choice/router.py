"""Candidate hosts for flows and requests, computed from the fleet view."""

from dataclasses import dataclass

from siskinbank.choice.registry import Rank, choices
from siskinbank.config.site import Host, Service, Site
from siskinbank.directory.view import FleetView
from siskinbank.wire.packets import pack_address

__all__ = ('CANDIDATES', 'PoolRanks', 'Router')

#: Number of hosts that a first packet may be offered to.
CANDIDATES = 4
#: Number of hosts that are considered as the owner of a flow.
_KNOWN_CANDIDATES = 6
_METHOD = 'rendezvous'


@dataclass(frozen=True, slots=True)
class PoolRanks:
    """Rankings of one service's pool.

    ``fresh`` ranks the hosts that accept new work (``accepting``); ``known``
    ranks all that may still own flows, including the leaving ones (``hosts``).
    """

    fresh: Rank
    known: Rank
    hosts: tuple[Host, ...]
    accepting: tuple[Host, ...] = ()


class Router:
    """Ranks the hosts of each service by the current view.

    The rankings of a pool stay the same object until the pool changes.
    """

    def __init__(self, view: FleetView) -> None:
        """Create a router that follows the changes of ``view``."""
        self._view = view
        self._ranks: dict[int, PoolRanks] = {}
        self._allowed: frozenset[bytes] = frozenset()
        self._evacuated: frozenset[bytes] = frozenset()
        view.subscribe(self._refresh)

    def ranks(self, service: Service) -> PoolRanks:
        """Return the rankings of a service."""
        ranks = self._ranks.get(service.ident)
        if ranks is None:
            ranks = self._prepare(service, None)
            self._ranks[service.ident] = ranks
        return ranks

    def fresh(self, service: Service, flow: int) -> list[Host]:
        """Return the hosts to offer new work to, best first."""
        return self.ranks(service).fresh(flow)

    def known(self, service: Service, flow: int) -> list[Host]:
        """Return the hosts that may own a flow, most likely first."""
        return self.ranks(service).known(flow)

    def allows(self, address: bytes, generation: int = 0) -> bool:
        """Return whether packets may go to the sidecar at a packed address.

        Args:
            address: the sidecar's packed address.
            generation: the generation that the sidecar claims to serve; a
                sidecar that is not yet in the view is allowed if it is ahead.
        """
        if address in self._allowed:
            return True
        return (
            generation > self._view.generation
            and address not in self._evacuated
        )

    def _prepare(self, service: Service, old: PoolRanks | None) -> PoolRanks:
        site = self._view.site
        if site is None:
            return PoolRanks(_rank_no_hosts, _rank_no_hosts, ())
        leaving = self._view.leaving
        gone = self._view.gone
        present = tuple(
            host
            for host in service.hosts
            if not site.is_out(host) and host.name not in gone
        )
        accepting = tuple(
            host
            for host in present
            if site.accepts_work(host) and host.name not in leaving
        )
        if old and (old.hosts, old.accepting) == (present, accepting):
            return old
        prepare = choices.find(_METHOD).prepare
        return PoolRanks(
            prepare(accepting, CANDIDATES),
            prepare(present, _KNOWN_CANDIDATES),
            present,
            accepting,
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
        self._evacuated = _addresses(site, gone, out=True) - self._allowed


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


def _rank_no_hosts(_flow: int) -> list[Host]:
    return []
