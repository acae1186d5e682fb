"""Tests of the library face: its imports, its page and its examples."""

import re
import subprocess
import sys
import unittest
from pathlib import Path

from siskinbank import coordination

ROOT = Path(__file__).parents[2]
EXAMPLES = sorted((ROOT / 'examples' / 'library').glob('*.py'))
OUTPUT = re.compile(
    '`examples/library/([a-z]+).py` prints:\n\n```\n(.*?)```', re.S
)
#: Nobody who embeds a part should have to load these.
HEAVY = ('aiohttp', 'click', 'aiomisc', 'cryptography', 'uvloop')
#: What only the dissemination may load besides.
MODELS = ('pydantic', 'prometheus_client')
DISSEMINATION = ('DocumentStore', 'Gossip', 'Identity', 'Manifest', 'Metrics')
LOAD_ALL = f"""
import sys
from siskinbank import coordination
assert 'siskinbank.kernel.timers' not in sys.modules
for name in set(coordination.__all__) - set({DISSEMINATION!r}):
    getattr(coordination, name)
print([name for name in {HEAVY + MODELS!r} if name in sys.modules])
for name in {DISSEMINATION!r}:
    getattr(coordination, name)
print([name for name in {HEAVY!r} if name in sys.modules])
"""


def run(*arguments: str) -> str:
    """Return what a Python program prints."""
    done = subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=30,
        check=True,
    )
    return done.stdout


class TestFace(unittest.TestCase):
    """What others can rely on."""

    def test_light(self) -> None:
        """All parts together load none of the daemons' libraries."""
        self.assertEqual(run('-c', LOAD_ALL), '[]\n[]\n')

    def test_unknown_name(self) -> None:
        """A misspelled name is an attribute error, as everywhere."""
        with self.assertRaises(AttributeError):
            coordination.Absent  # noqa: B018

    def test_page_and_examples_agree(self) -> None:
        """Each example prints what the page says, and each is on the page."""
        page = (ROOT / 'docs' / 'LIBRARY.md').read_text()
        told = dict(OUTPUT.findall(page))
        self.assertEqual(set(told), {path.stem for path in EXAMPLES})
        for path in EXAMPLES:
            with self.subTest(path=path.name):
                self.assertEqual(run(str(path)), told[path.stem])

    def test_page_names_every_part(self) -> None:
        """No part is left without a word."""
        page = (ROOT / 'docs' / 'LIBRARY.md').read_text()
        for name in coordination.__all__:
            with self.subTest(name=name):
                self.assertIn(f'`{name}`', page)
