"""Reasons for refused, retried, dropped and abandoned work."""

import enum

__all__ = ('Doubt', 'Drop', 'GivenUp', 'Ignored', 'Refusal', 'Retry')


class Refusal(enum.StrEnum):
    """Why new work was refused; reported to the caller."""

    no_host = 'no-host'
    at_limit = 'at-limit'
    draining = 'draining'
    stale_view = 'stale-view'
    expired = 'deadline-expired'
    duplicate = 'duplicate-key'
    stopping = 'stopping'
    unreachable = 'unreachable'
    wrong_service = 'wrong-service'
    malformed = 'malformed'
    too_large = 'too-large'
    entry_at_limit = 'entry-at-limit'
    keys_full = 'too-many-keys'


class Doubt(enum.StrEnum):
    """Why the outcome of a request is unknown; reported to the caller."""

    lost = 'link-lost'
    expired = 'deadline-passed'
    failed = 'upstream-failed'
    duplicate = 'duplicate-key'
    restarted = 'host-restarted'
    old_ticket = 'ticket-expired'
    bad_ticket = 'bad-ticket'
    unsettled = 'key-unsettled'
    unreachable = 'host-unreachable'
    cancelled = 'cancelled'
    malformed = 'malformed-answer'


class Retry(enum.StrEnum):
    """Why work was retried at another host, or why it could not be."""

    not_run = 'not-run'
    unreachable = 'unreachable'
    lost = 'lost'
    failed = 'failed'
    no_budget = 'no-budget'


class Drop(enum.StrEnum):
    """Why a packet or message was discarded."""

    malformed = 'malformed'
    unkeyed = 'unkeyed'
    replayed = 'replayed'
    unkeyed_stream = 'unkeyed-stream'
    unknown_service = 'unknown-service'
    wrong_service = 'wrong-service'
    no_host = 'no-host'
    hop_limit = 'hop-limit'
    unknown_flow = 'unknown-flow'
    at_limit = 'at-limit'
    centre_out = 'data-centre-out'
    too_large = 'too-large'
    upstream_cold = 'upstream-cold'
    other_pool = 'load-of-other-pool'
    owner_gone = 'owner-gone'
    stale_view = 'stale-view'
    stale_hint = 'stale-hint'
    doubled = 'doubled'
    late = 'late'
    reused_number = 'reused-number'
    over_credit = 'over-credit'
    link_lost = 'link-lost'


class GivenUp(enum.StrEnum):
    """Why an owned flow was abandoned."""

    centre_out = 'data-centre-out'
    removed = 'host-removed'
    reassigned = 'address-reassigned'
    idle = 'idle'


class Ignored(enum.StrEnum):
    """Why an offered configuration or list was not put in force."""

    older = 'older'
    conflict = 'same-generation'
    invalid = 'invalid'
    over_rate = 'over-rate'
    list_held = 'list-held'
