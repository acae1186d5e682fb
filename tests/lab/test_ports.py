"""Tests of the choice of free ports."""

import socket
import unittest
from pathlib import Path

from siskinbank.lab.ports import free_ports

_LOOPBACK = '127.0.0.1'
_COUNT = 200


class TestFreePorts(unittest.TestCase):
    """Ports for servers that are started some time later."""

    def test_not_those_of_connections(self) -> None:
        """Guards against an outgoing connection that takes the port.

        An entry of tests.lab.test_stops could not bind its port.
        """
        text = Path('/proc/sys/net/ipv4/ip_local_port_range').read_text('ascii')
        self.assertLess(max(free_ports(_COUNT)), int(text.split()[0]))

    def test_distinct_and_free(self) -> None:
        """Guards against ports that are returned twice or in use."""
        ports = free_ports(_COUNT)
        self.assertEqual(len(set(ports)), _COUNT)
        for port in ports:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((_LOOPBACK, port))
