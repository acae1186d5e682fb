"""Validated requests of callers, and their bodies buffered for retries."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from siskinbank.config.site import Service
from siskinbank.kernel.clock import Clock
from siskinbank.kernel.outcomes import NotRun
from siskinbank.kernel.reasons import Refusal
from siskinbank.wire.bodies import CHUNK_BYTES, INITIAL_CREDIT_BYTES
from siskinbank.wire.headers import (
    DEADLINE_HEADER,
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    TICKET_HEADER,
    forwarded_headers,
    header_problem,
    target_problem,
)

__all__ = ('BodySource', 'Call', 'read_call')

DEFAULT_DEADLINE_SECONDS = 30.0
_MAX_DEADLINE_SECONDS = 3600.0
_MAX_KEY_CHARACTERS = 255
_MAX_REPLAY_BYTES = 262_144
_IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE'),
)
_BOOLEANS = {'': None, 'true': True, '?1': True, 'false': False, '?0': False}
_SECONDS = re.compile('[0-9]{1,6}([.][0-9]{1,6})?')
_KEY = re.compile('[\x21-\x7e]+')
_TICKET = re.compile('[0-9A-Za-z.-]+')
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class BodySource:
    """A request body that is read once; its start is buffered for retries."""

    def __init__(self, request: web.BaseRequest) -> None:
        """Initialize; the body of ``request`` is read on demand."""
        self._request = request
        self._parts: list[bytes] = []
        self._size = 0
        self._complete = not request.body_exists
        self._started = False

    @property
    def replayable(self) -> bool:
        """Whether everything read so far is still buffered."""
        return self._size <= _MAX_REPLAY_BYTES

    async def read_start(self) -> None:
        """Read the start of the body before a host gets the request.

        A small body is read whole, so that reading it occupies no host.
        """
        while not self._complete and self._size < INITIAL_CREDIT_BYTES:
            await self._read_more()

    async def part_at(self, position: int) -> bytes:
        """Return the buffered chunk at ``position``, or read the next one."""
        if position < len(self._parts):
            return self._parts[position]
        if self._complete:
            return b''
        return await self._read_more()

    async def _read_more(self) -> bytes:
        if not self._started:
            self._started = True
            await self._send_continue()
        chunk = await self._request.content.read(CHUNK_BYTES)
        self._complete = not chunk
        self._size += len(chunk)
        if self.replayable and chunk:
            self._parts.append(chunk)
        return chunk

    async def _send_continue(self) -> None:
        request = self._request
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(_CONTINUE)
            request.writer.output_size = 0


@dataclass(slots=True)
class Call:
    """One caller's request and how it may be run; times are in seconds.

    ``due`` is the deadline: of the end of the answer if ``bounded``, which
    means that the caller set it, else of its start. ``length`` is the body's
    size in bytes, -1 if the caller did not declare it.
    """

    request: web.BaseRequest
    service: Service
    key: str
    ticket: str
    idempotent: bool
    due: float
    bounded: bool
    clock: Clock
    body: BodySource
    headers: list[list[str]]
    length: int
    closing: Callable[[], bool]
    response: web.StreamResponse | None = None

    @property
    def remaining(self) -> float:
        """Seconds until the deadline."""
        return self.due - self.clock()

    def abort_connection(self) -> None:
        """Abort the connection, so that the caller detects a cut answer."""
        if self.request.transport is not None:
            self.request.transport.abort()


def read_call(
    request: web.BaseRequest,
    service: Service,
    clock: Clock,
    closing: Callable[[], bool],
) -> Call | NotRun:
    """Validate a request; return a refusal with the reason if it is invalid.

    Args:
        request: the caller's request.
        service: the service that it is for.
        clock: the process's clock in seconds.
        closing: returns whether to close the caller's connection after the
            answer.
    """
    headers = forwarded_headers(request.headers)
    if header_problem(headers):
        return NotRun(Refusal.too_large)
    if target_problem(request.method, request.path_qs):
        return NotRun(Refusal.malformed)
    deadline = _header_text(request, DEADLINE_HEADER)
    idempotent = _BOOLEANS.get(
        _header_text(request, IDEMPOTENT_HEADER).lower(), ''
    )
    key = _header_text(request, KEY_HEADER)
    ticket = _header_text(request, TICKET_HEADER)
    if idempotent == '' or not _are_valid(deadline, key, ticket):
        return NotRun(Refusal.malformed)
    if idempotent is None:
        idempotent = request.method in _IDEMPOTENT_METHODS and not ticket
    seconds = float(deadline) if deadline else DEFAULT_DEADLINE_SECONDS
    seconds = min(seconds, _MAX_DEADLINE_SECONDS)
    return Call(
        request,
        service,
        key,
        ticket,
        bool(idempotent),
        clock() + seconds,
        bool(deadline),
        clock,
        BodySource(request),
        headers,
        _body_length(request),
        closing,
    )


def _body_length(request: web.BaseRequest) -> int:
    if not request.body_exists:
        return 0
    declared = request.content_length
    return -1 if declared is None else declared


def _header_text(request: web.BaseRequest, name: str) -> str:
    """Return a header's text.

    Repeated headers are joined by a space, which makes them malformed.
    """
    return ' '.join(request.headers.getall(name, ())).strip()


def _are_valid(deadline: str, key: str, ticket: str) -> bool:
    if deadline and not _SECONDS.fullmatch(deadline):
        return False
    if key and (len(key) > _MAX_KEY_CHARACTERS or not _KEY.fullmatch(key)):
        return False
    return not ticket or _TICKET.fullmatch(ticket) is not None
