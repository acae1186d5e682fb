"""The settings file that the platform hands to each process."""

from __future__ import annotations

from siskinbank.platform.documents import Unreadable, decode, text_in

__all__ = ('READY_PATH', 'SETTINGS_VARIABLE', 'Settings', 'read_settings')

# Where the platform asks whether a process takes work.
READY_PATH = '/api/ready'

SETTINGS_VARIABLE = 'SISKINBANK_SETTINGS'


class Settings:
    """What a process is told about itself and its surroundings.

    Attributes:
        instance: the name of this instance.
        ip: its address.
        data_centre: where it stands.
        packet_port: UDP port for packets; clients listen on the same number.
        peer_port: UDP port for messages between the system's own processes.
        ready_address: where the platform asks whether this process is ready.
        host_output: where the host beside a sidecar sends its packets, or
            None at an entry.
        host_address: where that host takes packets, or None at an entry.
        service: the service that this host belongs to, or None at an entry.
        seeds: addresses of entries that may know the others.
        store: address of the platform's store.
        heartbeat_s: how often hosts write their entries.
    """

    __slots__ = (
        'data_centre',
        'heartbeat_s',
        'host_address',
        'host_output',
        'instance',
        'ip',
        'packet_port',
        'peer_port',
        'ready_address',
        'seeds',
        'service',
        'store',
    )

    def __init__(self, document: dict[str, object]) -> None:
        """Decode the file.

        Raises:
            Unreadable: a field that the process needs is missing or wrong.
        """
        listen = _table(document, 'Listen')
        self.instance = text_in(document, 'NodeName')
        self.ip = text_in(document, 'Ip')
        self.data_centre = text_in(document, 'Zone')
        # The platform's one name holds an address for entries and sidecars;
        # only the port is the same for clients too.
        self.packet_port = _address(text_in(listen, 'DatagramAddr'))[1]
        self.ready_address = _address(text_in(listen, 'ReadyAddr'))
        self.peer_port = _first_port(document)
        self.host_output = _optional_address(listen, 'outbound')
        # `app` is the host beside this sidecar, not an application.
        self.host_address = _optional_address(document, 'app')
        service = document.get('Service')
        self.service = service if isinstance(service, str) else None
        self.seeds = _seeds(document)
        # `platform` holds the store alone.
        store = _table(document, 'platform')
        self.store = _address(text_in(store, 'Address'))
        beat = document.get('HeartbeatMs')
        self.heartbeat_s = beat / 1000 if isinstance(beat, int) else 1.0


def read_settings(path: str) -> Settings:
    """Read the settings file.

    Raises:
        OSError: the file cannot be read.
        Unreadable: it does not hold what a process needs.
    """
    with open(path, 'rb') as stream:
        return Settings(decode(stream.read()))


def _table(document: dict[str, object], name: str) -> dict[str, object]:
    found = document.get(name)
    if not isinstance(found, dict):
        raise Unreadable(f'{name} is no table')
    return found


def _address(text: str) -> tuple[str, int]:
    ip, _, port = text.rpartition(':')
    if not ip or not port.isdigit():
        raise Unreadable(f'{text!r} is no address')
    return ip, int(port)


def _optional_address(
    document: dict[str, object],
    name: str,
) -> tuple[str, int] | None:
    found = document.get(name)
    return _address(found) if isinstance(found, str) else None


def _first_port(document: dict[str, object]) -> int:
    ports = document.get('InternalPortRange')
    if not isinstance(ports, list) or not isinstance(ports[0], int):
        raise Unreadable('InternalPortRange is no range')
    return ports[0]


def _seeds(document: dict[str, object]) -> tuple[str, ...]:
    # Seeds are control addresses; peers are met at the same machines, on the
    # port for peers.
    found = document.get('Seeds')
    if not isinstance(found, list):
        return ()
    return tuple(_address(seed)[0] for seed in found if isinstance(seed, str))
