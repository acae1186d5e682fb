"""Periodic work that is driven by hand, as tests do, and then by asyncio."""

import asyncio

from siskinbank.coordination import FakeClock, TimerService

clock = FakeClock()
timers = TimerService(clock)
beats: list[float] = []
heartbeat = timers.every(2, lambda: beats.append(clock.now))
for _ in range(5):
    clock.advance(1)
    timers.run_due()
heartbeat.cancel()
print('beats at', beats)

# In a program the service runs as one task, on a clock that counts suspension.
real = TimerService()
done = asyncio.Event()


async def main() -> None:
    """Wait for one call."""
    real.after(0.01, done.set)
    running = asyncio.create_task(real.run())
    await done.wait()
    running.cancel()


asyncio.run(main())
print('called once')
