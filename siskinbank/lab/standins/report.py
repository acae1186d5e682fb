"""What callers saw."""

import enum
from dataclasses import dataclass

__all__ = ('FlowReport', 'FlowResult', 'RequestReport')


class FlowResult(enum.StrEnum):
    """How a flow went."""

    whole = 'whole'
    refused = 'refused'
    reset = 'reset'
    silent = 'silent'
    moved = 'moved'


@dataclass(slots=True)
class FlowReport:
    """One flow as its caller saw it; times are in seconds since 1970.

    ``host`` took the flow; ``reset_by`` is the one that ended it, if any.
    """

    ingress: str
    opened_at: float
    ended_at: float = 0
    host: str = ''
    entry: str = ''
    reset_by: str = ''
    result: FlowResult = FlowResult.silent

    @property
    def established(self) -> bool:
        """Whether an upstream took the flow."""
        return self.result is not FlowResult.refused

    @property
    def broken(self) -> bool:
        """Whether the flow did not live as long as its caller wanted."""
        return self.established and self.result is not FlowResult.whole


@dataclass(slots=True)
class RequestReport:
    """One request as its caller saw it; times are in seconds since 1970.

    ``doubted`` says that there was more than one attempt and that an earlier
    one may have run; ``lost_at`` is the entry that cut one without an answer.
    """

    key: str
    idempotent: bool
    outcome: str
    reason: str = ''
    started_at: float = 0
    ended_at: float = 0
    entry: str = ''
    doubted: bool = False
    lost_at: str = ''
