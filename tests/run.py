"""Run all tests with nose2; tolerate only failures in KNOWN-RED.txt."""

import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import nose2

_ROOT = Path(__file__).resolve().parent.parent
_KNOWN_RED_FILE = _ROOT / 'KNOWN-RED.txt'
_TEST_PREFIX = 'test:'


@dataclass(slots=True)
class ResultRecorder:
    """A nose2 plug-in that records the results of the run."""

    started: set[str] = field(default_factory=set)
    skipped: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)

    def startTest(self, event: Any) -> None:  # noqa: N802
        """Record the start of a test."""
        self.started.add(event.test.id())

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Record the outcome of a test or of a subtest."""
        name = event.test.id().split(' ')[0]
        if event.outcome == 'skipped':
            self.skipped.add(name)
        elif event.outcome in {'failed', 'error'} or event.exc_info:
            self.started.add(name)
            self.failed.add(name)


def parse_known_red(text: str) -> set[str]:
    """Return the names of the tests in a KNOWN-RED list."""
    return {
        line.removeprefix(_TEST_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(_TEST_PREFIX)
    }


def summarize(
    results: ResultRecorder, known: set[str]
) -> tuple[list[str], int]:
    """Return the lines of the summary and the exit code."""
    failed = results.failed
    lines = [f'known red: {name}' for name in sorted(failed & known)]
    lines.extend(
        f'listed in KNOWN-RED.txt, but did not fail: {name}'
        for name in sorted(known - failed)
    )
    lines.extend(f'failed: {name}' for name in sorted(failed - known))
    passed = len(results.started - results.failed - results.skipped)
    lines.append(f'{passed} passed, {len(failed)} failed')
    return lines, 1 if failed - known or not passed else 0


def main() -> None:
    """Run the tests and exit."""
    results = ResultRecorder()
    program = nose2.discover(
        exit=False,
        argv=['nose2', '--config', str(_ROOT / 'unittest.cfg'), *sys.argv[1:]],
        extraHooks=[('startTest', results), ('testOutcome', results)],
    )
    known = parse_known_red(_KNOWN_RED_FILE.read_text(encoding='utf-8'))
    lines, code = summarize(results, known)
    sys.stderr.flush()
    sys.stdout.write('{0}\n'.format('\n'.join(lines)))
    is_consistent = bool(program.result.wasSuccessful()) == (not results.failed)
    sys.exit(code if is_consistent else 1)


if __name__ == '__main__':
    main()
