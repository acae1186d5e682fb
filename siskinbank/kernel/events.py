"""Catalogue of numbered log events, and the event log."""

import json
import sys
from dataclasses import dataclass
from typing import TextIO

import logbook

__all__ = (
    'CATALOGUE',
    'Event',
    'EventLog',
    'catalogue_page',
    'set_up_logging',
)


@dataclass(frozen=True, slots=True)
class Event:
    """A type of log event.

    Attributes:
        number: the stable number of the event, shown as ``E<number>``.
        level: the name of a logbook level.
        text: the message of the log line.
        meaning: the explanation for operators on docs/EVENTS.md.
    """

    number: int
    level: str
    text: str
    meaning: str


_INFO = 'INFO'
_WARNING = 'WARNING'

_defined: dict[int, Event] = {}


def _define(number: int, level: str, text: str, meaning: str) -> Event:
    event = Event(number, level, text, meaning)
    if _defined.setdefault(number, event) is not event:
        raise ValueError(f'event number {number} is already defined')
    return event


STARTED = _define(100, _INFO, 'started', 'The process is serving.')
STOPPING = _define(
    101,
    _INFO,
    'stopping',
    'A planned stop began: new work is refused, open work is finished.',
)
STOPPED = _define(
    102, _INFO, 'stopped', 'The process exits; no open work was interrupted.'
)
STOPPED_IMMEDIATELY = _define(
    103,
    _WARNING,
    'stopped immediately',
    'A second signal ended the process; the fields count the interrupted work.',
)
CONFIGURATION_ADOPTED = _define(
    200,
    _INFO,
    'configuration in force',
    'The process now uses this generation.',
)
CONFIGURATION_REFUSED = _define(
    201,
    'ERROR',
    'configuration refused',
    'A published generation is invalid; the last valid one stays in force.',
)
OLDER_CONFIGURATION_IGNORED = _define(
    202,
    _WARNING,
    'older configuration ignored',
    'A generation lower than the one in force was offered.',
)
PLATFORM_UNREACHABLE = _define(
    210,
    _WARNING,
    'platform unreachable',
    'The configuration service does not answer; the configuration in force '
    'stays in use.',
)
GENERATION_CONFLICT = _define(
    203,
    'ERROR',
    'two documents with the same generation',
    'The platform published two documents with the same generation; every '
    'process uses the one with the higher digest. Publish a higher generation.',
)
READING_PLATFORM = _define(
    211,
    _INFO,
    'reading the platform',
    'The process reads the platform for its data centre, because of its rank.',
)
OMISSIONS_HELD = _define(
    220,
    _WARNING,
    'live list omits many known instances',
    'The omissions take effect only if they persist for 30 s.',
)
ISOLATED = _define(
    221,
    _WARNING,
    'no peer answers',
    'The process continues with its current state until a peer answers.',
)
ISOLATION_ENDED = _define(
    222,
    _INFO,
    'peers answer again',
    'The process has current information about the fleet again.',
)
UNKEYED = _define(
    240,
    _WARNING,
    'no valid key: refused',
    'A sender without a valid key sent datagrams or opened a stream; what it '
    'sent was discarded. Written at most once a minute; the counters '
    '`unkeyed` and `unkeyed-stream` count every occurrence.',
)
KEYS_RELOADED = _define(
    241,
    _INFO,
    'keys reloaded',
    'The key file has changed; the fields list the keys that are now valid.',
)
KEYS_UNREADABLE = _define(
    242,
    'ERROR',
    'keys cannot be read',
    'The key file is missing or malformed; the previous keys stay valid.',
)
STREAMS_WITHDRAWN = _define(
    243,
    _INFO,
    'a key of open streams was withdrawn',
    'Open streams have a key that is no longer valid. They get no new request '
    'or connection; requests in progress are finished, and connections of '
    'callers last until their ends close them.',
)
HOST_UNREACHABLE = _define(
    300,
    _WARNING,
    'host unreachable',
    'A host did not answer; its flows are abandoned when its lease ends.',
)
UPSTREAM_COLD = _define(
    400,
    _WARNING,
    'upstream turned cold',
    'The limits of the upstream are reset to the cold limits; open flows are '
    'suspended, and readmitted as it warms up.',
)
UPSTREAM_UNREACHABLE = _define(
    401,
    'ERROR',
    'upstream unreachable',
    'The upstream refuses or resets connections; it gets no work until it '
    'answers.',
)
UPSTREAM_RECOVERED = _define(
    402,
    _INFO,
    'upstream answers again',
    'The upstream is treated as cold; it gets more work as it warms up.',
)
HEALTH_REPORT_IGNORED = _define(
    403,
    _WARNING,
    'upstream report ignored',
    'The health endpoint of the upstream reports a problem that its answers '
    'do not confirm.',
)
HANDLER_FAILED = _define(
    900,
    'ERROR',
    'handler failed',
    'Unexpected exception; the connection being served was closed.',
)

CATALOGUE: tuple[Event, ...] = tuple(
    _defined[number] for number in sorted(_defined)
)


class EventLog:
    """The event log of one process."""

    def __init__(self, role: str, name: str) -> None:
        """Create the log of the process with this role and name."""
        self._logger = logbook.Logger(f'{role} {name}')

    def write(self, event: Event, **fields: object) -> None:
        """Write an event with its fields."""
        self._logger.log(
            logbook.lookup_level(event.level),
            event.text,
            extra={'number': event.number, 'fields': fields},
        )

    def write_failure(self, error: Exception, **fields: object) -> None:
        """Write that a component could not start or failed."""
        self.write(HANDLER_FAILED, error=repr(error), **fields)


def set_up_logging(
    level: str,
    line_format: str,
    stream: TextIO | None = None,
) -> None:
    """Log events of ``level`` and above to ``stream``.

    Args:
        level: a logbook level name, such as ``INFO``.
        line_format: ``text`` or ``json``.
        stream: the output stream; standard error if None.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level)
    handler.formatter = _json_line if line_format == 'json' else _text_line
    handler.push_application()


def _text_line(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    fields = record.extra.get('fields') or {}
    pairs = ' '.join(f'{name}={value}' for name, value in fields.items())
    number = record.extra.get('number', 0)
    timestamp = record.time.isoformat(timespec='milliseconds')
    prefix = f'{timestamp} {record.level_name} E{number} [{record.channel}]'
    return f'{prefix} {record.message} {pairs}'.rstrip()


def _json_line(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    line = {
        'time': record.time.isoformat(timespec='milliseconds'),
        'level': record.level_name,
        'event': record.extra.get('number', 0),
        'process': record.channel,
        'message': record.message,
        **(record.extra.get('fields') or {}),
    }
    return json.dumps(line, default=str)


def catalogue_page() -> str:
    """Return the content of docs/EVENTS.md."""
    lines = [
        '# Events',
        '',
        'Generated from `siskinbank/kernel/events.py` by `make events`.',
        '',
        '| number | level | text | meaning |',
        '|---|---|---|---|',
    ]
    lines.extend(
        f'| E{event.number} | {event.level} | {event.text} | {event.meaning} |'
        for event in CATALOGUE
    )
    return '\n'.join(lines)


if __name__ == '__main__':
    sys.stdout.write(f'{catalogue_page()}\n')
