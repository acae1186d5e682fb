"""Refusals and doubt as problem documents after RFC 9457."""

import math
from http import HTTPStatus

from aiohttp import web

from siskinbank.kernel.outcomes import NotRun, Unknown
from siskinbank.kernel.reasons import Doubt, Refusal
from siskinbank.wire.headers import OUTCOME_HEADER

__all__ = ('problem_response', 'problem_status')

_NOT_RUN: dict[Refusal, HTTPStatus] = {
    Refusal.malformed: HTTPStatus.BAD_REQUEST,
    Refusal.too_large: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Refusal.expired: HTTPStatus.GATEWAY_TIMEOUT,
}
_UNKNOWN: dict[Doubt, HTTPStatus] = {
    Doubt.duplicate: HTTPStatus.CONFLICT,
    Doubt.old_ticket: HTTPStatus.CONFLICT,
    Doubt.bad_ticket: HTTPStatus.CONFLICT,
    Doubt.restarted: HTTPStatus.CONFLICT,
    Doubt.expired: HTTPStatus.GATEWAY_TIMEOUT,
    Doubt.unsettled: HTTPStatus.SERVICE_UNAVAILABLE,
    Doubt.unreachable: HTTPStatus.SERVICE_UNAVAILABLE,
}


def problem_status(outcome: NotRun | Unknown) -> HTTPStatus:
    """Return the status code under which an outcome is told."""
    if isinstance(outcome, NotRun):
        return _NOT_RUN.get(outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    return _UNKNOWN.get(outcome.reason, HTTPStatus.BAD_GATEWAY)


def problem_response(outcome: NotRun | Unknown) -> web.Response:
    """Return the answer that tells an outcome."""
    status = problem_status(outcome)
    headers = {OUTCOME_HEADER: outcome.tag}
    if outcome.retry_after is not None:
        headers['Retry-After'] = str(max(math.ceil(outcome.retry_after), 1))
    return web.json_response(
        {
            'type': f'urn:siskinbank:{outcome.tag}:{outcome.reason.value}',
            'title': outcome.tag,
            'status': status.value,
            'outcome': outcome.tag,
            'reason': outcome.reason.value,
        },
        status=status.value,
        headers=headers,
        content_type='application/problem+json',
    )
