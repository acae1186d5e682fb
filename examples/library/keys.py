"""Seal datagrams, rotate keys without interruption, and refuse replays."""

from siskinbank.coordination import Key, KeyRing, ReplayGuard

old = Key(1, bytes(range(32)))
new = Key(2, bytes(range(32, 64)))
sender = KeyRing([old])
receiver = KeyRing([old, new])
datagram = sender.seal(b'hello')
print('opened:', receiver.open(datagram))
sender.replace([new, old])
print('after rotation:', receiver.open(sender.seal(b'hello')))
print('foreign:', KeyRing([new]).open(datagram))

guard = ReplayGuard()
stamp = ReplayGuard().stamp()
print('taken once:', guard.accept(stamp), guard.accept(stamp))
