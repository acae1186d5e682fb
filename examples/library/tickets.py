"""Run a piece of work at most once, in one incarnation of one host."""

from siskinbank.coordination import FakeClock, OnceRegister, TicketOffice

clock = FakeClock()
office = TicketOffice('host-1', clock)
once = OnceRegister(clock, lifetime=60, capacity=1000)
ticket = office.issue(service=7, key='booking-1')


def run(text: str, key: str) -> str:
    """Run the work of a ticket unless it has already run."""
    doubt = office.check(text, 7, key)
    if doubt is not None:
        return doubt.value
    return 'runs' if once.claim(text) else 'ran before'


print('first copy:', run(ticket, 'booking-1'))
print('second copy:', run(ticket, 'booking-1'))
print('for other work:', run(ticket, 'booking-2'))
office = TicketOffice('host-1', clock)
print('after a restart:', run(ticket, 'booking-1'))
