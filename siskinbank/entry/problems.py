"""Refusals and unknown outcomes as RFC 9457 problem documents."""

import math
from http import HTTPStatus

from aiohttp import web

from siskinbank.kernel.outcomes import NotRun, Unknown
from siskinbank.kernel.reasons import Doubt, Refusal
from siskinbank.wire.headers import OUTCOME_HEADER

__all__ = ('problem_response', 'problem_status')

_NOT_RUN_STATUS: dict[Refusal, HTTPStatus] = {
    Refusal.malformed: HTTPStatus.BAD_REQUEST,
    Refusal.too_large: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Refusal.expired: HTTPStatus.GATEWAY_TIMEOUT,
}
_UNKNOWN_STATUS: dict[Doubt, HTTPStatus] = {
    Doubt.duplicate: HTTPStatus.CONFLICT,
    Doubt.old_ticket: HTTPStatus.CONFLICT,
    Doubt.bad_ticket: HTTPStatus.CONFLICT,
    Doubt.restarted: HTTPStatus.CONFLICT,
    Doubt.expired: HTTPStatus.GATEWAY_TIMEOUT,
    Doubt.unsettled: HTTPStatus.SERVICE_UNAVAILABLE,
    Doubt.unreachable: HTTPStatus.SERVICE_UNAVAILABLE,
}


def problem_status(outcome: NotRun | Unknown) -> HTTPStatus:
    """Return the HTTP status code for an outcome."""
    if isinstance(outcome, NotRun):
        return _NOT_RUN_STATUS.get(
            outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE
        )
    return _UNKNOWN_STATUS.get(outcome.reason, HTTPStatus.BAD_GATEWAY)


def problem_response(outcome: NotRun | Unknown) -> web.Response:
    """Return an HTTP response with the problem document of an outcome."""
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
