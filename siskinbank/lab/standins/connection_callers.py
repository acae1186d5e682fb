"""Callers that open plain TCP connections to the entries."""

import asyncio
import itertools
import time

from siskinbank.config.site import Address
from siskinbank.lab.standins.report import (
    FlowReport,
    FlowResult,
)

__all__ = ('ConnectionCallers',)

_INTERVAL_SECONDS = 0.2
_ANSWER_TIMEOUT_SECONDS = 5


class ConnectionCallers:
    """Keeps TCP connections open and checks each answer."""

    def __init__(self) -> None:
        """Initialize callers without flows."""
        self.reports: list[FlowReport] = []

    async def run_flow(self, entry: Address, seconds: float) -> None:
        """Keep one connection open for ``seconds``."""
        label = '{0}:{1}'.format(*entry)
        report = FlowReport('tcp', opened_at=time.time(), entry=label)
        self.reports.append(report)
        try:
            reader, writer = await asyncio.open_connection(*entry)
        except OSError:
            report.result = FlowResult.refused
            return
        try:
            report.result = await self._send_lines(
                reader, writer, report, seconds
            )
        except (OSError, TimeoutError):
            report.result = FlowResult.silent
        finally:
            report.ended_at = time.time()
            writer.close()

    async def _send_lines(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        report: FlowReport,
        seconds: float,
    ) -> FlowResult:
        deadline = time.time() + seconds
        for number in itertools.count():
            if time.time() >= deadline:
                return FlowResult.whole
            line = f'{number}\n'.encode()
            writer.write(line)
            async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
                answer = await reader.readline()
            if not answer:
                return FlowResult.silent if report.host else FlowResult.refused
            host, _space, echoed = answer.partition(b' ')
            if echoed != line:
                return FlowResult.moved
            report.host = host.decode()
            await asyncio.sleep(_INTERVAL_SECONDS)
        return FlowResult.whole
