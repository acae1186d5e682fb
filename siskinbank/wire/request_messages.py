"""Messages on streams: tunnels, requests and responses."""

import dataclasses

from siskinbank.wire.messages import Message, message

__all__ = (
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
    'ResponseHead',
    'TicketIssued',
    'TunnelOpened',
)


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenTunnel(Message):
    """Asks a sidecar to accept one plain TCP connection."""

    kind = 10
    service: int
    caller: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TunnelOpened(Message):
    """The sidecar has connected; bytes follow in both directions."""

    kind = 11


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Refused(Message):
    """The request with this number was not run and will not be run.

    ``retry_after`` is in seconds.
    """

    kind = 12
    number: int
    reason: str
    retry_after: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenRequests(Message):
    """Opens a stream of numbered requests."""

    kind = 13
    sender: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead(Message):
    """Starts one request.

    ``due`` is the deadline in seconds on the sidecar's clock. It applies to
    the end of the response if ``bounded``, else to its start. ``length`` is
    the size of the body in bytes, -1 if the caller did not declare it.
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
class ResponseHead(Message):
    """Starts one response; the parts of its body follow.

    ``length`` is the declared size of the body in bytes, -1 if it is not
    known. ``clock`` is the sidecar's clock in seconds.
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
    """The request may have run, but its response is not available.

    ``retry_after`` is in seconds, 0 if a retry does not help.
    """

    kind = 17
    number: int
    reason: str
    retry_after: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Cancel(Message):
    """The response to this request is no longer needed."""

    kind = 18
    number: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened(Message):
    """The sidecar's reply to ``OpenRequests``.

    ``clock`` is the sidecar's clock in seconds at the time of sending.
    """

    kind = 40
    host: str
    incarnation: int
    clock: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Credit(Message):
    """Grants the sender of a body ``size`` more bytes."""

    kind = 41
    number: int
    size: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class GoAway(Message):
    """The sidecar stops; requests above ``last`` did not run and will not."""

    kind = 42
    last: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class IssueTicket(Message):
    """Requests a ticket that allows one request to run here once."""

    kind = 43
    number: int
    service: int
    key: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TicketIssued(Message):
    """A ticket and its validity in seconds."""

    kind = 44
    number: int
    ticket: str
    good_for: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Ping(Message):
    """Checks that the peer responds; it returns the message unchanged."""

    kind = 47
    number: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class FenceKey(Message):
    """Asks a former primary host of a key to run no requests with it."""

    kind = 45
    number: int
    service: int
    key: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class KeyFenced(Message):
    """No request with the key ran here in this incarnation, and none will."""

    kind = 46
    number: int
