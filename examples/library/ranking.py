"""Assign keys to members by rendezvous hashing, without communication."""

from siskinbank.coordination import prepare_ranking

weights = {'a': 1.0, 'b': 1.0, 'c': 2.0}
before = prepare_ranking(weights, 2)
after = prepare_ranking({**weights, 'd': 1.0}, 2)
keys = [f'key-{number}' for number in range(1000)]
moved = [key for key in keys if before(key)[0] != after(key)[0]]
print('best two for key-1:', before('key-1'))
print('moved only to the new member:', {after(key)[0] for key in moved})
print('a fifth moves:', 150 < len(moved) < 250)
