"""A small client that sends requests through the entries.

It requests a ticket for work that may run only once, retries only where that
is safe, and pauses between tries for the time in Retry-After headers.
"""

import asyncio
import contextlib
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
from siskinbank.util import parse_json
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
_MAX_BACKOFF_SECONDS = 10
#: Unknown outcomes after which the same ticket is sent again to resolve them.
_RESEND_REASONS = frozenset((Doubt.lost, Doubt.unreachable, Doubt.unsettled))
#: Refusals of a ticket that only its host sends.
_HOST_REFUSALS = frozenset(
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
    """A complete answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    tag: str = 'answered'


Outcome = Reply | NotRun | Unknown
ResultT = TypeVar('ResultT')


@dataclass(frozen=True, slots=True)
class Work:
    """One request; ``deadline`` is in seconds from the time of sending.

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
    retry_at: float = 0


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
        """Initialize with the base URLs of the entries.

        Raises:
            ValueError: ``entries`` is empty.
        """
        if not entries:
            raise ValueError('at least one entry is needed')
        self._rng = rng or random.Random()
        self._entries = [
            _Entry(
                url.rstrip('/'),
                Backoff(cap=_MAX_BACKOFF_SECONDS, rng=self._rng),
            )
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

        ``NotRun`` means that it has not run and will not run; ``Unknown`` that
        it may have run, at most once if it is not idempotent.
        """
        self._budget.note_fresh()
        due = self._clock() + work.deadline
        if work.idempotent:
            return await self._send_idempotent(work, due)
        return await self._send_once(work, due)

    async def _send_idempotent(self, work: Work, due: float) -> Outcome:
        while True:
            outcome = await self._attempt(work, due, '')
            if isinstance(outcome, Reply) or not self._may_retry(outcome, due):
                return outcome
            await self._pause(outcome, due)

    async def _send_once(self, work: Work, due: float) -> Outcome:
        """Run with a ticket; request a new one when the ticket was fenced."""
        while True:
            ticket = await self._request_ticket(work, due)
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
        """Send one ticket until its outcome is known or cannot be resolved.

        A ticket may be sent again after an unknown outcome, as its host runs
        it at most once. A refusal of a later copy doesn't prove that a lost
        earlier copy did not run.
        """
        outcome = await self._attempt(work, due, ticket)
        while isinstance(outcome, Unknown):
            if outcome.reason not in _RESEND_REASONS:
                return outcome
            if not self._may_retry(outcome, due):
                return outcome
            await self._pause(outcome, due)
            outcome = _merge_outcomes(
                outcome, await self._attempt(work, due, ticket)
            )
        return outcome

    def _may_retry(self, outcome: NotRun | Unknown, due: float) -> bool:
        pause = outcome.retry_after or 0
        return self._clock() + pause < due and self._budget.take()

    async def _pause(self, outcome: NotRun | Unknown, due: float) -> None:
        """Wait for the Retry-After time and jitter, at most to the deadline."""
        pause = (outcome.retry_after or 0) + Backoff(rng=self._rng).next_pause()
        await asyncio.sleep(max(min(pause, due - self._clock()), 0))

    async def _request_ticket(self, work: Work, due: float) -> str | NotRun:
        headers = {KEY_HEADER: work.key, TICKET_HEADER: _NEW_TICKET}

        async def request(url: str) -> str | NotRun | Unknown:
            target = f'{url}{work.path}'
            async with self._open_session().post(
                target, headers=headers
            ) as answer:
                if answer.status == _OK and TICKET_HEADER in answer.headers:
                    return answer.headers[TICKET_HEADER]
                return _read_problem(answer, await answer.read())

        try:
            async with asyncio.timeout(due - self._clock()):
                outcome = await self._call_reachable_entry(request)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return NotRun(Refusal.unreachable)
        # Requesting a ticket runs nothing, so the work has not run.
        if isinstance(outcome, Unknown):
            return NotRun(Refusal.no_host, outcome.retry_after)
        return outcome or NotRun(Refusal.unreachable)

    async def _attempt(self, work: Work, due: float, ticket: str) -> Outcome:
        time_left = due - self._clock()
        if time_left <= 0:
            return Unknown(Doubt.expired) if ticket else NotRun(Refusal.expired)
        headers = _headers(work, time_left, ticket)

        async def attempt(url: str) -> Outcome:
            return await self._exchange(work, url, headers)

        try:
            async with asyncio.timeout(time_left):
                outcome = await self._call_reachable_entry(attempt)
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

    async def _call_reachable_entry(
        self,
        call: Callable[[str], Awaitable[ResultT]],
    ) -> ResultT | None:
        """Run a call with the URL of the first entry that is reachable.

        Returns:
            The result, or None if no entry is reachable.
        """
        for entry in self._ordered_entries():
            try:
                result = await call(entry.url)
            except aiohttp.ClientConnectorError:
                entry.retry_at = self._clock() + entry.backoff.next_pause()
                continue
            entry.backoff.reset()
            entry.retry_at = 0
            return result
        return None

    def _ordered_entries(self) -> list['_Entry']:
        """Return the entries in random order, those in back-off last."""
        now = self._clock()
        shuffled = self._rng.sample(self._entries, len(self._entries))
        return sorted(shuffled, key=lambda entry: entry.retry_at > now)

    async def _exchange(
        self,
        work: Work,
        url: str,
        headers: Mapping[str, str],
    ) -> Outcome:
        async with self._open_session().request(
            work.method,
            f'{url}{work.path}',
            data=work.body or None,
            headers=headers,
            allow_redirects=False,
        ) as answer:
            body = await answer.read()
            outcome_tag = answer.headers.get(OUTCOME_HEADER)
            if outcome_tag == 'answered':
                return Reply(answer.status, answer.headers, body)
            return _read_problem(answer, body)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=None),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session


def _headers(work: Work, time_left: float, ticket: str) -> dict[str, str]:
    headers = {
        **work.headers,
        KEY_HEADER: work.key,
        DEADLINE_HEADER: f'{time_left:.3f}',
        IDEMPOTENT_HEADER: str(work.idempotent).lower(),
    }
    return {**headers, TICKET_HEADER: ticket} if ticket else headers


def _merge_outcomes(earlier: Unknown, latest: Outcome) -> Outcome:
    """Merge an unknown outcome of a ticket with that of a later copy.

    Only the ticket's host knows that no copy of it ran or will run; the
    refusal of an entry is about that one copy.
    """
    if isinstance(latest, NotRun) and latest.reason not in _HOST_REFUSALS:
        return earlier
    return latest


def _read_problem(
    answer: aiohttp.ClientResponse,
    body: bytes,
) -> NotRun | Unknown:
    """Parse a problem document; an invalid one is an unknown outcome."""
    retry_after: float | None = None
    with contextlib.suppress(ValueError, KeyError):
        retry_after = float(answer.headers['Retry-After'])
    try:
        problem = parse_json(body)
        if problem['outcome'] == 'not-run':
            return NotRun(Refusal(problem['reason']), retry_after)
        return Unknown(Doubt(problem['reason']), retry_after)
    except (ValueError, KeyError, TypeError):
        return Unknown(Doubt.malformed, retry_after)
