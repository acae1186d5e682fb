"""The instances of a trial's fleet, and how the live list shows them."""

from dataclasses import dataclass
from typing import Any

__all__ = ('EntryPorts', 'HostPorts', 'instance_lines')

_LOOPBACK = '127.0.0.1'


@dataclass(frozen=True, slots=True)
class HostPorts:
    """The ports of one host's sidecar and upstream."""

    service: str
    data_centre: str
    sidecar: int
    admin: int
    packets: int
    tcp: int
    http: int


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """The ports of one entry, and of each service on it."""

    data_centre: str
    address: str
    bind: int
    admin: int
    fou: int


def instance_lines(
    hosts: dict[str, HostPorts],
    entries: dict[str, EntryPorts],
) -> list[dict[str, Any]]:
    """Return the live list with all instances."""
    lines = [
        _line(name, 'entry', entry.data_centre, entry.bind)
        for name, entry in entries.items()
    ]
    lines.extend(
        _line(name, 'sidecar', host.data_centre, host.sidecar)
        for name, host in hosts.items()
    )
    return lines


def _line(name: str, role: str, data_centre: str, port: int) -> dict[str, Any]:
    return {
        'name': name,
        'role': role,
        'data_centre': data_centre,
        'address': _LOOPBACK,
        'port': port,
        'state': 'live',
    }
