"""A caller's request, checked, and its body kept for another try."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from siskinbank.config.site import Service
from siskinbank.kernel.clock import Clock
from siskinbank.kernel.outcomes import NotRun
from siskinbank.kernel.reasons import Refusal
from siskinbank.wire.bodies import CHUNK_BYTES, START_BYTES
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
_REPLAY_BYTES = 256 * 1024
_IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE'),
)
_TRUTHS = {'': None, 'true': True, '?1': True, 'false': False, '?0': False}
_SECONDS = re.compile('[0-9]{1,6}([.][0-9]{1,6})?')
_KEY = re.compile('[\x21-\x7e]+')
_TICKET = re.compile('[0-9A-Za-z.-]+')
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class BodySource:
    """The caller's body, read once; its start is kept for another try."""

    def __init__(self, request: web.BaseRequest) -> None:
        """Read the body of ``request`` when it is wanted."""
        self._request = request
        self._kept: list[bytes] = []
        self._size = 0
        self._whole = not request.body_exists
        self._asked = False

    @property
    def replayable(self) -> bool:
        """Whether all that was read so far is still kept."""
        return self._size <= _REPLAY_BYTES

    async def read_start(self) -> None:
        """Read a small body whole, before a host is kept busy with it."""
        while not self._whole and self._size < START_BYTES:
            await self._read_more()

    async def parts(self, position: int) -> bytes:
        """Return the kept part at ``position``, or read it."""
        if position < len(self._kept):
            return self._kept[position]
        if self._whole:
            return b''
        return await self._read_more()

    async def _read_more(self) -> bytes:
        if not self._asked:
            self._asked = True
            await self._ask_for_body()
        chunk = await self._request.content.read(CHUNK_BYTES)
        self._whole = not chunk
        self._size += len(chunk)
        if self.replayable and chunk:
            self._kept.append(chunk)
        return chunk

    async def _ask_for_body(self) -> None:
        request = self._request
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(_CONTINUE)
            request.writer.output_size = 0


@dataclass(slots=True)
class Call:
    """One caller's request and how it may be run; times are in seconds.

    ``length`` is the body's size in bytes, -1 when the caller did not say it.
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

    def cut(self) -> None:
        """Close the caller's connection, so that a cut answer looks cut."""
        if self.request.transport is not None:
            self.request.transport.abort()


def read_call(
    request: web.BaseRequest,
    service: Service,
    clock: Clock,
    closing: Callable[[], bool],
) -> Call | NotRun:
    """Check a request; a refusal says what kind of fault it has.

    Args:
        request: what the caller sent.
        service: the service that it is for.
        clock: the process's clock in seconds.
        closing: whether the caller's connection is to be closed after it.
    """
    headers = forwarded_headers(request.headers)
    if header_problem(headers):
        return NotRun(Refusal.too_large)
    if target_problem(request.method, request.path_qs):
        return NotRun(Refusal.malformed)
    deadline = _single(request, DEADLINE_HEADER)
    idempotent = _TRUTHS.get(_single(request, IDEMPOTENT_HEADER).lower(), '')
    key = _single(request, KEY_HEADER)
    ticket = _single(request, TICKET_HEADER)
    if idempotent == '' or not _are_good(deadline, key, ticket):
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
        _length(request),
        closing,
    )


def _length(request: web.BaseRequest) -> int:
    if not request.body_exists:
        return 0
    declared = request.content_length
    return -1 if declared is None else declared


def _single(request: web.BaseRequest, name: str) -> str:
    """Return a header's text; a space makes a doubled one malformed."""
    return ' '.join(request.headers.getall(name, ())).strip()


def _are_good(deadline: str, key: str, ticket: str) -> bool:
    if deadline and not _SECONDS.fullmatch(deadline):
        return False
    if key and (len(key) > _MAX_KEY_CHARACTERS or not _KEY.fullmatch(key)):
        return False
    return not ticket or _TICKET.fullmatch(ticket) is not None
