"""A small client that sends requests through the entries as documented.

It takes a ticket for work that may run only once, tries again only where
that is safe, and pauses between tries as it is told to.
"""

import asyncio
import contextlib
import json
import random
import secrets
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import aiohttp

from siskinbank.coordination.backoff import Backoff
from siskinbank.coordination.budget import RetryBudget
from siskinbank.kernel.clock import Clock, boot_seconds
from siskinbank.kernel.outcomes import NotRun, Unknown
from siskinbank.kernel.reasons import Doubt, Refusal
from siskinbank.wire.headers import (
    DEADLINE_HEADER,
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    TICKET_HEADER,
)

__all__ = ('Reply', 'RequestClient', 'Work')

_KEY_BYTES = 16
_NEW_TICKET = 'new'
_OK = 200
_CLOSED_SECONDS = 10
#: Doubt after which the same ticket may be sent again to learn more.
_ASK_AGAIN = frozenset((Doubt.lost, Doubt.unreachable, Doubt.unsettled))
#: Refusals of a ticket that come from its host only.
_SAID_BY_HOST = frozenset(
    (
        Refusal.at_limit,
        Refusal.draining,
        Refusal.stale_view,
        Refusal.expired,
        Refusal.unreachable,
        Refusal.wrong_service,
    ),
)


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    tag: str = 'answered'


Outcome = Reply | NotRun | Unknown
ResultT = TypeVar('ResultT')


@dataclass(frozen=True, slots=True)
class Work:
    """One request; ``deadline`` is in seconds from when it is sent.

    Work that is not idempotent runs at most once.
    """

    method: str
    path: str
    body: bytes = b''
    idempotent: bool = False
    deadline: float = 10
    headers: Mapping[str, str] = field(default_factory=dict)
    key: str = field(default_factory=lambda: secrets.token_hex(_KEY_BYTES))


@dataclass(slots=True)
class _Entry:
    url: str
    backoff: Backoff
    closed_until: float = 0


