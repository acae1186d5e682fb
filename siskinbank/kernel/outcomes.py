"""Tagged outcomes of a request."""

from dataclasses import dataclass

from siskinbank.kernel.reasons import Doubt, Refusal

__all__ = ('Answered', 'NotRun', 'Outcome', 'Unknown')


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream answered, and the answer is whole."""

    status: int
    tag: str = 'answered'


@dataclass(frozen=True, slots=True)
class NotRun:
    """No upstream has run the request, and no copy of it will run."""

    reason: Refusal
    retry_after: float | None = None
    tag: str = 'not-run'


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; nobody can say."""

    reason: Doubt
    retry_after: float | None = None
    tag: str = 'unknown'


Outcome = Answered | NotRun | Unknown
