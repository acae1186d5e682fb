"""What a case sends, gets answered and runs, for record.txt."""

import time
from pathlib import Path


class Record:
    """Lines with the seconds since the start of the case."""

    def __init__(self) -> None:
        """Start the clock of the case."""
        self.started = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def note(self, who: str, what: str, **fields: object) -> float:
        """Add a line; return its time."""
        now = self.now()
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._lines.append(f'{now:8.3f} {who} {what} {text}'.rstrip())
        return now

    def write(self, path: Path) -> None:
        """Write all lines."""
        path.write_text('\n'.join(self._lines) + '\n')