class RequestClient:
    """Sends work through the entries of one service.

    Use it as an asynchronous context manager, or close it.
    """

    def __init__(
        self,
        entries: Sequence[str],
        rng: random.Random | None = None,
        clock: Clock = boot_seconds,
    ) -> None:
        """Send through the entries at these base URLs.

        Raises:
            ValueError: there is no entry.
        """
        if not entries:
            raise ValueError('give at least one entry')
        self._rng = rng or random.Random()
        self._entries = [
            _Entry(url.rstrip('/'), Backoff(cap=_CLOSED_SECONDS, rng=self._rng))
            for url in entries
        ]
        self._clock = clock
        self._budget = RetryBudget(clock)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'RequestClient':
        """Return the client."""
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Close the connections."""
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def send(self, work: Work) -> Outcome:
        """Send work and return its outcome.

        ``NotRun`` means that nothing of it ran or will run; ``Unknown`` that
        it may have run, once at most if it is not idempotent.
        """
        self._budget.note_fresh()
        due = self._clock() + work.deadline
        if work.idempotent:
            return await self._send_idempotent(work, due)
        return await self._send_once(work, due)

    async def _send_idempotent(self, work: Work, due: float) -> Outcome:
        while True:
            outcome = await self._ask(work, due, '')
            if isinstance(outcome, Reply) or not self._may_retry(outcome, due):
                return outcome
            await self._pause(outcome, due)

    async def _send_once(self, work: Work, due: float) -> Outcome:
        """Take a ticket, run it, and take a new one when it was fenced."""
        while True:
            ticket = await self._take_ticket(work, due)
            if isinstance(ticket, str):
                outcome = await self._run_ticket(work, due, ticket)
            else:
                outcome = ticket
            if not isinstance(outcome, NotRun):
                return outcome
            if not self._may_retry(outcome, due):
                return outcome
            await self._pause(outcome, due)

    async def _run_ticket(
        self,
        work: Work,
        due: float,
        ticket: str,
    ) -> Outcome:
        """Send one ticket until there is an answer, a refusal, or no hope.

        A ticket may be sent again after doubt: its host runs it once. But a
        refusal of a later copy says nothing of an earlier one that is lost.
        """
        outcome = await self._ask(work, due, ticket)
        while isinstance(outcome, Unknown):
            if outcome.reason not in _ASK_AGAIN:
                return outcome
            if not self._may_retry(outcome, due):
                return outcome
            await self._pause(outcome, due)
            outcome = _settle(outcome, await self._ask(work, due, ticket))
        return outcome

    def _may_retry(self, outcome: NotRun | Unknown, due: float) -> bool:
        pause = outcome.retry_after or 0
        return self._clock() + pause < due and self._budget.take()

    async def _pause(self, outcome: NotRun | Unknown, due: float) -> None:
        """Wait as told, with some jitter, but not past the deadline."""
        pause = (outcome.retry_after or 0) + Backoff(rng=self._rng).next_pause()
        await asyncio.sleep(max(min(pause, due - self._clock()), 0))

    async def _take_ticket(self, work: Work, due: float) -> str | NotRun:
        headers = {KEY_HEADER: work.key, TICKET_HEADER: _NEW_TICKET}

        async def take(url: str) -> str | NotRun | Unknown:
            target = f'{url}{work.path}'
            async with self._open().post(target, headers=headers) as answer:
                if answer.status == _OK and TICKET_HEADER in answer.headers:
                    return answer.headers[TICKET_HEADER]
                return _read_problem(answer, await answer.read())

        try:
            async with asyncio.timeout(due - self._clock()):
                outcome = await self._reach(take)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return NotRun(Refusal.unreachable)
        # Whatever went wrong, nothing was asked to run yet.
        if isinstance(outcome, Unknown):
            return NotRun(Refusal.no_host, outcome.retry_after)
        return outcome or NotRun(Refusal.unreachable)

    async def _ask(self, work: Work, due: float, ticket: str) -> Outcome:
        left = due - self._clock()
        if left <= 0:
            return Unknown(Doubt.expired) if ticket else NotRun(Refusal.expired)
        headers = _headers(work, left, ticket)

        async def ask(url: str) -> Outcome:
            return await self._exchange(work, url, headers)

        try:
            async with asyncio.timeout(left):
                outcome = await self._reach(ask)
        except TimeoutError:
            return Unknown(Doubt.expired)
        except (aiohttp.ClientError, OSError):
            return Unknown(Doubt.lost)
        if outcome is not None:
            return outcome
        # Nothing was sent, but an earlier copy of a ticket may have been.
        if ticket:
            return Unknown(Doubt.unreachable)
        return NotRun(Refusal.unreachable)

    async def _reach(
        self,
        call: Callable[[str], Awaitable[ResultT]],
    ) -> ResultT | None:
        """Call with the first entry that takes a connection, if any does."""
        for entry in self._order():
            try:
                result = await call(entry.url)
            except aiohttp.ClientConnectorError:
                entry.closed_until = self._clock() + entry.backoff.next_pause()
                continue
            entry.backoff.reset()
            entry.closed_until = 0
            return result
        return None

    def _order(self) -> list['_Entry']:
        """Return the entries at random, those that were closed just now last."""
        now = self._clock()
        mixed = self._rng.sample(self._entries, len(self._entries))
        return sorted(mixed, key=lambda entry: entry.closed_until > now)

    async def _exchange(
        self,
        work: Work,
        url: str,
        headers: Mapping[str, str],
    ) -> Outcome:
        async with self._open().request(
            work.method,
            f'{url}{work.path}',
            data=work.body or None,
            headers=headers,
            allow_redirects=False,
        ) as answer:
            body = await answer.read()
            told = answer.headers.get(OUTCOME_HEADER)
            if told == 'answered':
                return Reply(answer.status, answer.headers, body)
            return _read_problem(answer, body)

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=None),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session


def _headers(work: Work, left: float, ticket: str) -> dict[str, str]:
    headers = {
        **work.headers,
        KEY_HEADER: work.key,
        DEADLINE_HEADER: f'{left:.3f}',
        IDEMPOTENT_HEADER: str(work.idempotent).lower(),
    }
    return {**headers, TICKET_HEADER: ticket} if ticket else headers


def _settle(doubt: Unknown, latest: Outcome) -> Outcome:
    """Return what is known of a ticket after doubt and a later outcome.

    Only the ticket's host can say that no copy of it ran or will run; an
    entry that refused a copy speaks of that copy alone.
    """
    if isinstance(latest, NotRun) and latest.reason not in _SAID_BY_HOST:
        return doubt
    return latest


def _read_problem(
    answer: aiohttp.ClientResponse,
    body: bytes,
) -> NotRun | Unknown:
    """Read a problem document; what cannot be read is doubt."""
    retry_after: float | None = None
    with contextlib.suppress(ValueError, KeyError):
        retry_after = float(answer.headers['Retry-After'])
    try:
        problem = json.loads(body)
        if problem['outcome'] == 'not-run':
            return NotRun(Refusal(problem['reason']), retry_after)
        return Unknown(Doubt(problem['reason']), retry_after)
    except (ValueError, KeyError, TypeError):
        return Unknown(Doubt.malformed, retry_after)
