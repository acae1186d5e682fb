"""Work that runs once at most, in one life of one host."""

from siskinbank.coordination import FakeClock, OnceRegister, TicketOffice

SERVICE = 7
clock = FakeClock()
office = TicketOffice('host-1', clock)
done = OnceRegister(clock, lifetime=600, capacity=1000)
ticket = office.issue(SERVICE, 'order-17')

print('good:', office.check(ticket, SERVICE, 'order-17') is None)
print('runs:', done.claim(ticket), done.claim(ticket))
print('other key:', office.check(ticket, SERVICE, 'order-18'))

restarted = TicketOffice('host-1', clock)
print('after a restart:', restarted.check(ticket, SERVICE, 'order-17'))
