"""Tests of ``siskinbank keys``."""

import unittest

from click.testing import CliRunner

from siskinbank.commands.keys import command
from siskinbank.wire.keyfile import load_keys
from siskinbank.wire.keys import KeyRing


def run(*arguments: str) -> tuple[int, list[str]]:
    """Run the command; return the exit code and the words of its output."""
    runner = CliRunner()
    result = runner.invoke(command, arguments, standalone_mode=False)
    code = 2 if result.exception else result.return_value
    return code, result.output.split()


class TestKeys(unittest.TestCase):
    """Tests of created and rotated keys."""

    def test_rotation_steps_are_compatible(self) -> None:
        """Key rings of consecutive rotation steps accept each other."""
        first = run('make', '--number=255')[1][0]
        code, steps = run('rotate', first)
        self.assertEqual(code, 0)
        rings = [load_keys(text) for text in (first, *steps)]
        for before, after in zip(rings, rings[1:], strict=False):
            for sender, receiver in ((before, after), (after, before)):
                self.assertEqual(receiver.open(sender.seal(b'x')), b'x')
        last: KeyRing = rings[-1]
        self.assertIsNone(last.open(rings[0].seal(b'x')))

    def test_exit_codes(self) -> None:
        """Weak keys and malformed keys have different exit codes."""
        good = run('make')[1][0]
        for text, expected in (
            (good, 0),
            (f'1:{"ab" * 32}', 1),
            ('1:ab', 2),
            ('@/absent', 2),
        ):
            with self.subTest(text=text[:8]):
                code, words = run('check', text)
                self.assertEqual(code, expected)
                self.assertNotIn(text, words)
        self.assertEqual(run('rotate', f'{good},2:{"ab" * 32}')[0], 2)
