"""Tests of the public library: imports, documentation and examples."""

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
#: Packages that embedding applications must not have to load.
HEAVY = ('aiohttp', 'click', 'aiomisc', 'cryptography', 'uvloop')
#: Packages that only the dissemination of configuration may load.
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


class TestPublicLibrary(unittest.TestCase):
    """The public names and their documentation."""

    def test_no_heavy_imports(self) -> None:
        """All names together load none of the daemons' libraries."""
        self.assertEqual(run('-c', LOAD_ALL), '[]\n[]\n')

    def test_unknown_name(self) -> None:
        """An unknown name raises AttributeError."""
        with self.assertRaises(AttributeError):
            coordination.Absent  # noqa: B018

    def test_page_and_examples_agree(self) -> None:
        """All examples are on the page, with the output that they print."""
        page = (ROOT / 'docs' / 'LIBRARY.md').read_text()
        outputs = dict(OUTPUT.findall(page))
        self.assertEqual(set(outputs), {path.stem for path in EXAMPLES})
        for path in EXAMPLES:
            with self.subTest(path=path.name):
                self.assertEqual(run(str(path)), outputs[path.stem])

    def test_page_lists_every_name(self) -> None:
        """The page documents every public name."""
        page = (ROOT / 'docs' / 'LIBRARY.md').read_text()
        for name in coordination.__all__:
            with self.subTest(name=name):
                self.assertIn(f'`{name}`', page)
