"""Find free ports on loopback."""

import random
import socket
from pathlib import Path

__all__ = ('free_ports',)

_FIRST_PORT = 10_000
#: The range from which the kernel takes the ports of outgoing connections.
_OUTGOING_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')


def free_ports(count: int, address: str = '127.0.0.1') -> list[int]:
    """Return ``count`` ports that are free for both TCP and UDP.

    They are below the range of outgoing connections: a server cannot bind the
    port of a connection that another process has opened in the meantime. Another
    server may bind them before the caller does.

    Raises:
        RuntimeError: too few ports are free.
    """
    candidates = list(range(_FIRST_PORT, _first_outgoing_port()))
    random.SystemRandom().shuffle(candidates)
    sockets: list[socket.socket] = []
    ports: list[int] = []
    try:
        for port in candidates:
            if len(ports) == count:
                return ports
            if _bind_both(address, port, sockets):
                ports.append(port)
    finally:
        for sock in sockets:
            sock.close()
    raise RuntimeError(f'fewer than {count} ports are free at {address}')


def _first_outgoing_port() -> int:
    return int(_OUTGOING_RANGE.read_text(encoding='ascii').split()[0])


def _bind_both(address: str, port: int, sockets: list[socket.socket]) -> bool:
    """Bind a port for TCP and UDP; return whether both were free."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        sock = socket.socket(socket.AF_INET, kind)
        sockets.append(sock)
        try:
            sock.bind((address, port))
        except OSError:
            return False
    return True
