"""The home of each key: the one host that may run it.

Entries and sidecars must agree on it, so it depends on nothing but the
configuration and the list of leaving instances, never on load.
"""

from collections.abc import Sequence

from siskinbank.choice.registry import Rank, choices
from siskinbank.config.site import Host, Service
from siskinbank.directory.view import FleetView

__all__ = ('KeyHomes', 'home_hosts', 'home_rank')

_METHOD = 'rendezvous'


def home_hosts(view: FleetView, service: Service) -> tuple[Host, ...]:
    """Return the hosts that can be the home of a key."""
    site = view.site
    if site is None:
        return ()
    leaving = view.leaving
    return tuple(
        host
        for host in service.hosts
        if site.takes_work(host) and host.name not in leaving
    )


def home_rank(hosts: Sequence[Host]) -> Rank:
    """Return the ranking whose first host is a key's home."""
    return choices.find(_METHOD).prepare(hosts, 1)


class KeyHomes:
    """The homes of the keys of all services, as the view has them now."""

    def __init__(self, view: FleetView) -> None:
        """Follow ``view``."""
        self._view = view
        self._ranks: dict[int, Rank] = {}
        view.subscribe(self._ranks.clear)

    def find(self, service: Service, digest: int) -> Host | None:
        """Return the home of the key with this 64-bit digest."""
        rank = self._ranks.get(service.ident)
        if rank is None:
            rank = home_rank(home_hosts(self._view, service))
            self._ranks[service.ident] = rank
        ranked = rank(digest)
        return ranked[0] if ranked else None
