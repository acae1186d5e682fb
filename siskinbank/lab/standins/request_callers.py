"""Callers that send HTTP requests to the entries."""

import itertools
import random
import time

import aiohttp

from siskinbank.coordination.client import Reply, RequestClient, Work
from siskinbank.lab.standins.report import RequestReport
from siskinbank.wire.headers import (
    DEADLINE_HEADER,
    IDEMPOTENT_HEADER,
    KEY_HEADER,
)

__all__ = ('RequestCallers',)

_DEADLINE_SECONDS = 5
_PAUSE_SECONDS = 0.02


class RequestCallers:
    """Sends requests and records answers, refusals and unknown outcomes.

    Idempotent requests, and those that are sent again, are plain HTTP
    requests as any caller sends them. The others are sent by the library's
    client, with a ticket.
    """

    def __init__(
        self,
        urls: list[str],
        seed: int,
        resent: float = 0,
    ) -> None:
        """Initialize callers of the entries at ``urls``.

        Args:
            urls: URLs of the services on the entries.
            seed: seed of the random choices.
            resent: share of the non-idempotent requests that are sent a
                second time with the same key.
        """
        self._resent = resent
        self._urls = urls
        self._rng = random.Random(seed)
        self._seed = seed
        self._numbers = itertools.count()
        self._session: aiohttp.ClientSession | None = None
        self._clients = {
            port: RequestClient(self._service_urls(port), self._rng)
            for port in sorted(set(map(_port, urls)))
        }
        self.reports: list[RequestReport] = []

    async def run_request(self) -> None:
        """Send one request and record its outcome."""
        number = next(self._numbers)
        idempotent = number % 2 == 0
        key = f'{self._seed}-{number}'
        report = RequestReport(key, idempotent, 'unknown')
        report.started_at = time.time()
        self.reports.append(report)
        resends = not idempotent and self._rng.random() < self._resent
        service = _port(self._rng.choice(self._urls))
        if idempotent or resends:
            await self._send_plain(service, report, resends=resends)
        else:
            await self._send_with_ticket(service, report)
        report.ended_at = time.time()

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
        for client in self._clients.values():
            await client.close()

    def _service_urls(self, port: str) -> list[str]:
        """Return the URLs of one service in random order."""
        urls = [url for url in self._urls if _port(url) == port]
        return self._rng.sample(urls, len(urls))

    async def _send_with_ticket(
        self, service: str, report: RequestReport
    ) -> None:
        work = Work(
            'POST',
            f'/match?pause={_PAUSE_SECONDS}',
            f'match {report.key}'.encode(),
            deadline=_DEADLINE_SECONDS,
            key=report.key,
        )
        outcome = await self._clients[service].send(work)
        if isinstance(outcome, Reply):
            key = outcome.headers.get('X-Key', '')
            report.outcome = _check_answer(report, outcome.body, key)
        else:
            report.outcome = outcome.tag
            report.reason = outcome.reason.value

    async def _send_plain(
        self,
        service: str,
        report: RequestReport,
        *,
        resends: bool,
    ) -> None:
        for url in self._service_urls(service):
            report.entry = url
            if await self._try_entry(url, report):
                if not resends:
                    return
                report.doubted = True
                resends = False

    async def _try_entry(self, url: str, report: RequestReport) -> bool:
        """Send the request; return False if another entry is to be tried."""
        try:
            await self._post(url, report)
        except aiohttp.ClientConnectorError:
            return False
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            report.reason = type(error).__name__
            report.doubted = True
            report.lost_at = url
            return not report.idempotent
        return True

    async def _post(self, url: str, report: RequestReport) -> None:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        body = f'match {report.key}'
        headers = {
            KEY_HEADER: report.key,
            DEADLINE_HEADER: str(_DEADLINE_SECONDS),
            IDEMPOTENT_HEADER: str(report.idempotent).lower(),
        }
        async with self._session.post(
            f'{url}/match?pause={_PAUSE_SECONDS}',
            data=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=_DEADLINE_SECONDS * 2),
        ) as answer:
            received = await answer.read()
            if answer.content_type == 'application/problem+json':
                problem = await answer.json(content_type=None)
                report.outcome = problem['outcome']
                report.reason = problem['reason']
            else:
                key = answer.headers.get('X-Key', '')
                report.outcome = _check_answer(report, received, key)


def _port(url: str) -> str:
    """Return the port of a URL, which identifies the service."""
    return url.rpartition(':')[2]


def _check_answer(report: RequestReport, body: bytes, key: str) -> str:
    """Return ``whole`` if the answer is to this request, else ``crossed``."""
    matches = body == f'match {report.key}'.encode() and key == report.key
    return 'whole' if matches else 'crossed'
