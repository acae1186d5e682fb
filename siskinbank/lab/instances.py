"""The ports of a fleet's instances, and the live list of them."""

from dataclasses import dataclass
from typing import Any

__all__ = ('EntryPorts', 'HostPorts', 'live_list')

_LOOPBACK = '127.0.0.1'


@dataclass(frozen=True, slots=True)
class HostPorts:
    """The service, data centre and ports of one host.

    ``sidecar`` and ``admin`` are ports of its sidecar, the others are ports
    of its upstream.
    """

    service: str
    data_centre: str
    sidecar: int
    admin: int
    packets: int
    tcp: int
    http: int


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """The data centre, address and ports of one entry.

    Its services listen at ``address``; ``bind`` is its port for other siskinbank
    processes, ``fou`` its port for IP-in-UDP packets.
    """

    data_centre: str
    address: str
    bind: int
    admin: int
    fou: int


def live_list(
    hosts: dict[str, HostPorts],
    entries: dict[str, EntryPorts],
) -> list[dict[str, Any]]:
    """Return the live list of all instances."""
    listed = [
        _list_item(name, 'entry', entry.data_centre, entry.bind)
        for name, entry in entries.items()
    ]
    listed.extend(
        _list_item(name, 'sidecar', host.data_centre, host.sidecar)
        for name, host in hosts.items()
    )
    return listed


def _list_item(
    name: str, role: str, data_centre: str, port: int
) -> dict[str, Any]:
    return {
        'name': name,
        'role': role,
        'data_centre': data_centre,
        'address': _LOOPBACK,
        'port': port,
        'state': 'live',
    }
