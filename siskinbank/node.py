"""The parts that entries and sidecars have in common."""

from dataclasses import dataclass

from siskinbank.kernel.process import ProcessContext
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.peers.refusals import RefusalLog
from siskinbank.platform.client import PlatformClient
from siskinbank.platform.follower import Follower
from siskinbank.platform.view import FleetView
from siskinbank.settings import ProcessSettings
from siskinbank.status import start_admin
from siskinbank.wire.keyfile import follow_keys

__all__ = ('Node', 'start_node')


@dataclass(frozen=True, slots=True)
class Node:
    """A process with a view of the fleet and a socket to its peers."""

    process: ProcessContext
    settings: ProcessSettings
    view: FleetView
    peers: PeerSocket


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
    node = Node(process, settings, view, peers)
    client = PlatformClient(settings.platform)
    follower = Follower(client, view, process.log)
    process.start_task(follower.run())
    process.on_close(client.close)
    await start_admin(node)
    return node
