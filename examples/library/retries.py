"""Retries within a budget, with jittered pauses."""

import random

from siskinbank.coordination import Backoff, FakeClock, RetryBudget

clock = FakeClock()
budget = RetryBudget(clock, share=0.1, floor=0.1, burst=5)
retries = 0
for _ in range(1000):
    budget.note_fresh()
    retries += budget.take()
print('retries for 1000 failures:', retries)

backoff = Backoff(base=0.1, cap=1, rng=random.Random(1))
pauses = [backoff.next_pause() for _ in range(6)]
print('pauses within their ranges:', max(pauses) <= 1)
