"""Run all tests with nose2; forgive only what KNOWN-RED.txt lists."""

import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import nose2

_ROOT = Path(__file__).resolve().parent.parent
_KNOWN = _ROOT / 'KNOWN-RED.txt'
_FIELD = 'test:'


@dataclass(slots=True)
class Tally:
    """What the runner reported: a nose2 plug-in that only listens."""

    started: set[str] = field(default_factory=set)
    skipped: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)

    def startTest(self, event: Any) -> None:  # noqa: N802
        """Note a test that starts."""
        self.started.add(event.test.id())

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Note how a test, or one case of it, ended."""
        name = event.test.id().split(' ')[0]
        if event.outcome == 'skipped':
            self.skipped.add(name)
        elif event.outcome in {'failed', 'error'} or event.exc_info:
            self.started.add(name)
            self.failed.add(name)


def known_red(text: str) -> set[str]:
    """Return the test names in a KNOWN-RED list."""
    return {
        line.removeprefix(_FIELD).strip()
        for line in text.splitlines()
        if line.startswith(_FIELD)
    }


def verdict(tally: Tally, known: set[str]) -> tuple[list[str], int]:
    """Return the closing lines and the exit code."""
    failed = tally.failed
    lines = [f'known red: {name}' for name in sorted(failed & known)]
    lines.extend(
        f'listed in KNOWN-RED.txt, but did not fail: {name}'
        for name in sorted(known - failed)
    )
    lines.extend(f'failed: {name}' for name in sorted(failed - known))
    passed = len(tally.started - tally.failed - tally.skipped)
    lines.append(f'{passed} passed, {len(failed)} failed')
    return lines, 1 if failed - known or not passed else 0


def main() -> None:
    """Run the tests and exit."""
    tally = Tally()
    program = nose2.discover(
        exit=False,
        argv=['nose2', '--config', str(_ROOT / 'unittest.cfg'), *sys.argv[1:]],
        extraHooks=[('startTest', tally), ('testOutcome', tally)],
    )
    known = known_red(_KNOWN.read_text(encoding='utf-8'))
    lines, code = verdict(tally, known)
    sys.stderr.flush()
    sys.stdout.write('{0}\n'.format('\n'.join(lines)))
    agrees = bool(program.result.wasSuccessful()) == (not tally.failed)
    sys.exit(code if agrees else 1)


if __name__ == '__main__':
    main()
