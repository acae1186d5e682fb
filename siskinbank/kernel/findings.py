"""Findings: what is wrong in operators' input, each with its place."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

__all__ = ('Finding', 'Findings', 'Place')


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Where something was written."""

    file: str
    line: int = 1
    path: str = ''

    def __str__(self) -> str:
        """Return ``FILE:LINE: path``."""
        prefix = f'{self.file}:{self.line}'
        return f'{prefix}: {self.path}' if self.path else prefix


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One thing that is wrong, and what would be right."""

    place: Place
    wrong: str
    right: str

    def __str__(self) -> str:
        """Return ``FILE:LINE: path: what is wrong; what would be right``."""
        return f'{self.place}: {self.wrong}; {self.right}'


@dataclass(slots=True)
class Findings:
    """A list that collects findings, so that all are reported together."""

    _found: list[Finding] = field(default_factory=list)

    def __iter__(self) -> Iterator[Finding]:
        """Go through the findings by place."""
        return iter(sorted(set(self._found)))

    def __len__(self) -> int:
        """Return the number of different findings."""
        return len(set(self._found))

    def add(self, place: Place, wrong: str, right: str) -> None:
        """Note one finding."""
        self._found.append(Finding(place, wrong, right))

    def extend(self, others: Iterable[Finding]) -> None:
        """Take over findings from elsewhere."""
        self._found.extend(others)
