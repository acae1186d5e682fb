"""Reports of callers on their flows and requests."""

import enum
from dataclasses import dataclass

__all__ = ('FlowReport', 'FlowResult', 'RequestReport')


class FlowResult(enum.StrEnum):
    """The result of a flow.

    ``whole`` means that the flow lasted until its caller closed it, ``silent``
    that the answers stopped, and ``moved`` that an answer came from another
    host or to other data.
    """

    whole = 'whole'
    refused = 'refused'
    reset = 'reset'
    silent = 'silent'
    moved = 'moved'


@dataclass(slots=True)
class FlowReport:
    """One flow as seen by its caller; times are in seconds since 1970.

    ``host`` accepted the flow; ``reset_by`` is the host that reset it or
    answered instead, if any.
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
        """Whether an upstream accepted the flow."""
        return self.result is not FlowResult.refused

    @property
    def broken(self) -> bool:
        """Whether the flow ended before its caller closed it."""
        return self.established and self.result is not FlowResult.whole


@dataclass(slots=True)
class RequestReport:
    """One request as seen by its caller; times are in seconds since 1970.

    ``doubted`` is true if the request was sent again, or if an attempt failed
    that may have run; ``lost_at`` is the entry at which that attempt failed.
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
