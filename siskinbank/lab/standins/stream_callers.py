"""Callers with plain connections and HTTP requests to the entries."""

import asyncio
import itertools
import random
import time

import aiohttp

from siskinbank.config.site import Address
from siskinbank.lab.standins.report import (
    FlowReport,
    FlowResult,
    RequestReport,
)
from siskinbank.wire.headers import (
    DEADLINE_HEADER,
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    TICKET_HEADER,
)

__all__ = ('ConnectionCallers', 'RequestCallers')

_PACE_SECONDS = 0.2
_ANSWER_SECONDS = 5
_DEADLINE_SECONDS = 5
_PAUSE_SECONDS = 0.02


class ConnectionCallers:
    """Keeps plain connections open and checks each answer."""

    def __init__(self) -> None:
        """Start without flows."""
        self.reports: list[FlowReport] = []

    async def run_flow(self, entry: Address, seconds: float) -> None:
        """Keep one connection open for a while."""
        label = '{0}:{1}'.format(*entry)
        report = FlowReport('tcp', opened_at=time.time(), entry=label)
        self.reports.append(report)
        try:
            reader, writer = await asyncio.open_connection(*entry)
        except OSError:
            report.result = FlowResult.refused
            return
        try:
            report.result = await self._talk(reader, writer, report, seconds)
        except (OSError, TimeoutError):
            report.result = FlowResult.silent
        finally:
            report.ended_at = time.time()
            writer.close()

    async def _talk(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        report: FlowReport,
        seconds: float,
    ) -> FlowResult:
        until = time.time() + seconds
        for number in itertools.count():
            if time.time() >= until:
                return FlowResult.whole
            line = f'{number}\n'.encode()
            writer.write(line)
            async with asyncio.timeout(_ANSWER_SECONDS):
                answer = await reader.readline()
            if not answer:
                return FlowResult.silent if report.host else FlowResult.refused
            host, _space, echoed = answer.partition(b' ')
            if echoed != line:
                return FlowResult.moved
            report.host = host.decode()
            await asyncio.sleep(_PACE_SECONDS)
        return FlowResult.whole


class RequestCallers:
    """Sends requests and tells whole answers from refusals and doubt."""

    def __init__(
        self,
        urls: list[str],
        seed: int,
        resent: float = 0,
    ) -> None:
        """Send to the entries at ``urls``, a share ``resent`` twice.

        Only requests that are not idempotent are sent again, with their
        ticket.
        """
        self._resent = resent
        self._urls = urls
        self._rng = random.Random(seed)
        self._seed = seed
        self._numbers = itertools.count()
        self._session: aiohttp.ClientSession | None = None
        self.reports: list[RequestReport] = []

    async def run_request(self) -> None:
        """Send one request and note its outcome."""
        number = next(self._numbers)
        idempotent = number % 2 == 0
        key = f'{self._seed}-{number}'
        report = RequestReport(key, idempotent, 'unknown')
        report.started_at = time.time()
        self.reports.append(report)
        resends = not idempotent and self._rng.random() < self._resent
        urls = self._entries_of_one_service()
        ticket = '' if idempotent else await self._take_ticket(urls, key)
        if not idempotent and not ticket:
            report.outcome = 'not-run'
            report.reason = 'no-ticket'
            urls = []
        for url in urls:
            report.entry = url
            if await self._try(url, report, ticket):
                if not resends:
                    break
                report.doubted = True
                resends = False
        report.ended_at = time.time()

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _entries_of_one_service(self) -> list[str]:
        """Return the URLs of one service, in any order."""
        service = self._rng.choice(self._urls).rpartition(':')[2]
        urls = [url for url in self._urls if url.endswith(f':{service}')]
        return self._rng.sample(urls, len(urls))

    async def _take_ticket(self, urls: list[str], key: str) -> str:
        """Return a ticket from the first entry that gives one, else none."""
        headers = {KEY_HEADER: key, TICKET_HEADER: 'new'}
        for url in urls:
            try:
                async with self._open().post(
                    f'{url}/match',
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=_DEADLINE_SECONDS),
                ) as answer:
                    ticket = answer.headers.get(TICKET_HEADER, '')
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            if ticket:
                return ticket
        return ''

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    async def _try(self, url: str, report: RequestReport, ticket: str) -> bool:
        """Return whether the request is done with."""
        try:
            await self._ask(url, report, ticket)
        except aiohttp.ClientConnectorError:
            return False
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            report.reason = type(error).__name__
            report.doubted = True
            report.lost_at = url
            return not report.idempotent
        return True

    async def _ask(self, url: str, report: RequestReport, ticket: str) -> None:
        body = f'match {report.key}'
        headers = {
            KEY_HEADER: report.key,
            DEADLINE_HEADER: str(_DEADLINE_SECONDS),
            IDEMPOTENT_HEADER: str(report.idempotent).lower(),
        }
        if ticket:
            headers[TICKET_HEADER] = ticket
        async with self._open().post(
            f'{url}/match?pause={_PAUSE_SECONDS}',
            data=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=_DEADLINE_SECONDS * 2),
        ) as answer:
            text = await answer.text()
            if answer.content_type == 'application/problem+json':
                problem = await answer.json(content_type=None)
                report.outcome = problem['outcome']
                report.reason = problem['reason']
            elif text == body and answer.headers.get('X-Key') == report.key:
                report.outcome = 'whole'
            else:
                report.outcome = 'crossed'
