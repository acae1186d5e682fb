"""Findings: problems in operators' input, each with its location."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

__all__ = ('Finding', 'Findings', 'Place')


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """A location in a configuration file.

    Attributes:
        file: the name of the file.
        line: the line, counted from 1.
        path: the dotted path of the value in the document.
    """

    file: str
    line: int = 1
    path: str = ''

    def __str__(self) -> str:
        """Return ``FILE:LINE: path``."""
        prefix = f'{self.file}:{self.line}'
        return f'{prefix}: {self.path}' if self.path else prefix


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """A problem in a document, and how to correct it."""

    place: Place
    problem: str
    correction: str

    def __str__(self) -> str:
        """Return ``FILE:LINE: path: problem; correction``."""
        return f'{self.place}: {self.problem}; {self.correction}'


@dataclass(slots=True)
class Findings:
    """A collection of findings, so that all are reported together."""

    _found: list[Finding] = field(default_factory=list)

    def __iter__(self) -> Iterator[Finding]:
        """Iterate over the distinct findings, sorted by place."""
        return iter(sorted(set(self._found)))

    def __len__(self) -> int:
        """Return the number of distinct findings."""
        return len(set(self._found))

    def add(self, place: Place, problem: str, correction: str) -> None:
        """Add a finding."""
        self._found.append(Finding(place, problem, correction))

    def extend(self, others: Iterable[Finding]) -> None:
        """Add all findings of an iterable."""
        self._found.extend(others)
