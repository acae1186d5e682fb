"""Tickets, under which a request runs at most once, at one host.

A ticket names a host and one incarnation of it. Only that incarnation can
check the ticket, with a random secret that it generated at its start and that
no other process has. So a ticket can be sent any number of times through any
entry: it runs at most once, and a host that was restarted reports that the
outcome is unknown.
"""

import hashlib
import hmac
import re
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from siskinbank.kernel.clock import Clock
from siskinbank.kernel.reasons import Doubt

__all__ = (
    'TICKET_SECONDS',
    'OnceRegister',
    'Ticket',
    'TicketOffice',
    'parse_ticket',
)

#: How long a ticket is valid after it was issued.
TICKET_SECONDS = 60.0
_MAX_TICKET_CHARACTERS = 200
_SECRET_BYTES = 32
_MAC_BYTES = 16
_NONCE_BYTES = 12
_INCARNATION_BYTES = 8
_MILLISECONDS = 1000
_HEX = 16
_TICKET_FORMAT = re.compile(
    'v1[.]([a-z0-9-]{1,63})[.]([0-9a-f]{16})[.]([0-9]{1,16})'
    '[.]([0-9a-f]{24})[.]([0-9a-f]{32})',
)


@dataclass(frozen=True, slots=True)
class Ticket:
    """The fields of a ticket; ``expires`` is in ms on the host's clock."""

    host: str
    incarnation: int
    expires: int
    nonce: str
    mac: str


def parse_ticket(text: str) -> Ticket | None:
    """Parse a ticket without checking its MAC; None if it is malformed."""
    if len(text) > _MAX_TICKET_CHARACTERS:
        return None
    parsed = _TICKET_FORMAT.fullmatch(text)
    if parsed is None:
        return None
    host, incarnation, expires, nonce, mac = parsed.groups()
    return Ticket(host, int(incarnation, _HEX), int(expires), nonce, mac)


class TicketOffice:
    """Issues and checks the tickets of one incarnation of a host."""

    def __init__(
        self,
        host: str,
        clock: Clock,
        draw: Callable[[int], bytes] = secrets.token_bytes,
    ) -> None:
        """Generate an incarnation and a secret with random bytes of ``draw``."""
        self._host = host
        self._clock = clock
        self._random_bytes = draw
        self._secret = draw(_SECRET_BYTES)
        self.incarnation = int.from_bytes(draw(_INCARNATION_BYTES), 'big')

    def issue(self, service: int, key: str) -> str:
        """Return a new ticket for a request of ``service`` with ``key``."""
        expires = int((self._clock() + TICKET_SECONDS) * _MILLISECONDS)
        nonce = self._random_bytes(_NONCE_BYTES).hex()
        signed_part = (
            f'v1.{self._host}.{self.incarnation:016x}.{expires}.{nonce}'
        )
        return f'{signed_part}.{self._mac(signed_part, service, key)}'

    def check(self, text: str, service: int, key: str) -> Doubt | None:
        """Return why a ticket cannot be run, or None if it may be."""
        ticket = parse_ticket(text)
        if ticket is None or ticket.host != self._host:
            return Doubt.bad_ticket
        if ticket.incarnation != self.incarnation:
            return Doubt.restarted
        signed_part = text.rpartition('.')[0]
        expected_mac = self._mac(signed_part, service, key)
        if not hmac.compare_digest(expected_mac, ticket.mac):
            return Doubt.bad_ticket
        if self._clock() * _MILLISECONDS >= ticket.expires:
            return Doubt.old_ticket
        return None

    def _mac(self, signed_part: str, service: int, key: str) -> str:
        digest = hashlib.blake2b(
            f'{signed_part}.{service}.{key}'.encode(),
            key=self._secret,
            digest_size=_MAC_BYTES,
        )
        return digest.hexdigest()


class OnceRegister:
    """Records claimed names for a lifetime, up to a capacity.

    It never evicts a claim early: when it is full it refuses new claims.
    """

    def __init__(self, clock: Clock, lifetime: float, capacity: int) -> None:
        """Create an empty register; a claim lasts ``lifetime`` seconds."""
        self._clock = clock
        self._lifetime = lifetime
        self._capacity = capacity
        self._claims: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        """Return whether a name is claimed."""
        self._expire()
        return name in self._claims

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._claims)

    @property
    def full(self) -> bool:
        """Whether the capacity is reached."""
        self._expire()
        return len(self._claims) >= self._capacity

    def claim(self, name: str) -> bool:
        """Claim a name; return False if it is claimed or there is no room."""
        if name in self or self.full:
            return False
        self._claims[name] = self._clock() + self._lifetime
        return True

    def release(self, name: str) -> None:
        """Remove a claim under which nothing was run."""
        self._claims.pop(name, None)

    def _expire(self) -> None:
        now = self._clock()
        while self._claims:
            name = next(iter(self._claims))
            if self._claims[name] > now:
                return
            del self._claims[name]
