"""Tests of the upstream's health checks, on loopback."""

import socket
import unittest

from aiohttp import web

from siskinbank.admission.health_monitor import Health, HealthMonitor, Verdict
from siskinbank.kernel.clock import FakeClock
from siskinbank.lab.standins.health import HealthEndpoint, HealthMode
from siskinbank.sidecar.health_checks import parse_report, probe, read_report


class TestHealthChecks(unittest.IsolatedAsyncioTestCase):
    """Reports and probes of an upstream."""

    async def asyncSetUp(self) -> None:
        """Serve a stand-in health endpoint."""
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
        """Stop the stand-in endpoint."""
        await self.runner.cleanup()

    async def test_hostile_reports(self) -> None:
        """Values that JSON allows but Python does not convert are ignored."""
        uptime = b'{"uptime": %s}' % (b'9' * 400)
        for raw in (b'[' * 60_000, uptime):
            report = parse_report(200, raw)
            self.assertEqual(
                (report.health, report.uptime), (Health.good, None)
            )

    async def test_modes(self) -> None:
        """Each mode of the endpoint gives the matching health."""
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

    async def test_restart_is_detected(self) -> None:
        """A new incarnation of the upstream is detected at once."""
        verdicts: list[Verdict] = []
        health_monitor = HealthMonitor(FakeClock(), verdicts.append, 60)
        health_monitor.note_report(await read_report(self.url))
        self.endpoint.restart()
        health_monitor.note_report(await read_report(self.url))
        self.assertEqual(verdicts, [Verdict.cold])

    async def test_probe(self) -> None:
        """Refused connections mark the upstream as unreachable."""
        verdicts: list[Verdict] = []
        health_monitor = HealthMonitor(FakeClock(), verdicts.append, 60)
        await probe(self.address, health_monitor)
        await self.runner.cleanup()
        for _ in range(3):
            await probe(self.address, health_monitor)
        self.assertTrue(health_monitor.unreachable)
