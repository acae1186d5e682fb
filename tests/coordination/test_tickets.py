"""Tests of tickets and of the register of claimed tickets."""

import unittest

from siskinbank.coordination.tickets import (
    TICKET_SECONDS,
    OnceRegister,
    TicketOffice,
    parse_ticket,
)
from siskinbank.kernel.clock import FakeClock
from siskinbank.kernel.reasons import Doubt

SERVICE = 7
BAD = ('', 'v1', 'v1.a.b.c.d.e', 'v2.a.' + '0' * 16, 'x' * 500)


class TestTickets(unittest.TestCase):
    """Tickets are checked by the incarnation that issued them."""

    def setUp(self) -> None:
        """Issue a ticket."""
        self.clock = FakeClock()
        self.office = TicketOffice('host-1', self.clock)
        self.ticket = self.office.issue(SERVICE, 'key')

    def test_valid(self) -> None:
        """A ticket is valid for its service and key."""
        self.assertIsNone(self.office.check(self.ticket, SERVICE, 'key'))

    def test_refused(self) -> None:
        """Each kind of invalid ticket has its own reason."""
        restarted = TicketOffice('host-1', self.clock)
        forged = f'{self.ticket[:-1]}{"0" if self.ticket[-1] != "0" else "1"}'
        cases = (
            (self.office, self.ticket, SERVICE + 1, 'key', Doubt.bad_ticket),
            (self.office, self.ticket, SERVICE, 'other', Doubt.bad_ticket),
            (self.office, forged, SERVICE, 'key', Doubt.bad_ticket),
            (restarted, self.ticket, SERVICE, 'key', Doubt.restarted),
            *(
                (self.office, text, SERVICE, 'key', Doubt.bad_ticket)
                for text in BAD
            ),
        )
        for office, text, service, key, reason in cases:
            with self.subTest(text=text, reason=reason):
                self.assertIs(office.check(text, service, key), reason)

    def test_expires(self) -> None:
        """A ticket is refused after its expiry."""
        self.clock.advance(TICKET_SECONDS + 1)
        reason = self.office.check(self.ticket, SERVICE, 'key')
        self.assertIs(reason, Doubt.old_ticket)

    def test_parsed_host(self) -> None:
        """Any process can read the host of a ticket."""
        parsed = parse_ticket(self.ticket)
        assert parsed is not None
        self.assertEqual(parsed.host, 'host-1')


class TestOnceRegister(unittest.TestCase):
    """Claims and their expiry."""

    def test_claims_once_and_keeps_claims(self) -> None:
        """A full register refuses claims until older ones expire."""
        clock = FakeClock()
        register = OnceRegister(clock, lifetime=10, capacity=2)
        self.assertTrue(register.claim('a'))
        self.assertFalse(register.claim('a'))
        clock.advance(5)
        self.assertTrue(register.claim('b'))
        self.assertFalse(register.claim('c'))
        clock.advance(6)
        self.assertNotIn('a', register)
        self.assertIn('b', register)
        self.assertTrue(register.claim('c'))
        register.release('c')
        self.assertEqual(len(register), 1)
