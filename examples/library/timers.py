"""Periodic callbacks, run manually as in tests and then by asyncio."""

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

# In a program the service runs as one task; its clock includes suspension.
real = TimerService()
done = asyncio.Event()


async def main() -> None:
    """Run the service until the callback has been called."""
    real.after(0.01, done.set)
    running = asyncio.create_task(real.run())
    await done.wait()
    running.cancel()


asyncio.run(main())
print('called once')
