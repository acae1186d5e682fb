"""Tickets that let one piece of work run once, in one place, or nowhere.

A ticket names a host and one life of it, its incarnation. Only that life can
check it, with a secret that it drew at its start and that nobody else knows.
So a ticket can be sent any number of times through any entry: it runs at most
once, and a host that was restarted knows that it cannot tell.
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

#: How long a ticket is good for.
TICKET_SECONDS = 60.0
_MAX_TICKET_CHARACTERS = 200
_SECRET_BYTES = 32
_MAC_BYTES = 16
_NONCE_BYTES = 12
_INCARNATION_BYTES = 8
_MILLISECONDS = 1000
_HEX = 16
_FORM = re.compile(
    'v1[.]([a-z0-9-]{1,63})[.]([0-9a-f]{16})[.]([0-9]{1,16})'
    '[.]([0-9a-f]{24})[.]([0-9a-f]{32})',
)


@dataclass(frozen=True, slots=True)
class Ticket:
    """What a ticket says; ``expires`` is in ms on the host's own clock."""

    host: str
    incarnation: int
    expires: int
    nonce: str
    mac: str


def parse_ticket(text: str) -> Ticket | None:
    """Read a ticket without checking that it is genuine."""
    if len(text) > _MAX_TICKET_CHARACTERS:
        return None
    form = _FORM.fullmatch(text)
    if form is None:
        return None
    host, incarnation, expires, nonce, mac = form.groups()
    return Ticket(host, int(incarnation, _HEX), int(expires), nonce, mac)


class TicketOffice:
    """Issues and checks the tickets of one life of one host."""

    def __init__(
        self,
        host: str,
        clock: Clock,
        draw: Callable[[int], bytes] = secrets.token_bytes,
    ) -> None:
        """Draw a new incarnation and secret; ``draw`` gives random bytes."""
        self._host = host
        self._clock = clock
        self._draw = draw
        self._secret = draw(_SECRET_BYTES)
        self.incarnation = int.from_bytes(draw(_INCARNATION_BYTES), 'big')

    def issue(self, service: int, key: str) -> str:
        """Return a new ticket for a request of ``service`` with ``key``."""
        expires = int((self._clock() + TICKET_SECONDS) * _MILLISECONDS)
        nonce = self._draw(_NONCE_BYTES).hex()
        lead = f'v1.{self._host}.{self.incarnation:016x}.{expires}.{nonce}'
        return f'{lead}.{self._mac(lead, service, key)}'

    def check(self, text: str, service: int, key: str) -> Doubt | None:
        """Return why a ticket cannot be run, or None if it may be."""
        ticket = parse_ticket(text)
        if ticket is None or ticket.host != self._host:
            return Doubt.bad_ticket
        if ticket.incarnation != self.incarnation:
            return Doubt.restarted
        lead = text.rpartition('.')[0]
        wanted = self._mac(lead, service, key)
        if not hmac.compare_digest(wanted, ticket.mac):
            return Doubt.bad_ticket
        if self._clock() * _MILLISECONDS >= ticket.expires:
            return Doubt.old_ticket
        return None

    def _mac(self, lead: str, service: int, key: str) -> str:
        digest = hashlib.blake2b(
            f'{lead}.{service}.{key}'.encode(),
            key=self._secret,
            digest_size=_MAC_BYTES,
        )
        return digest.hexdigest()


class OnceRegister:
    """Remembers what was claimed, for a lifetime and up to a capacity.

    It never forgets early: when it is full it refuses new claims.
    """

    def __init__(self, clock: Clock, lifetime: float, capacity: int) -> None:
        """Remember each claim for ``lifetime`` seconds."""
        self._clock = clock
        self._lifetime = lifetime
        self._capacity = capacity
        self._claims: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        """Whether a name is claimed."""
        self._expire()
        return name in self._claims

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._claims)

    @property
    def full(self) -> bool:
        """Whether no further claim can be remembered."""
        self._expire()
        return len(self._claims) >= self._capacity

    def claim(self, name: str) -> bool:
        """Claim a name; False if it is claimed already or there is no room."""
        if name in self or self.full:
            return False
        self._claims[name] = self._clock() + self._lifetime
        return True

    def release(self, name: str) -> None:
        """Take back a claim under which nothing was done."""
        self._claims.pop(name, None)

    def _expire(self) -> None:
        now = self._clock()
        while self._claims:
            name = next(iter(self._claims))
            if self._claims[name] > now:
                return
            del self._claims[name]
