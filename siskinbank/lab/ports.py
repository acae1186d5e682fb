"""Find free ports on loopback."""

import socket

__all__ = ('free_ports',)


def free_ports(count: int, address: str = '127.0.0.1') -> list[int]:
    """Return ``count`` ports that are free for both TCP and UDP.

    Another process may bind them before the caller does.
    """
    sockets: list[socket.socket] = []
    ports: list[int] = []
    try:
        while len(ports) < count:
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            stream.bind((address, 0))
            sockets.append(stream)
            port = stream.getsockname()[1]
            datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sockets.append(datagram)
            try:
                datagram.bind((address, port))
            except OSError:
                continue
            ports.append(port)
    finally:
        for sock in sockets:
            sock.close()
    return ports
