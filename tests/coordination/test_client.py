"""Tests of the client for requests."""

import asyncio
import random
import unittest

from siskinbank.coordination.client import Reply, RequestClient, Work
from siskinbank.kernel.outcomes import NotRun, Unknown
from siskinbank.lab.request_upstream import Behaviour
from tests.request_case import running_rig

BODY = b'shade=7'


class TestRequestClient(unittest.IsolatedAsyncioTestCase):
    """Tickets, retries and outcomes."""

    async def test_answers(self) -> None:
        """Idempotent and other work is answered despite an unreachable entry."""
        async with running_rig(entries=2, hosts=2) as rig:
            urls = ['http://127.0.0.1:1', *rig.urls()]
            async with RequestClient(urls, random.Random(1)) as client:
                for number in range(10):
                    work = Work('POST', '/match', BODY, number % 2 == 0)
                    outcome = await client.send(work)
                    assert isinstance(outcome, Reply)
                    self.assertEqual(outcome.body, BODY)

    async def test_new_ticket_after_refusal(self) -> None:
        """After a refusal the work is tried with a new ticket."""
        async with running_rig(entries=1, hosts=2) as rig:
            await rig.hosts['matcher-1'].upstream.stop()
            async with RequestClient(rig.urls(), random.Random(1)) as client:
                outcomes = [
                    await client.send(Work('POST', '/match', BODY))
                    for _ in range(12)
                ]
            upstream = rig.hosts['matcher-2'].upstream
            answered = sum(isinstance(got, Reply) for got in outcomes)
            self.assertGreaterEqual(answered, 1)
            self.assertEqual(upstream.arrivals, answered)
            self.assertFalse(
                [got for got in outcomes if isinstance(got, Unknown)],
            )

    async def test_unknown_outcome_is_final(self) -> None:
        """Work that may have run is not run again."""
        async with running_rig(entries=1, hosts=2) as rig:
            upstreams = [host.upstream for host in rig.hosts.values()]
            for upstream in upstreams:
                upstream.behaviour = Behaviour.drop
            async with RequestClient(rig.urls()) as client:
                outcome = await client.send(Work('POST', '/match', BODY))
            self.assertIsInstance(outcome, Unknown)
            arrivals = sum(server.arrivals for server in upstreams)
            self.assertEqual(arrivals, 1)

    async def test_ticket_is_resent_after_cut_link(self) -> None:
        """The same ticket is sent again when the link to its host was cut."""
        async with running_rig(entries=2, hosts=1) as rig:
            host = rig.hosts['matcher-1']
            async with RequestClient(rig.urls(), random.Random(1)) as client:
                host.link.pause()
                work = Work('POST', '/match', BODY, key='k')
                sending = asyncio.create_task(client.send(work))
                await asyncio.sleep(0.05)
                host.link.cut()
                host.link.resume()
                outcome = await sending
            self.assertNotIsInstance(outcome, NotRun)
            self.assertLessEqual(host.upstream.runs['k'], 1)

    async def test_no_entry_reachable(self) -> None:
        """Without a reachable entry the work has not run."""
        async with RequestClient(['http://127.0.0.1:1']) as client:
            work = Work('POST', '/match', BODY, deadline=1)
            outcome = await client.send(work)
        self.assertIsInstance(outcome, NotRun)
