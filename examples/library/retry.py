"""A retry budget as a share of new requests, and jittered backoff."""

import random

from siskinbank.coordination import Backoff, FakeClock, RetryBudget

budget = RetryBudget(FakeClock(), share=0.1, floor=0, burst=3)
for _ in range(20):
    budget.note_fresh()
print('retries for 20 fresh requests:', sum(budget.take() for _ in range(9)))
backoff = Backoff(base=0.1, cap=1, rng=random.Random(1))
pauses = [backoff.next_pause() for _ in range(6)]
limits = [min(1, 0.1 * 2**tries) for tries in range(6)]
print('within limits:', all(map(float.__le__, pauses, map(float, limits))))
