"""Messages of streams: tunnels, requests and their answers."""

import dataclasses

from siskinbank.wire.messages import Message, message

__all__ = (
    'AnswerHead',
    'BodyPart',
    'Cancel',
    'Credit',
    'Failed',
    'FenceKey',
    'GoAway',
    'IssueTicket',
    'KeyFenced',
    'LinkOpened',
    'OpenRequests',
    'OpenTunnel',
    'Ping',
    'Refused',
    'RequestHead',
    'TicketIssued',
    'TunnelOpened',
)


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenTunnel(Message):
    """Asks a sidecar to take one plain TCP connection."""

    kind = 10
    service: int
    caller: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TunnelOpened(Message):
    """The sidecar has connected; bytes follow both ways."""

    kind = 11


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Refused(Message):
    """The work with this number was not run and will not be."""

    kind = 12
    number: int
    reason: str
    retry_after: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenRequests(Message):
    """Starts a stream of numbered requests."""

    kind = 13
    sender: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead(Message):
    """Starts one request.

    ``due`` is the deadline in seconds on the sidecar's own clock, for the
    answer's end if ``bounded``, else for its start; ``length`` is the size of
    the body in bytes, -1 when the caller did not say it.
    """

    kind = 14
    number: int
    service: int
    key: str
    ticket: str
    idempotent: bool
    due: float
    bounded: bool
    method: str
    target: str
    length: int
    headers: list  # type: ignore[type-arg]


@message
@dataclasses.dataclass(frozen=True, slots=True)
class BodyPart(Message):
    """One part of a body; ``part`` counts from 0, ``last`` is the end mark."""

    kind = 15
    number: int
    part: int
    last: bool
    content: bytes


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead(Message):
    """Starts one answer; the body's parts follow.

    ``length`` is the declared size of the body, -1 when it is not known;
    ``clock`` is the sidecar's clock in seconds.
    """

    kind = 16
    number: int
    status: int
    length: int
    clock: float
    headers: list  # type: ignore[type-arg]


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Failed(Message):
    """The request may have run; its answer cannot be had.

    ``retry_after`` is in seconds, 0 when asking again does not help.
    """

    kind = 17
    number: int
    reason: str
    retry_after: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Cancel(Message):
    """Nobody waits for this request any more."""

    kind = 18
    number: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened(Message):
    """The sidecar's answer to ``OpenRequests``.

    ``clock`` is the sidecar's clock in seconds when this was sent.
    """

    kind = 40
    host: str
    incarnation: int
    clock: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Credit(Message):
    """The sender of a body may send ``size`` bytes more of it."""

    kind = 41
    number: int
    size: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class GoAway(Message):
    """The sidecar stops: requests above ``last`` were not and won't be run."""

    kind = 42
    last: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class IssueTicket(Message):
    """Asks for a ticket that lets one request run here once."""

    kind = 43
    number: int
    service: int
    key: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TicketIssued(Message):
    """A ticket, and the seconds for which it is good."""

    kind = 44
    number: int
    ticket: str
    good_for: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Ping(Message):
    """Asks for a sign of life; it comes back as it is."""

    kind = 47
    number: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class FenceKey(Message):
    """Asks a former home of a key never to run it from now on."""

    kind = 45
    number: int
    service: int
    key: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class KeyFenced(Message):
    """The key did not run here in this life, and will not."""

    kind = 46
    number: int
