"""Callers with plain connections and HTTP requests to the entries."""

import asyncio
import itertools
import random
import time

from siskinbank.config.site import Address
from siskinbank.coordination.client import Reply, RequestClient, Work
from siskinbank.lab.standins.report import (
    FlowReport,
    FlowResult,
    RequestReport,
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

    def __init__(self, urls: list[str], seed: int) -> None:
        """Send through the entries at ``urls``; a service has one port."""
        rng = random.Random(seed)
        by_port: dict[str, list[str]] = {}
        for url in urls:
            by_port.setdefault(url.rpartition(':')[2], []).append(url)
        self._clients = [
            RequestClient(entries, rng) for entries in by_port.values()
        ]
        self._seed = seed
        self._numbers = itertools.count()
        self.reports: list[RequestReport] = []

    async def run_request(self) -> None:
        """Send one request and note its outcome."""
        number = next(self._numbers)
        key = f'{self._seed}-{number}'
        report = RequestReport(key, number % 2 == 0, 'unknown')
        self.reports.append(report)
        work = Work(
            'POST',
            f'/match?pause={_PAUSE_SECONDS}',
            f'match {key}'.encode(),
            report.idempotent,
            _DEADLINE_SECONDS,
            key=key,
        )
        client = self._clients[number // 2 % len(self._clients)]
        outcome = await client.send(work)
        if isinstance(outcome, Reply):
            report.outcome = _judge(work, outcome)
        else:
            report.outcome = outcome.tag
            report.reason = outcome.reason.value

    async def close(self) -> None:
        """Close the connections."""
        for client in self._clients:
            await client.close()


def _judge(work: Work, reply: Reply) -> str:
    """Return whether an answer is whole and belongs to its request."""
    same = reply.body == work.body and reply.headers.get('X-Key') == work.key
    return 'whole' if same else 'crossed'
