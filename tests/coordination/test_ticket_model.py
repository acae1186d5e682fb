"""Stateful test that searches for a second run of one ticket."""

import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinbank.coordination import FakeClock, OnceRegister, TicketOffice
from siskinbank.coordination.tickets import TICKET_SECONDS

HOSTS = 2
KEYS = 3
SERVICE = 7
#: Claims last longer than any ticket is valid, as at the sidecars.
CLAIM_SECONDS = 10 * TICKET_SECONDS
HOST = st.integers(0, HOSTS - 1)


class TicketModel(RuleBasedStateMachine):
    """Clients send copies to any host at any time; hosts restart."""

    def __init__(self) -> None:
        """Create the hosts."""
        super().__init__()
        self.clock = FakeClock()
        self.tickets: list[tuple[str, int, int]] = []
        self.runs: Counter[str] = Counter()
        self.hosts = [self._start(number) for number in range(HOSTS)]

    @rule(host=HOST, key=st.integers(0, KEYS - 1))
    def issue(self, host: int, key: int) -> None:
        """A client requests a ticket."""
        office, _once = self.hosts[host]
        ticket = office.issue(SERVICE, f'key-{key}')
        self.tickets.append((ticket, host, key))

    @rule(choice=st.integers(0, 1 << 16), host=HOST, key=st.integers(0, KEYS))
    def send(self, choice: int, host: int, key: int) -> None:
        """A copy of any ticket reaches any host, with any key."""
        if not self.tickets:
            return
        ticket, issuer, wanted = self.tickets[choice % len(self.tickets)]
        office, once = self.hosts[host]
        if office.check(ticket, SERVICE, f'key-{key}') is not None:
            return
        assert (host, key) == (issuer, wanted), (
            'accepted the ticket of another host or key'
        )
        if once.claim(ticket):
            self.runs[ticket] += 1

    @rule(host=HOST)
    def restart(self, host: int) -> None:
        """A host restarts and loses its state."""
        self.hosts[host] = self._start(host)

    @rule(seconds=st.sampled_from((1, 30, 59, 61, 700)))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.advance(seconds)

    @invariant()
    def no_second_run(self) -> None:
        """No ticket runs twice."""
        assert max(self.runs.values(), default=0) <= 1

    def _start(self, number: int) -> tuple[TicketOffice, OnceRegister]:
        return (
            TicketOffice(f'host-{number}', self.clock),
            OnceRegister(self.clock, CLAIM_SECONDS, 1000),
        )


TicketModel.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)


class TestTickets(TicketModel.TestCase, unittest.TestCase):  # type: ignore[misc]
    """Runs the rules in random order."""
