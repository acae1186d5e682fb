"""Encoders of the platform's formats, for tests and the lab's stand-ins.

No siskinbank process imports this module.
"""

from __future__ import annotations

import json
from binascii import b2a_base64
from dataclasses import dataclass, replace
from socket import inet_aton, inet_ntoa
from struct import Struct
from urllib.parse import parse_qs, urlsplit
from zlib import crc32

from siskinbank.platform.packets import BOUNCED, HEADER_BYTES

__all__ = (
    'HostDocument',
    'Item',
    'Packet',
    'ProcessSettings',
    'RouteDocument',
    'StoreCall',
    'answer_bytes',
    'encode_configuration',
    'encode_page',
    'read_store_call',
    'request_bytes',
)

_HEADER = Struct('!IIIB4s4sHHIH')
_MS = 1000


@dataclass(frozen=True, slots=True)
class Packet:
    """A packet with all its header fields and its data."""

    source: tuple[str, int]
    target: tuple[str, int]
    flags: int = 0
    number: int = 0
    acknowledged: int = 0
    content: bytes = b''
    echo: int = 0
    checksum: int = 0

    @classmethod
    def read(cls, raw: bytes) -> 'Packet':
        """Decode a datagram."""
        fields = _HEADER.unpack_from(raw)
        return cls(
            (inet_ntoa(fields[4]), fields[6]),
            (inet_ntoa(fields[5]), fields[7]),
            fields[3],
            fields[1],
            fields[2],
            raw[HEADER_BYTES:],
            fields[8],
            fields[0],
        )

    @property
    def has_valid_checksum(self) -> bool:
        """Return whether the checksum matches the packet."""
        return self.checksum == self._compute_checksum()

    def write(self) -> bytes:
        """Return the datagram with a computed checksum."""
        return replace(self, checksum=self._compute_checksum()).pack()

    def pack(self) -> bytes:
        """Return the datagram with the checksum field unchanged."""
        header = _HEADER.pack(
            self.checksum,
            self.number,
            self.acknowledged,
            self.flags,
            inet_aton(self.source[0]),
            inet_aton(self.target[0]),
            self.source[1],
            self.target[1],
            self.echo,
            len(self.content),
        )
        return header + self.content

    def _compute_checksum(self) -> int:
        # The checksum covers neither itself nor the echo nor the bounced flag.
        covered = replace(self, checksum=0, echo=0, flags=self.flags & ~BOUNCED)
        return crc32(covered.pack())


@dataclass(frozen=True, slots=True)
class HostDocument:
    """A host's record in the store."""

    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int = 3
    draining: bool = False
    cold_s: float = 0
    born_ms: int = 1

    def encode(self) -> bytes:
        """Return the record as JSON."""
        ip, port = self.address
        return _json(
            {
                'Service': self.service,
                'Address': f'{ip}:{port}',
                'Zone': self.data_centre,
                'Version': 'v1',
                'Slots': self.slots,
                'State': 'draining' if self.draining else 'ready',
                'WarmupLeftMs': int(self.cold_s * _MS),
                'Sequence': 1,
                'born': self.born_ms,
            },
        )


@dataclass(frozen=True, slots=True)
class RouteDocument:
    """A route in the operator's configuration.

    ``backends`` are services with weights, in place of ``service``.
    """

    service: str
    address: tuple[str, int]
    timeout_s: float = 2
    idempotent: bool = True
    priority: int = 0
    backends: tuple[tuple[str, int], ...] = ()


