"""Tests of the selection of a sidecar that passes a packet on."""

import unittest

from siskinbank.choice.relay_host import select_relay
from siskinbank.relay.messages import Status
from siskinbank.tracking.hosts import TrackedHost

OWN, OTHER, THIRD = 1, 2, 3
NOW = 100.0


def host(number: int, data_centre: int, silent_s: float = 0) -> TrackedHost:
    """Return a host that was heard some time ago."""
    status = Status(1, data_centre)
    return TrackedHost(f'10.0.{data_centre}.{number}', status, NOW - silent_s)


class TestSelectRelay(unittest.TestCase):
    """Load pattern: packets pass only one way between two data centres."""

    def setUp(self) -> None:
        """Create hosts in three data centres."""
        self.target = host(1, OTHER)
        self.near = [host(1, OWN), self.target, host(2, OTHER)]
        self.third = [host(1, THIRD), host(2, THIRD)]

    def selected(self, hosts: list[TrackedHost], attempt: int = 0) -> str:
        """Return the address of the selected host, empty if there is none."""
        found = select_relay(hosts, self.target, OWN, 7, attempt, NOW)
        return found.ip if found else ''

    def test_third_data_centre(self) -> None:
        """Only a third data centre avoids the path that is cut."""
        self.assertEqual(self.selected(self.near + self.third), '10.0.3.1')
        self.assertEqual(self.selected(self.near), '')

    def test_retransmissions_try_other_relays(self) -> None:
        """One relay that is cut off as well does not swallow all copies."""
        hosts = self.near + self.third
        found = [self.selected(hosts, attempt) for attempt in range(4)]
        self.assertEqual(set(found[:2]), {relay.ip for relay in self.third})
        self.assertEqual(found[2:], found[:2])

    def test_silent_relay(self) -> None:
        """A sidecar that is not heard passes nothing on."""
        silent = host(1, THIRD, silent_s=10)
        self.assertEqual(self.selected([*self.near, silent]), '')

    def test_own_data_centre(self) -> None:
        """Copies for near hosts would only add load."""
        self.target = host(1, OWN)
        self.assertEqual(self.selected(self.near + self.third), '')
