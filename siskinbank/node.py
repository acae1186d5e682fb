"""The components that entries and sidecars have in common."""

import random
import time
from dataclasses import dataclass

from siskinbank.config.site import Site
from siskinbank.directory.client import PlatformClient
from siskinbank.directory.follower import PlatformFollower
from siskinbank.directory.store import DocumentStore
from siskinbank.directory.view import FleetView
from siskinbank.kernel.process import ProcessContext
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.peers.gossip import Gossip, Identity
from siskinbank.peers.refusals import RefusalLog
from siskinbank.settings import ProcessSettings
from siskinbank.status import start_admin
from siskinbank.wire.keyfile import follow_keys

__all__ = ('Node', 'start_node')


@dataclass(frozen=True, slots=True)
class Node:
    """The components of a process that takes part in the fleet."""

    process: ProcessContext
    settings: ProcessSettings
    view: FleetView
    peers: PeerSocket
    gossip: Gossip


async def start_node(
    process: ProcessContext,
    settings: ProcessSettings,
) -> Node:
    """Start the view, the peer socket and the admin endpoint.

    Raises:
        OSError: an address could not be bound.
    """
    view = FleetView(process.log, lambda: process.timers.now)
    peers = PeerSocket(settings.keys, process.metrics)
    refusals = RefusalLog(process)
    peers.on_unkeyed = lambda: refusals.write('datagram', 'no valid key')
    await peers.open(settings.bind)
    follow_keys(process, settings.keys)
    gossip = _make_gossip(process, settings, view, peers)
    node = Node(process, settings, view, peers, gossip)
    client = PlatformClient(settings.platform)
    follower = PlatformFollower(client, gossip, process.log, process.metrics)
    gossip.start()
    process.start_task(follower.run())
    process.start_task(_declare_leaving(process, gossip))
    process.on_close(client.close)
    await start_admin(node)
    return node


def _make_gossip(
    process: ProcessContext,
    settings: ProcessSettings,
    view: FleetView,
    peers: PeerSocket,
) -> Gossip:
    identity = Identity(
        process.name,
        process.role,
        settings.data_centre,
        settings.bind,
        int(time.time()),
    )
    gossip = Gossip(
        identity,
        DocumentStore(process.log, process.metrics),
        process.timers,
        peers.send_message,
        process.log,
        process.metrics,
        random.Random(),
    )

    def adopt(site: Site) -> None:
        hosts = [
            host.address
            for service in site.services.values()
            for host in service.hosts
        ]
        gossip.seeds = (*settings.peers, *hosts)
        view.adopt(site)

    def update_view() -> None:
        view.update_membership(gossip.leaving, gossip.gone)

    gossip.seeds = settings.peers
    gossip.on_adopt = adopt
    gossip.on_membership_change = update_view
    gossip.subscribe_to(peers.subscribe)
    view.set_freshness_source(
        lambda: gossip.fresh,
        lambda: gossip.freshness.age,
    )
    return gossip


async def _declare_leaving(process: ProcessContext, gossip: Gossip) -> None:
    await process.stopping.wait()
    gossip.declare_leaving()
