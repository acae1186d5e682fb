"""Decoding of the settings file that the platform gives to each process."""

from __future__ import annotations

from siskinbank.platform.documents import (
    DocumentError,
    decode,
    number_field,
    port_number,
    split_address,
    text_field,
)

__all__ = (
    'DEFAULT_FLOW_LIFETIME_S',
    'READY_PATH',
    'SETTINGS_VARIABLE',
    'Settings',
    'read_settings',
)

# HTTP path of the readiness check of the platform.
READY_PATH = '/api/ready'

SETTINGS_VARIABLE = 'SISKINBANK_SETTINGS'
# Lifetime of a flow, in seconds, where the settings do not state it.
DEFAULT_FLOW_LIFETIME_S = 60.0
_KILO = 1000


class Settings:
    """Settings of one process.

    Attributes:
        instance: the name of this instance.
        ip: IP address of this instance.
        data_centre: data centre of this instance.
        packet_port: UDP port for packets; clients use the same port number.
        peer_port: UDP port for messages between siskinbank processes.
        ready_address: address on which readiness checks are answered.
        outbound_address: address to which a sidecar's host sends its
            packets, or None at an entry.
        host_address: address on which that host receives packets, or None at
            an entry.
        service: service of that host, or None at an entry.
        seeds: IP addresses of entries that are contacted first.
        store: address of the platform's store.
        link_kbps: rate of the machine's link in kbit/s, 0 if unknown.
        cores: processor time a second in cores, 0 if unknown.
        flow_lifetime_s: age in seconds at which any flow may be discarded.
    """

    __slots__ = (
        'cores',
        'data_centre',
        'flow_lifetime_s',
        'host_address',
        'instance',
        'ip',
        'link_kbps',
        'outbound_address',
        'packet_port',
        'peer_port',
        'ready_address',
        'seeds',
        'service',
        'store',
    )

    def __init__(self, document: dict[str, object]) -> None:
        """Initialize the settings from the decoded file.

        Raises:
            DocumentError: a required field is missing or malformed.
        """
        listen = _object_field(document, 'Listen')
        self.instance = text_field(document, 'NodeName')
        self.ip = text_field(document, 'Ip')
        self.data_centre = text_field(document, 'Zone')
        # The platform has one field for the packet address of entries and
        # sidecars; clients use the same port, but not the same address.
        self.packet_port = split_address(text_field(listen, 'DatagramAddr'))[1]
        self.ready_address = split_address(text_field(listen, 'ReadyAddr'))
        self.peer_port = _first_port(document)
        self.outbound_address = _optional_address_field(listen, 'outbound')
        # `app` is the address of the host of this sidecar.
        self.host_address = _optional_address_field(document, 'app')
        service = document.get('Service')
        self.service = service if isinstance(service, str) else None
        self.seeds = _seeds(document)
        # `platform` holds only the address of the store.
        store = _object_field(document, 'platform')
        self.store = split_address(text_field(store, 'Address'))
        limits = _optional_object(document, 'Limits')
        self.link_kbps = int(_optional_number(limits, 'LinkMbps') * _KILO)
        # `CpuShare` is a share of a processor that is `Cores` times as fast.
        self.cores = _optional_number(limits, 'CpuShare') * _optional_number(
            limits, 'Cores'
        )
        bounds = _optional_object(document, 'Bounds')
        self.flow_lifetime_s = (
            _optional_number(bounds, 'FlowLifetimeS') or DEFAULT_FLOW_LIFETIME_S
        )


def read_settings(path: str) -> Settings:
    """Read and decode the settings file.

    Raises:
        OSError: the file cannot be read.
        DocumentError: a required field is missing or malformed.
    """
    with open(path, 'rb') as stream:
        return Settings(decode(stream.read()))


def _object_field(document: dict[str, object], name: str) -> dict[str, object]:
    value = document.get(name)
    if not isinstance(value, dict):
        raise DocumentError(f'{name} is not an object')
    return value


def _optional_object(
    document: dict[str, object], name: str
) -> dict[str, object]:
    """Return an object that a process can run without, empty without it."""
    value = document.get(name)
    return value if isinstance(value, dict) else {}


def _optional_address_field(
    document: dict[str, object],
    name: str,
) -> tuple[str, int] | None:
    value = document.get(name)
    return split_address(value) if isinstance(value, str) else None


def _optional_number(document: dict[str, object], name: str) -> float:
    """Return a number that a process can run without, 0 if it is invalid."""
    try:
        return number_field(document, name, 0)
    except DocumentError:
        return 0


def _first_port(document: dict[str, object]) -> int:
    ports = document.get('InternalPortRange')
    if not isinstance(ports, list) or not ports:
        raise DocumentError('InternalPortRange is not a list of ports')
    return port_number(ports[0])


def _seeds(document: dict[str, object]) -> tuple[str, ...]:
    # Seeds are the control addresses of other processes. Peers are on the same
    # machines but listen on the peer port, so only the IP addresses are used.
    value = document.get('Seeds')
    if not isinstance(value, list):
        return ()
    return tuple(
        split_address(seed)[0] for seed in value if isinstance(seed, str)
    )
