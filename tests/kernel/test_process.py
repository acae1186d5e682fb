"""Tests of unexpected errors in a running process."""

import asyncio
import os
import signal
import socket
import unittest

import logbook

from siskinbank.kernel.process import ProcessContext, run_process
from siskinbank.peers.datagrams import open_udp


class TestUnexpectedErrors(unittest.TestCase):
    """A process logs an unexpected error and goes on."""

    def test_errors(self) -> None:
        """Timers, handlers of datagrams and callbacks go on after an error."""
        received: list[bytes] = []
        ticks: list[None] = []

        def fail_once() -> None:
            ticks.append(None)
            if len(ticks) == 1:
                raise KeyError('timer')

        def receive(datagram: bytes, _sender: object) -> None:
            received.append(datagram)
            if len(received) == 1:
                raise KeyError('datagram')

        async def start(process: ProcessContext) -> None:
            process.timers.every(0.01, fail_once)
            transport = await open_udp(('127.0.0.1', 0), receive)
            address = transport.get_extra_info('sockname')
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(b'1', address)
                sender.sendto(b'2', address)
            asyncio.get_running_loop().call_soon(self._fail)
            await asyncio.sleep(0.2)
            os.kill(os.getpid(), signal.SIGTERM)

        log = logbook.TestHandler()
        with log:
            self.assertEqual(run_process('entry', 'test', start), 0)
        self.assertEqual(received, [b'1', b'2'])
        self.assertGreater(len(ticks), 2)
        errors = {record.extra['fields'].get('error') for record in log.records}
        for cause in ('timer', 'datagram', 'callback'):
            self.assertIn(f"KeyError('{cause}')", errors)

    def _fail(self) -> None:
        raise KeyError('callback')
