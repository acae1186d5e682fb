"""Tests of the watch over an upstream, on loopback."""

import socket
import unittest

from aiohttp import web

from siskinbank.admission.judge import Health, UpstreamJudge, Verdict
from siskinbank.kernel.clock import FakeClock
from siskinbank.lab.standins.health import HealthEndpoint, HealthMode
from siskinbank.sidecar.watch import probe, read_report


class TestWatch(unittest.IsolatedAsyncioTestCase):
    """Whatever an endpoint does, a report comes back."""

    async def asyncSetUp(self) -> None:
        """Serve the stand-in's endpoint."""
        self.endpoint = HealthEndpoint()
        app = web.Application()
        self.endpoint.add_to(app)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        self.socket = socket.create_server(('127.0.0.1', 0))
        self.address = self.socket.getsockname()
        await web.SockSite(self.runner, self.socket).start()
        self.url = 'http://{0}:{1}/health'.format(*self.address)

    async def asyncTearDown(self) -> None:
        """Stop serving."""
        await self.runner.cleanup()

    async def test_modes(self) -> None:
        """Lies and hangs are told as what they are."""
        for mode, health in (
            (HealthMode.true, Health.good),
            (HealthMode.says_cold, Health.cold),
            (HealthMode.says_bad, Health.bad),
            (HealthMode.hangs, Health.silent),
        ):
            with self.subTest(mode):
                self.endpoint.mode = mode
                report = await read_report(self.url)
                self.assertIs(report.health, health)

    async def test_restart_shows(self) -> None:
        """A new incarnation is seen at once."""
        verdicts: list[Verdict] = []
        judge = UpstreamJudge(FakeClock(), verdicts.append, 60)
        judge.note_report(await read_report(self.url))
        self.endpoint.restart()
        judge.note_report(await read_report(self.url))
        self.assertEqual(verdicts, [Verdict.cold])

    async def test_probe(self) -> None:
        """A refused connection counts against the upstream."""
        verdicts: list[Verdict] = []
        judge = UpstreamJudge(FakeClock(), verdicts.append, 60)
        await probe(self.address, judge)
        await self.runner.cleanup()
        for _ in range(3):
            await probe(self.address, judge)
        self.assertTrue(judge.unreachable)