def encode_configuration(
    version: int,
    routes: list[RouteDocument],
    cold_per_s: float = 0,
    idle_timeout_s: float = 15,
) -> bytes:
    """Return the operator's configuration as JSON."""
    backends = [one.backends or ((one.service, 1),) for one in routes]
    services = sorted({service for one in backends for service, _ in one})
    return _json(
        {
            'Version': version,
            'Routes': [_route(route) for route in routes],
            'Services': [
                {
                    'Name': service,
                    'HealthPath': '/health',
                    'WarmupS': 2,
                    'WarmupPerS': cold_per_s,
                }
                for service in services
            ],
            'Limits': {'IdleTimeoutMs': int(idle_timeout_s * _MS)},
        },
    )


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """The settings file of one process.

    ``ports`` are those for packets, readiness checks, peers and outbound
    packets, ``link_mbps`` the rate of the link in Mbit/s, 0 to leave it out.
    """

    name: str
    ip: str
    data_centre: str
    ports: tuple[int, int, int, int]
    seeds: tuple[str, ...]
    store: tuple[str, int]
    service: str = ''
    host: tuple[str, int] | None = None
    link_mbps: int = 0

    def encode(self) -> bytes:
        """Return the file's content as JSON."""
        packets, ready, peers, outbound = self.ports
        listen = {
            'DatagramAddr': f'{self.ip}:{packets}',
            'ReadyAddr': f'{self.ip}:{ready}',
        }
        document: dict[str, object] = {
            'NodeName': self.name,
            'Ip': self.ip,
            'Zone': self.data_centre,
            'InternalPortRange': [peers, peers],
            'Seeds': [f'{seed}:{peers}' for seed in self.seeds],
            'HeartbeatMs': 800,
            'Listen': listen,
            'platform': {'Address': f'{self.store[0]}:{self.store[1]}'},
            'unknown': {'is': ['ignored']},
        }
        if self.host:
            listen['outbound'] = f'{self.ip}:{outbound}'
            document['app'] = f'{self.host[0]}:{self.host[1]}'
            document['Service'] = self.service
        if self.link_mbps:
            document['Limits'] = {'LinkMbps': self.link_mbps}
        return _json(document)


@dataclass(frozen=True, slots=True)
class Item:
    """An item of the store; ``content`` is None if it was removed."""

    key: str
    content: bytes | None
    revision: int

    def document(self) -> dict[str, object]:
        """Return the item in the form of a store response."""
        if self.content is None:
            return {'Key': self.key, 'Rev': self.revision, 'Removed': True}
        text = b2a_base64(self.content, newline=False).decode()
        return {'Key': self.key, 'Value': text, 'Rev': self.revision}


@dataclass(frozen=True, slots=True)
class StoreCall:
    """A decoded call to the store; ``kind`` is list, watch or read."""

    kind: str
    prefix: str
    after: str
    wait_s: float
    stale: bool


def read_store_call(path: str) -> StoreCall:
    """Decode the request path of a call to the store."""
    parts = urlsplit(path)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    kinds = {
        '/api/kv-range': 'list',
        '/api/kv-watch': 'watch',
        '/api/kv-key': 'read',
    }
    return StoreCall(
        kinds.get(parts.path, ''),
        query.get('Prefix', query.get('Key', '')),
        query.get('after', ''),
        int(query.get('WaitMs', '0')) / _MS,
        query.get('StaleOk') == '1',
    )


def encode_page(
    items: list[Item],
    revision: int,
    *,
    more: bool = False,
    watch: bool = False,
) -> bytes:
    """Return the response body of a listing or of a watch."""
    rows = [item.document() for item in items]
    if watch:
        return _json({'events': rows, 'At': revision})
    return _json({'items': rows, 'HasMore': more, 'At': revision})


def request_bytes(name: str, length: int = 0) -> bytes:
    """Return an HTTP request with the given id and body length."""
    head = (
        f'POST / HTTP/1.1\r\nHost: a\r\nSiskinbank-Attempt-Id: {name}\r\n'
        f'Content-Length: {length}\r\n\r\n'
    )
    return head.encode() + b'x' * length


def answer_bytes(name: str, host: str) -> bytes:
    """Return a host's HTTP response; its body names request and host."""
    body = f'{name} {host}'
    return (
        f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}'.encode()
    )


def _route(route: RouteDocument) -> dict[str, object]:
    ip, port = route.address
    document: dict[str, object] = {
        'Name': f'r-{port}',
        'Host': ip,
        'Prefix': f'/{port}/',
        'Kind': 'safe' if route.idempotent else 'unsafe',
        'TimeoutMs': int(route.timeout_s * _MS),
        'Priority': route.priority,
    }
    rows = [{'Service': name, 'Weight': part} for name, part in route.backends]
    backends = (
        {'WeightedBackends': rows} if rows else {'Service': route.service}
    )
    return document | backends


def _json(document: object) -> bytes:
    return json.dumps(document).encode()
