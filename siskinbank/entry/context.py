"""Objects shared by the ingress plug-ins of one entry."""

from dataclasses import dataclass

from siskinbank.choice.primary_hosts import PrimaryHosts
from siskinbank.choice.router import Router
from siskinbank.directory.view import FleetView
from siskinbank.entry.links import RequestLinks
from siskinbank.kernel.process import ProcessContext
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.settings import EntrySettings

__all__ = ('EntryContext',)


@dataclass(frozen=True, slots=True)
class EntryContext:
    """Settings and shared objects of one entry."""

    process: ProcessContext
    settings: EntrySettings
    view: FleetView
    router: Router
    peers: PeerSocket
    links: RequestLinks
    primary_hosts: PrimaryHosts
