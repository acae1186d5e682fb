"""The possible outcomes of a request."""

from dataclasses import dataclass

from siskinbank.kernel.reasons import Doubt, Refusal

__all__ = ('Answered', 'NotRun', 'Outcome', 'Unknown')


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream answered, and the answer is complete."""

    status: int
    tag: str = 'answered'


@dataclass(frozen=True, slots=True)
class NotRun:
    """No upstream has run the request, and no copy of it will be run."""

    reason: Refusal
    retry_after: float | None = None
    tag: str = 'not-run'


@dataclass(frozen=True, slots=True)
class Unknown:
    """The outcome is unknown: the request may have run or not."""

    reason: Doubt
    retry_after: float | None = None
    tag: str = 'unknown'


Outcome = Answered | NotRun | Unknown
