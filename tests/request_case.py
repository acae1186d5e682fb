"""Base class and fixtures of the tests of the request path."""

import contextlib
import random
import unittest
from collections.abc import AsyncIterator

import aiohttp

from siskinbank.lab.request_rig import RequestRig, RigHost
from siskinbank.sidecar.primary_hosts import SETTLE_SECONDS
from siskinbank.wire.headers import (
    DEADLINE_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    TICKET_HEADER,
)

__all__ = ('Answer', 'RequestCase', 'running_rig')

Answer = tuple[str, bytes]


@contextlib.asynccontextmanager
async def running_rig(
    entries: int = 2,
    hosts: int = 2,
    slots: int = 3,
) -> AsyncIterator[RequestRig]:
    """Run a rig in which the primary hosts of keys are settled."""
    rig = RequestRig(random.Random(1), slots)
    await rig.start(entries, hosts)
    rig.clock_offset += SETTLE_SECONDS + 1
    try:
        yield rig
    finally:
        await rig.stop()


class RequestCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with an HTTP client session."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Open the session."""
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def post(
        self,
        url: str,
        body: bytes = b'body',
        key: str = '',
        ticket: str = '',
        deadline: float = 4,
        **headers: str,
    ) -> Answer:
        """Send a request; return its outcome and body.

        The outcome is ``lost`` if the connection was cut.
        """
        given = {DEADLINE_HEADER: str(deadline)}
        if key:
            given[KEY_HEADER] = key
        if ticket:
            given[TICKET_HEADER] = ticket
        for name, text in headers.items():
            given[name.replace('_', '-')] = text
        try:
            async with self.session.post(
                f'{url}/match',
                data=body,
                headers=given,
            ) as answer:
                got = await answer.read()
                return answer.headers.get(OUTCOME_HEADER, ''), got
        except aiohttp.ClientError:
            return 'lost', b''

    async def request_ticket(self, url: str, key: str = '') -> str:
        """Request a ticket and return it."""
        headers = {TICKET_HEADER: 'new', KEY_HEADER: key}
        if not key:
            headers.pop(KEY_HEADER)
        async with self.session.post(url, headers=headers) as answer:
            self.assertEqual(answer.status, 200)
            return answer.headers[TICKET_HEADER]

    def runs(self, rig: RequestRig, key: str) -> int:
        """Return how often a key ran on all hosts."""
        return sum(host.upstream.runs[key] for host in rig.hosts.values())

    def ran_at(self, rig: RequestRig, key: str) -> RigHost:
        """Return the host where a key ran."""
        return next(
            host for host in rig.hosts.values() if host.upstream.runs[key]
        )
