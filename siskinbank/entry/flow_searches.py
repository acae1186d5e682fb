"""Searches for the hosts of flows that an entry does not know."""

from __future__ import annotations

__all__ = ('ASK_AGAIN_S', 'Search', 'Searches', 'may_still_answer')

# Hosts that have not answered are asked again after this, in seconds: many
# ways there and back, and less than a client's first retransmission.
ASK_AGAIN_S = 0.09
# Pause before a host is asked again, in seconds.
_PAUSE_S = 0.3
# How long a search may take, in seconds: a sidecar that was killed is back
# within it. Later packets of the flow start another one.
_LONGEST_S = 1.2
# Packets kept for one flow meanwhile: as many as an end has under way.
_MOST_WAITING = 16
# Searches at once; beyond that packets are dropped and come again.
_MOST_SEARCHES = 512

# A sidecar silent for longer than this is not waited for, in seconds: three
# of its words missed. A request that may run only once waits longer, as its
# answer may be ready: as long as a killed sidecar takes to be back.
_SILENT_REPEATABLE_S = 1.3
_SILENT_ONCE_S = 3.0
# Words missed after which a sidecar that speaks more seldom counts as silent.
_MISSED_WORDS = 3


class Search:
    """One flow whose host is looked for.

    Load pattern: all processes lost power; clients repeat packets of flows
    that no host holds any more, ever more seldom, while sidecars come back one
    by one. A client that hears soon that its flow is gone opens another one
    before its deadline.

    Attributes:
        began: when.
        first: the packet that goes to the hosts.
        absent: the hosts that do not hold the flow.
        waiting: the flow's packets since.
    """

    __slots__ = ('_asked', '_missing', 'absent', 'began', 'first', 'waiting')

    def __init__(self, began: float, first: bytes) -> None:
        """Begin with no answers."""
        self.began = began
        self.first = first
        self.absent: set[str] = set()
        self.waiting: list[bytes] = []
        self._asked: dict[str, float] = {}
        self._missing: set[str] = set()

    def to_ask(self, heard: dict[str, float], now: float) -> list[str]:
        """Return the hosts to ask now; they count as asked.

        Load pattern: hundreds of searches at once, while dozens of hosts are
        dead. A host is asked again only when its sidecar has spoken since it
        was asked: it came back, or a datagram was lost.

        Args:
            heard: when the sidecar of each host spoke last.
            now: time on the same clock.
        """
        hosts = [
            ip
            for ip in self.unanswered(list(heard))
            if heard[ip] > self._asked.get(ip, heard[ip] - 1)
            and now - self._asked.get(ip, 0) > _PAUSE_S
        ]
        for ip in hosts:
            self._asked[ip] = now
        self._missing.update(hosts)
        return hosts

    def note_absent(self, ip: str) -> bool:
        """Note that a host does not hold the flow; say if it was the last.

        Load pattern: hundreds of searches at dozens of hosts, on entries with
        a sixth of a core; an answer must not cost a look at all hosts.
        """
        self.absent.add(ip)
        self._missing.discard(ip)
        return not self._missing

    def keep(self, packet: bytes) -> None:
        """Keep a packet until the host is found."""
        if packet != self.first and len(self.waiting) < _MOST_WAITING:
            self.waiting.append(packet)

    def unanswered(self, hosts: list[str]) -> list[str]:
        """Return the hosts that have not answered yet."""
        return [ip for ip in hosts if ip not in self.absent]


class Searches:
    """All searches of one entry, by flow key."""

    __slots__ = ('_searches',)

    def __init__(self) -> None:
        """Start with none."""
        self._searches: dict[bytes, Search] = {}

    @property
    def full(self) -> bool:
        """Whether no more searches may begin now."""
        return len(self._searches) >= _MOST_SEARCHES

    def get(self, key: bytes) -> Search | None:
        """Return the search for a flow."""
        return self._searches.get(key)

    def begin(self, key: bytes, search: Search) -> None:
        """Add a search."""
        self._searches[key] = search

    def end(self, key: bytes) -> Search | None:
        """Take a search out."""
        return self._searches.pop(key, None)

    def going_on(self, now: float) -> list[tuple[bytes, Search]]:
        """Return the searches that have asked all hosts some time ago."""
        edge = now - ASK_AGAIN_S / 2
        return [
            (key, search)
            for key, search in self._searches.items()
            if search.began < edge
        ]

    def is_overdue(self, search: Search, now: float) -> bool:
        """Say whether a search has found nothing in time."""
        return now - search.began > _LONGEST_S


def may_still_answer(
    silent_s: float,
    repeatable: bool,
    pause_s: float,
) -> bool:
    """Say whether a search waits for a host that has not answered.

    Load pattern: after a loss of power the store still names hosts that never
    come back. Each would hold up the searches for all flows that were lost,
    until their clients' deadlines have passed.

    Args:
        silent_s: how long its sidecar has said nothing.
        repeatable: whether the flow's requests may run more than once.
        pause_s: the usual pause between its words; it speaks to each of many
            entries more seldom.
    """
    longest = _SILENT_REPEATABLE_S if repeatable else _SILENT_ONCE_S
    return silent_s < max(longest, pause_s * _MISSED_WORDS)
