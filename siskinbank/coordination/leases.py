"""Beliefs with an expiry, on a clock that goes on during suspension."""

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from siskinbank.kernel.clock import Clock, boot_seconds

__all__ = ('Leases',)

KeyT = TypeVar('KeyT', bound=Hashable)
ValueT = TypeVar('ValueT')


class Leases(Generic[KeyT, ValueT]):
    """Values that are true until their lease ends, at most ``capacity``.

    A process that was suspended and wakes late finds what has run out gone:
    nothing has to run for a lease to end. ``on_end`` is called for each lease
    that ran out, when that is noticed.
    """

    def __init__(
        self,
        seconds: float,
        capacity: int,
        clock: Clock = boot_seconds,
        on_end: Callable[[KeyT, ValueT], None] | None = None,
    ) -> None:
        """Give leases of ``seconds``.

        Raises:
            ValueError: the time or the capacity is not positive.
        """
        if seconds <= 0 or capacity <= 0:
            raise ValueError('a lease needs time and a place')
        self._seconds = seconds
        self._capacity = capacity
        self._clock = clock
        self._on_end = on_end
        self._held: dict[KeyT, tuple[float, ValueT]] = {}

    def __len__(self) -> int:
        """Return the number of leases that have not ended."""
        self.expire()
        return len(self._held)

    def renew(self, key: KeyT, held: ValueT) -> bool:
        """Hold a value for another term; False if there is no place."""
        self.expire()
        if key not in self._held and len(self._held) >= self._capacity:
            return False
        # Taken out first, so that the order is that of the ends.
        self._held.pop(key, None)
        self._held[key] = (self._clock() + self._seconds, held)
        return True

    def get(self, key: KeyT) -> ValueT | None:
        """Return a value whose lease has not ended."""
        entry = self._held.get(key)
        if entry is None or entry[0] <= self._clock():
            return None
        return entry[1]

    def release(self, key: KeyT) -> None:
        """End a lease before its time; ``on_end`` is not called."""
        self._held.pop(key, None)

    def expire(self) -> None:
        """Drop what has run out."""
        now = self._clock()
        while self._held:
            key = next(iter(self._held))
            until, held = self._held[key]
            if until > now:
                return
            del self._held[key]
            if self._on_end is not None:
                self._on_end(key, held)
