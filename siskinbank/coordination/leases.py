"""Values that expire, on a clock that runs on during suspension."""

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from siskinbank.kernel.clock import Clock, boot_seconds

__all__ = ('Leases',)

KeyT = TypeVar('KeyT', bound=Hashable)
ValueT = TypeVar('ValueT')


class Leases(Generic[KeyT, ValueT]):
    """Values that are valid until their leases end, at most ``capacity``.

    Leases end without any timer, so values that expired while the process was
    suspended are not returned after it resumes. ``on_end`` is called for each
    expired lease when the table removes it.
    """

    def __init__(
        self,
        seconds: float,
        capacity: int,
        clock: Clock = boot_seconds,
        on_end: Callable[[KeyT, ValueT], None] | None = None,
    ) -> None:
        """Create an empty table for leases of ``seconds``.

        Raises:
            ValueError: the time or the capacity is not positive.
        """
        if seconds <= 0 or capacity <= 0:
            raise ValueError('the lease time and the capacity must be positive')
        self._seconds = seconds
        self._capacity = capacity
        self._clock = clock
        self._on_end = on_end
        self._entries: dict[KeyT, tuple[float, ValueT]] = {}

    def __len__(self) -> int:
        """Return the number of leases that have not ended."""
        self.expire()
        return len(self._entries)

    def renew(self, key: KeyT, held: ValueT) -> bool:
        """Add a value or renew its lease; return False if the table is full."""
        self.expire()
        if key not in self._entries and len(self._entries) >= self._capacity:
            return False
        # Removed first, so that the entries are ordered by expiry.
        self._entries.pop(key, None)
        self._entries[key] = (self._clock() + self._seconds, held)
        return True

    def get(self, key: KeyT) -> ValueT | None:
        """Return the value of a key, or None if its lease has ended."""
        entry = self._entries.get(key)
        if entry is None or entry[0] <= self._clock():
            return None
        return entry[1]

    def release(self, key: KeyT) -> None:
        """End a lease early; ``on_end`` is not called."""
        self._entries.pop(key, None)

    def expire(self) -> None:
        """Remove expired leases."""
        now = self._clock()
        while self._entries:
            key = next(iter(self._entries))
            until, value = self._entries[key]
            if until > now:
                return
            del self._entries[key]
            if self._on_end is not None:
                self._on_end(key, value)
