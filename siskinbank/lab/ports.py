"""Ask the kernel for free ports on loopback."""

import socket

__all__ = ('free_ports',)


def free_ports(count: int, address: str = '127.0.0.1') -> list[int]:
    """Return ports that were free for both TCP and UDP a moment ago."""
    held: list[socket.socket] = []
    ports: list[int] = []
    try:
        while len(ports) < count:
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            stream.bind((address, 0))
            held.append(stream)
            port = stream.getsockname()[1]
            datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            held.append(datagram)
            try:
                datagram.bind((address, port))
            except OSError:
                continue
            ports.append(port)
    finally:
        for sock in held:
            sock.close()
    return ports
