"""The course of a drill, with what broke an invariant."""

import time

__all__ = ('DrillTrace',)


class DrillTrace:
    """Events of a drill with the times of the clock that logs use.

    Attributes:
        lines: the events as text.
        violations: what broke an invariant.
    """

    def __init__(self) -> None:
        """Create an empty trace."""
        self.lines: list[str] = []
        self.violations: list[str] = []

    def note(self, event: str, **fields: object) -> None:
        """Add an event."""
        words = [f'{name}={fields[name]}' for name in fields]
        self.lines.append(' '.join((f'{time.time():.3f}', event, *words)))

    def violate(self, text: str) -> None:
        """Add a violation."""
        self.note(f'VIOLATED: {text}')
        self.violations.append(text)
