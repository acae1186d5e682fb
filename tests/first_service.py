"""Base class of tests with the README's first service and its processes."""

import functools
import json
import os
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from http.server import SimpleHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.request import Request, urlopen

from siskinbank.lab.ports import free_ports

__all__ = ('LOOPBACK', 'FirstServiceCase', 'fetch_with_retries')

ROOT = Path(__file__).parents[1]
KEYS = f'1:{"cd" * 32}'
LOOPBACK = '127.0.0.1'
_ATTEMPTS = 100
_RETRY_SECONDS = 0.1


def fetch(url: str, method: str = 'GET', body: bytes | None = None) -> bytes:
    """Send a request and return the body of the answer."""
    request = Request(url, data=body, method=method)
    with urlopen(request, timeout=10) as answer:
        return bytes(answer.read())


def fetch_with_retries(url: str) -> bytes:
    """Fetch a URL, with retries until the processes have started."""
    for _ in range(_ATTEMPTS):
        try:
            return fetch(url)
        except OSError:
            time.sleep(_RETRY_SECONDS)
    return fetch(url)


class FirstServiceCase(unittest.TestCase):
    """An HTTP server as upstream, a platform, a sidecar and an entry."""

    page_bytes = 500_000

    def setUp(self) -> None:
        """Start an upstream, a platform, a sidecar and an entry."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.page = b'hello' * (self.page_bytes // 5)
        Path(directory.name, 'page').write_bytes(self.page)
        self.ports = free_ports(9)
        self._start_upstream(directory.name)
        platform, bind, admin, entry, entry_admin = self.ports[1:6]
        self.start('lab', 'platform', f'--bind={LOOPBACK}:{platform}')
        platform_url = f'http://{LOOPBACK}:{platform}'
        fetch_with_retries(f'{platform_url}/v1/manifest')
        fetch(f'{platform_url}/admin/configuration', 'PUT', self._published())
        common = (f'--platform={platform_url}', '--data-centre=here')
        upstream = f'{LOOPBACK}:{self.ports[0]}'
        self.sidecar = self.start(
            'sidecar',
            '--name=first-1',
            f'--bind={LOOPBACK}:{bind}',
            f'--admin={LOOPBACK}:{admin}',
            f'--upstream-http=http://{upstream}',
            f'--upstream-tcp={upstream}',
            *common,
        )
        self.entry = self.start(
            'entry',
            '--name=entry-1',
            f'--bind={LOOPBACK}:{entry}',
            f'--admin={LOOPBACK}:{entry_admin}',
            f'--fou={LOOPBACK}:{self.ports[8]}',
            f'--listen={LOOPBACK}',
            *common,
        )

    def start(self, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a process, which is ended after the test."""
        process = subprocess.Popen(
            self._command(*arguments),
            cwd=ROOT,
            env={**os.environ, 'SISKINBANK_KEYS': KEYS},
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait, 10)
        self.addCleanup(process.terminate)
        return process

    def _published(self) -> bytes:
        document = (ROOT / 'examples' / 'first.yaml').read_text(
            encoding='utf-8'
        )
        for number, port in (
            ('9200', self.ports[2]),
            ('9400', self.ports[6]),
            ('9401', self.ports[7]),
        ):
            document = document.replace(number, str(port))
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, 'first.yaml')
            path.write_text(document, encoding='utf-8')
            rendered = subprocess.run(
                self._command('render', str(path), '--publish', '1'),
                capture_output=True,
                check=True,
                cwd=ROOT,
            )
        json.loads(rendered.stdout)
        return rendered.stdout

    def _start_upstream(self, directory: str) -> None:
        handler = functools.partial(_QuietHandler, directory=directory)
        server = _Upstream((LOOPBACK, self.ports[0]), handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)

    def _command(self, *arguments: str) -> list[str]:
        return [sys.executable, '-m', 'siskinbank', *arguments]


class _Upstream(ThreadingHTTPServer):
    request_queue_size = 128


class _QuietHandler(SimpleHTTPRequestHandler):
    def log_message(self, *_args: object) -> None:
        """Write nothing."""
