"""Addresses of peers that expire, also while the machine is suspended."""

from siskinbank.coordination import FakeClock, Leases

clock = FakeClock()
peers: Leases[str, str] = Leases(
    seconds=10,
    capacity=1000,
    clock=clock,
    on_end=lambda name, address: print(name, 'at', address, 'is gone'),
)
peers.renew('host-1', '10.0.0.1')
peers.renew('host-2', '10.0.0.2')
clock.advance(8)
peers.renew('host-2', '10.0.0.2')
clock.advance(4)
print('host-1 is at', peers.get('host-1'))
print('host-2 is at', peers.get('host-2'))
print(len(peers), 'known')
