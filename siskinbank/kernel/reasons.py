"""The reasons for which work is refused, tried again or dropped."""

import enum

__all__ = ('Drop', 'Ignored', 'Refusal', 'Retry')


class Refusal(enum.StrEnum):
    """Why new work was not run; the caller is told so."""

    no_host = 'no-host'
    at_limit = 'at-limit'
    draining = 'draining'
    expired = 'deadline-expired'
    duplicate = 'duplicate-key'
    stopping = 'stopping'
    unreachable = 'unreachable'
    wrong_service = 'wrong-service'
    malformed = 'malformed'


class Retry(enum.StrEnum):
    """Why work was offered to another host."""

    not_run = 'not-run'
    unreachable = 'unreachable'
    lost = 'lost'


class Drop(enum.StrEnum):
    """Why a packet or message was discarded."""

    malformed = 'malformed'
    unkeyed = 'unkeyed'
    unknown_service = 'unknown-service'
    wrong_service = 'wrong-service'
    no_host = 'no-host'
    hop_limit = 'hop-limit'
    unknown_flow = 'unknown-flow'
    at_limit = 'at-limit'
    centre_out = 'data-centre-out'
    too_large = 'too-large'


class Ignored(enum.StrEnum):
    """Why something that was offered as configuration was not put in force."""

    older = 'older'
    conflict = 'same-generation'
    invalid = 'invalid'
    over_rate = 'over-rate'
    list_held = 'list-held'
