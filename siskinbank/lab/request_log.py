"""Outcomes of requests as callers observe them, and their summary."""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import aiohttp

from siskinbank.lab.request_upstream import RequestUpstream
from siskinbank.wire.headers import (
    DEADLINE_HEADER,
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    TICKET_HEADER,
)

__all__ = ('Attempt', 'RequestLog', 'make_body', 'send_attempt')

#: Outcomes in addition to those of the outcome header. The first is an answer
#: that is not whole or belongs to another request.
WRONG_ANSWER = 'crossed'
CONNECTION_LOST = 'lost'
CONNECTION_REFUSED = 'connection-refused'
#: Unknown outcome with status 503: the request may be sent again to resolve it.
UNRESOLVED = 'unsettled'
_INTERNAL_SERVER_ERROR = 500
_SERVICE_UNAVAILABLE = 503
_MAX_BODY_BYTES = 200_000


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to send a request.

    Attributes:
        key: idempotency key.
        url: base URL of the entry or proxy.
        body: request body, which the upstream echoes.
        idempotent: whether the request may run more than once.
        ticket: ticket of the key, or empty.
        deadline: time limit for the answer, in seconds.
    """

    key: str
    url: str
    body: bytes
    idempotent: bool = False
    ticket: str = ''
    deadline: float = 4


@dataclass(slots=True)
class RequestLog:
    """Records the outcomes of all attempts.

    Attributes:
        outcomes: outcomes by key, one for each attempt.
        non_idempotent_keys: keys whose requests may run only once.
    """

    outcomes: dict[str, list[str]] = field(default_factory=dict)
    non_idempotent_keys: set[str] = field(default_factory=set)

    def record(self, key: str, outcome: str, *, idempotent: bool) -> None:
        """Record the outcome of one attempt."""
        self.outcomes.setdefault(key, []).append(outcome)
        if not idempotent:
            self.non_idempotent_keys.add(key)

    def counts(self) -> Counter[str]:
        """Return the number of attempts by outcome."""
        return Counter(
            outcome
            for key_outcomes in self.outcomes.values()
            for outcome in key_outcomes
        )

    def summarise(
        self,
        upstreams: Iterable[RequestUpstream],
    ) -> dict[str, int]:
        """Return the counts for the report, such as the most runs of one key.

        Args:
            upstreams: all upstreams, whose runs are added up by key.
        """
        runs: Counter[str] = Counter()
        for upstream in upstreams:
            runs.update(upstream.runs)
        counts = self.counts()
        return {
            'keys': len(self.outcomes),
            'answered': counts['answered'],
            'not_run': counts['not-run'],
            'unknown': counts['unknown'],
            'unsettled': counts[UNRESOLVED],
            'connections_lost': counts[CONNECTION_LOST],
            'runs_for_a_key': max(
                (runs[key] for key in self.non_idempotent_keys),
                default=0,
            ),
            'keys_run_twice': sum(
                runs[key] > 1 for key in self.non_idempotent_keys
            ),
            'false_not_run': sum(
                runs[key] > 0
                and set(key_outcomes) <= {'not-run', CONNECTION_REFUSED}
                for key, key_outcomes in self.outcomes.items()
            ),
            'bad_answers': counts[WRONG_ANSWER],
        }


def make_body(key: str, rng: random.Random) -> bytes:
    """Return a body that repeats a key; one in 10 is up to 200 kB long."""
    size = rng.randrange(_MAX_BODY_BYTES) if rng.randrange(10) == 0 else 64
    return (f'{key} ' * (size // len(key) + 1)).encode()


async def send_attempt(session: aiohttp.ClientSession, attempt: Attempt) -> str:
    """Send one attempt and return its outcome as seen by the caller."""
    headers = {
        KEY_HEADER: attempt.key,
        DEADLINE_HEADER: str(attempt.deadline),
        IDEMPOTENT_HEADER: str(attempt.idempotent).lower(),
    }
    if attempt.ticket:
        headers[TICKET_HEADER] = attempt.ticket
    try:
        async with session.post(
            f'{attempt.url}/match',
            data=attempt.body,
            headers=headers,
        ) as response:
            return _classify(attempt, response, await response.read())
    except aiohttp.ClientConnectorError:
        return CONNECTION_REFUSED
    except (aiohttp.ClientError, OSError):
        return CONNECTION_LOST


def _classify(
    attempt: Attempt,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> str:
    outcome = response.headers.get(OUTCOME_HEADER)
    if outcome is None:
        # Naive proxies send no outcome header; only the status is available.
        outcome = (
            'not-run'
            if response.status >= _INTERNAL_SERVER_ERROR
            else 'answered'
        )
    if outcome == 'unknown' and response.status == _SERVICE_UNAVAILABLE:
        return UNRESOLVED
    if outcome == 'answered':
        is_echo = (
            body == attempt.body and response.headers['X-Key'] == attempt.key
        )
        return outcome if is_echo else WRONG_ANSWER
    return outcome
