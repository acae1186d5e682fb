"""A limit that rises during warm-up and is reset when the host restarts."""

from siskinbank.coordination import ClimbingLimit, FakeClock

clock = FakeClock()
limit = ClimbingLimit(cold=1, full=9, warm_up_seconds=8, clock=clock)
print('taken:', [limit.take() for _ in range(2)])
clock.advance(4)
print('after 4 s:', limit.limit)
clock.advance(4)
print('warm:', limit.limit)
limit.restart()
print('cold again:', limit.limit)
