"""First packets that a sidecar keeps until its host has a free slot.

Load pattern: all processes and hosts lost power for a second or two. When
they are back, everyone who asked meanwhile comes at once, with copies of first
packets that can no longer be answered within the latency that users expect,
while new requests go on arriving. Served in the order of their coming, the new
ones wait behind the backlog until they are late as well, and seconds pass
before anyone is served in time again. So flows that can still be in time go
first; the late ones take the slots that these leave, in the order of their
coming. When many can be in time, the newest goes first: in the order of coming
each would wait until it hardly can be in time any more, and then work that
takes a little longer makes it late.
"""

from __future__ import annotations

__all__ = ('KeptOpening', 'WaitingRoom', 'sent_ago_s')

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.messages import Opening

# When a client sends a first packet and its copies, in seconds after the first.
_COPIES_AT_S = (0, 0.2, 0.6)
# A client gives up a first packet 1.4 s after it; what is sent to a host later
# than this, in seconds, reaches the client too late.
_GIVEN_UP_S = 1.35
# From a free slot to the request's arrival and back to the client, in seconds:
# four ways to a client of 3 ms each, and what a busy process adds.
_WAYS_S = 0.02
# Work before an answer is there, in times of the usual: the request itself,
# and on average half of the one that is worked on before it.
_WORKS = 1.5
# Flows in time beyond which the newest goes first: more than wait by chance
# at a host that is not overloaded.
_FEW = 2
# Requests beyond its slots that a host is given, so that the next one is there
# when a slot gets free, in the time of a way to the client and back.
_AHEAD = 1
# First packets kept at once; beyond that flows are refused.
_MOST_KEPT = 256


def sent_ago_s(copy: int) -> float:
    """Return how long before a copy the client sent its first packet.

    Args:
        copy: how many copies came before; more than clients send count as
            the last one.
    """
    return _COPIES_AT_S[min(copy, len(_COPIES_AT_S) - 1)]


class KeptOpening:
    """A first packet that waits.

    Attributes:
        opening: the packet with what its entry said of it.
        since: when it came to this host.
        sent: when the client sent the first of its copies.
        aim_s: latency that the client expects.
    """

    __slots__ = ('aim_s', 'opening', 'sent', 'since')

    def __init__(
        self,
        opening: Opening,
        since: float,
        sent: float,
        aim_s: float,
    ) -> None:
        """Begin to wait."""
        self.opening = opening
        self.since = since
        self.sent = sent
        self.aim_s = aim_s

    def in_time_at(self, now: float, work_s: float) -> bool:
        """Say whether its answer would be in time if a slot were free now."""
        needed = _WORKS * work_s + _WAYS_S
        return now + needed < self.sent + self.aim_s


class WaitingRoom:
    """The first packets kept by one sidecar, in the order of their coming."""

    __slots__ = ('_kept',)

    def __init__(self) -> None:
        """Keep none."""
        self._kept: dict[bytes, KeptOpening] = {}

    def __len__(self) -> int:
        """Count those kept."""
        return len(self._kept)

    def get(self, key: bytes) -> KeptOpening | None:
        """Return what is kept of a flow."""
        return self._kept.get(key)

    @property
    def full(self) -> bool:
        """Whether no more may be kept."""
        return len(self._kept) >= _MOST_KEPT

    def keep(self, key: bytes, kept: KeptOpening) -> None:
        """Keep one more."""
        self._kept[key] = kept

    def ahead_of(self, kept: KeptOpening, now: float, work_s: float) -> int:
        """Return how many would get a slot before a flow that comes now."""
        if not kept.in_time_at(now, work_s):
            return len(self._kept)
        return self.count_in_time(now, work_s)

    def count_in_time(self, now: float, work_s: float) -> int:
        """Count the flows that go before a new one at most."""
        kept = self._kept.values()
        return sum(1 for one in kept if one.in_time_at(now, work_s))

    def next(
        self,
        now: float,
        work_s: float,
        free: int,
    ) -> tuple[bytes, KeptOpening] | None:
        """Take out the flow that goes to the host, None if none may.

        Args:
            now: the time.
            work_s: how long the host usually works on a request.
            free: slots without a request, below 0 for requests that wait.
        """
        if free <= -_AHEAD:
            return None
        in_time = [
            key
            for key, kept in self._kept.items()
            if kept.in_time_at(now, work_s)
        ]
        if in_time:
            chosen = in_time[0 if len(in_time) <= _FEW else -1]
        elif self._kept:
            chosen = next(iter(self._kept))
        else:
            return None
        return chosen, self._kept.pop(chosen)

    def drop_given_up(self, now: float) -> list[tuple[bytes, KeptOpening]]:
        """Take out the flows that their clients have given up."""
        edge = now - _GIVEN_UP_S
        gone = [key for key, kept in self._kept.items() if kept.sent < edge]
        return [(key, self._kept.pop(key)) for key in gone]

    def clear(self) -> list[tuple[bytes, KeptOpening]]:
        """Take out all."""
        everyone = list(self._kept.items())
        self._kept.clear()
        return everyone
