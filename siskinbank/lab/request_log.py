"""What callers saw of each key, and what that says about the system."""

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

__all__ = ('Attempt', 'RequestLog', 'attempt', 'body_of')

CROSSED = 'crossed'
LOST = 'lost'
REFUSED = 'connection-refused'
UNSETTLED = 'unsettled'
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_MAX_BODY_BYTES = 200_000


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request as it was sent; times are in seconds."""

    key: str
    url: str
    body: bytes
    idempotent: bool = False
    ticket: str = ''
    deadline: float = 4


@dataclass(slots=True)
class RequestLog:
    """The outcomes of each key's attempts."""

    outcomes: dict[str, list[str]] = field(default_factory=dict)
    once: set[str] = field(default_factory=set)

    def note(self, key: str, outcome: str, *, idempotent: bool) -> None:
        """Note the outcome of one attempt."""
        self.outcomes.setdefault(key, []).append(outcome)
        if not idempotent:
            self.once.add(key)

    def counts(self) -> Counter[str]:
        """Return how often each outcome was seen."""
        return Counter(
            outcome for seen in self.outcomes.values() for outcome in seen
        )

    def figures(
        self,
        upstreams: Iterable[RequestUpstream],
    ) -> dict[str, int]:
        """Return runs for each key, false refusals and bad answers."""
        runs: Counter[str] = Counter()
        for upstream in upstreams:
            runs.update(upstream.runs)
        counts = self.counts()
        return {
            'keys': len(self.outcomes),
            'answered': counts['answered'],
            'not_run': counts['not-run'],
            'unknown': counts['unknown'],
            'unsettled': counts[UNSETTLED],
            'connections_lost': counts[LOST],
            'runs_for_a_key': max((runs[key] for key in self.once), default=0),
            'keys_run_twice': sum(runs[key] > 1 for key in self.once),
            'false_not_run': sum(
                runs[key] > 0 and set(seen) <= {'not-run', REFUSED}
                for key, seen in self.outcomes.items()
            ),
            'bad_answers': counts[CROSSED],
        }


def body_of(key: str, rng: random.Random) -> bytes:
    """Return a body that belongs to a key; some are large."""
    size = rng.randrange(_MAX_BODY_BYTES) if rng.randrange(10) == 0 else 64
    return (f'{key} ' * (size // len(key) + 1)).encode()


async def attempt(session: aiohttp.ClientSession, sent: Attempt) -> str:
    """Send one attempt and return its outcome as the caller sees it."""
    headers = {
        KEY_HEADER: sent.key,
        DEADLINE_HEADER: str(sent.deadline),
        IDEMPOTENT_HEADER: str(sent.idempotent).lower(),
    }
    if sent.ticket:
        headers[TICKET_HEADER] = sent.ticket
    try:
        async with session.post(
            f'{sent.url}/match',
            data=sent.body,
            headers=headers,
        ) as answer:
            return _judge(sent, answer, await answer.read())
    except aiohttp.ClientConnectorError:
        return REFUSED
    except (aiohttp.ClientError, OSError):
        return LOST


def _judge(
    sent: Attempt,
    answer: aiohttp.ClientResponse,
    body: bytes,
) -> str:
    told = answer.headers.get(OUTCOME_HEADER)
    if told is None:
        # Without our header the status alone says what happened.
        told = 'not-run' if answer.status >= _SERVER_ERROR else 'answered'
    if told == 'unknown' and answer.status == _UNAVAILABLE:
        return UNSETTLED
    if told == 'answered':
        same = body == sent.body and answer.headers['X-Key'] == sent.key
        return told if same else CROSSED
    return told
