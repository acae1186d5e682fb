"""The primary host of each key: the only host that may run it.

Entries and sidecars must agree on it, so it depends only on the configuration
and the list of leaving instances, never on load.
"""

from collections.abc import Sequence

from siskinbank.choice.registry import Rank, choices
from siskinbank.config.site import Host, Service
from siskinbank.directory.view import FleetView

__all__ = ('PrimaryHosts', 'primary_candidates', 'primary_rank')

_METHOD = 'rendezvous'


def primary_candidates(view: FleetView, service: Service) -> tuple[Host, ...]:
    """Return the hosts that can be the primary host of a key."""
    site = view.site
    if site is None:
        return ()
    leaving = view.leaving
    return tuple(
        host
        for host in service.hosts
        if site.accepts_work(host) and host.name not in leaving
    )


def primary_rank(hosts: Sequence[Host]) -> Rank:
    """Return the ranking whose first host is a key's primary host."""
    return choices.find(_METHOD).prepare(hosts, 1)


class PrimaryHosts:
    """Primary hosts of the keys of all services, by the current view."""

    def __init__(self, view: FleetView) -> None:
        """Create an empty cache, cleared with each change of ``view``."""
        self._view = view
        self._ranks: dict[int, Rank] = {}
        view.subscribe(self._ranks.clear)

    def find(self, service: Service, digest: int) -> Host | None:
        """Return the primary host of the key with this 64-bit digest."""
        rank = self._ranks.get(service.ident)
        if rank is None:
            rank = primary_rank(primary_candidates(self._view, service))
            self._ranks[service.ident] = rank
        ranked = rank(digest)
        return ranked[0] if ranked else None
