"""Tests of listening sockets that are closed while callers connect."""

import asyncio
import socket
import unittest

from siskinbank.ingress.listening import accept_waiting, listen

_LOOPBACK = '127.0.0.1'
_CALLERS = 5


class TestAcceptWaiting(unittest.IsolatedAsyncioTestCase):
    """Callers before and after the start of a planned stop."""

    def setUp(self) -> None:
        """Open a listening socket."""
        self.sock = listen(_LOOPBACK, 0)
        self.addCleanup(self.sock.close)

    async def test_waiting_callers_are_accepted(self) -> None:
        """Guards against a reset of callers who wait in the backlog."""
        for _ in range(_CALLERS):
            self._connect(1)
        accepted: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(
            lambda _reader, writer: accepted.append(writer), sock=self.sock
        )
        await accept_waiting(self.sock)
        server.close()
        self.assertEqual(len(accepted), _CALLERS)
        for writer in accepted:
            writer.close()

    async def test_later_caller_is_not_connected(self) -> None:
        """Guards against a caller between the last accept and the close."""
        await accept_waiting(self.sock)
        with self.assertRaises(TimeoutError):
            self._connect(0.2)

    def _connect(self, timeout: float) -> None:
        caller = socket.create_connection(self.sock.getsockname(), timeout)
        self.addCleanup(caller.close)
