"""Tests of searches for flows at hosts whose status is outdated."""

import unittest
from socket import inet_aton

from siskinbank.admission import reasons
from siskinbank.relay import messages
from tests.relay.test_flow_searcher import (
    SERVICE,
    STEP_S,
    Environment,
    flow_key,
    packet_of,
)

NEW_HOST = '10.0.0.1'
# Interval of the status updates of a sidecar to entries in other data centres,
# with dozens of entries.
INTERVAL_MS = 2800
# Longer than one missed update of a sidecar nearby, in seconds, and shorter than
# the announced interval and the age at which a listing is too old.
SILENT_S = 1.0
# Time in which a host that has not answered a query is probed, in seconds.
PROBED_S = 0.6


class TestNewHost(unittest.TestCase):
    """Load pattern: hosts are added while entries restart.

    The sidecar starts before its host is in the store and says so. Entries in
    other data centres get its next status update seconds after the host has
    been registered and has accepted flows.
    """

    def setUp(self) -> None:
        """Let one sidecar say that its host is not in the store."""
        self.env = Environment()
        self.listing = self.env.searcher._follower.listing  # noqa: SLF001
        self.all_hosts = self.listing.addresses
        status = messages.Status(messages.digest(SERVICE), 1)
        status.state = reasons.UNREGISTERED
        status.interval_ms = INTERVAL_MS
        self.env.hosts.update_status(NEW_HOST, status, self.env.loop.now)
        self.env.loop.now += SILENT_S

    def search(self, number: int) -> None:
        """Search for a flow that none of the other hosts holds."""
        self.env.sent.clear()
        self.env.resets.clear()
        self.env.searcher.search(flow_key(number), packet_of(flow_key(number)))
        self.env.searcher._send_queries()  # noqa: SLF001
        for ip, datagram in self.env.sent:
            if ip != NEW_HOST:
                keys = messages.read_flows(datagram)
                answer = messages.pack_flows(messages.NOT_HELD, keys)
                self.env.handlers[messages.NOT_HELD](answer, ip)

    def list_new_host(self, listed: bool) -> None:
        """Apply a fresh listing of the store with or without the host."""
        others = self.all_hosts - {inet_aton(NEW_HOST)}
        self.listing.replace(
            self.all_hosts if listed else others, self.env.loop.now
        )

    def run_with_updates(self, seconds: float) -> None:
        """Let time pass; the other hosts send updates.

        An entry that hears none of them may be isolated.
        """
        end = self.env.loop.now + seconds
        while self.env.loop.now < end:
            for host in self.env.hosts.all():
                if host.ip != NEW_HOST:
                    self.env.hosts.note_message(host.ip, self.env.loop.now)
            self.env.run(STEP_S)

    def test_registered_since(self) -> None:
        """A fresh listing has the host, which may hold flows: it is asked."""
        self.list_new_host(listed=True)
        self.search(1)
        self.assertEqual(self.env.resets, [])
        self.assertIn(NEW_HOST, {ip for ip, _ in self.env.sent})

    def test_left_out_before(self) -> None:
        """The same, after a search in which it was left out."""
        self.list_new_host(listed=False)
        self.search(1)
        self.list_new_host(listed=True)
        self.search(2)
        self.assertEqual(self.env.resets, [])
        self.assertIn(NEW_HOST, {ip for ip, _ in self.env.sent})

    def test_not_registered(self) -> None:
        """No listing has it, and it answers no probe: it is left out."""
        self.list_new_host(listed=False)
        self.search(1)
        self.assertEqual(self.env.resets, [])
        self.run_with_updates(PROBED_S)
        self.assertEqual(self.env.resets, ['no-host-holds-it'])
