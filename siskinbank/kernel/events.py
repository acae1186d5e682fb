"""The catalogue of numbered log events, and how they are written."""

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
    """One kind of log line, with what it means for an operator."""

    number: int
    level: str
    text: str
    meaning: str


_WARNING = 'WARNING'

_defined: dict[int, Event] = {}


def _define(number: int, level: str, text: str, meaning: str) -> Event:
    event = Event(number, level, text, meaning)
    if _defined.setdefault(number, event) is not event:
        raise ValueError(f'two events with number {number}')
    return event


STARTED = _define(100, 'INFO', 'started', 'The process serves.')
STOPPING = _define(
    101,
    'INFO',
    'stopping',
    'A planned stop began: no new work is taken, open work is finished.',
)
STOPPED = _define(102, 'INFO', 'stopped', 'The process ends; nothing was cut.')
CUT = _define(
    103,
    _WARNING,
    'stopped at once',
    'A second signal ended the process; the fields say what was cut.',
)
ADOPTED = _define(
    200,
    'INFO',
    'configuration in force',
    'The process follows this generation from now on.',
)
REFUSED = _define(
    201,
    'ERROR',
    'configuration refused',
    'A published generation is invalid; the last good one stays in force.',
)
OLDER = _define(
    202,
    _WARNING,
    'older configuration ignored',
    'Someone offered a generation lower than the one in force.',
)
PLATFORM_LOST = _define(
    210,
    _WARNING,
    'platform unreachable',
    'The configuration service does not answer; all goes on as it is.',
)
CONFLICT = _define(
    203,
    'ERROR',
    'two documents with one generation',
    'The platform published two documents under one number; the one with the '
    'higher digest is in force everywhere. Publish a higher generation.',
)
READING = _define(
    211,
    'INFO',
    'reading the platform',
    'By its rank this process reads the platform for its data centre.',
)
LIST_HELD = _define(
    220,
    _WARNING,
    'live list omits much of the fleet',
    'The list is believed only if it says the same for a while.',
)
ISOLATED = _define(
    221,
    _WARNING,
    'no peer answers',
    'The process goes on with what it has until a peer answers.',
)
HEARD = _define(
    222,
    'INFO',
    'peers answer again',
    'The process knows again what the fleet has in force.',
)
UNKEYED = _define(
    240,
    _WARNING,
    'no valid key: refused',
    'Something without a valid key sent datagrams or opened a stream. Nothing '
    'of it was taken. Written at most once a minute; the counters '
    '`unkeyed` and `unkeyed-stream` have them all.',
)
KEYS_READ = _define(
    241,
    'INFO',
    'keys read again',
    'The file of keys has changed; the fields tell which keys are valid now.',
)
KEYS_BAD = _define(
    242,
    'ERROR',
    'keys cannot be read',
    'The file of keys is missing or malformed; the keys before stay valid.',
)
HOST_GONE = _define(
    300,
    _WARNING,
    'host unreachable',
    'A host did not answer; its flows are given up when its lease ends.',
)
UPSTREAM_COLD = _define(
    400,
    _WARNING,
    'upstream turned cold',
    'Its limits start again from cold; open flows are let back in as it warms.',
)
UPSTREAM_UNREACHABLE = _define(
    401,
    'ERROR',
    'upstream unreachable',
    'It refuses or resets connections; it gets no work until it answers.',
)
UPSTREAM_BACK = _define(
    402,
    'INFO',
    'upstream answers again',
    'It counts as cold and gets work as it warms up.',
)
REPORT_DISTRUSTED = _define(
    403,
    _WARNING,
    'upstream report passed over',
    'Its health endpoint claims trouble that its answers do not bear out.',
)
HANDLER_FAILED = _define(
    900,
    'ERROR',
    'handler failed',
    'A fault in the program; the connection it served was closed.',
)

CATALOGUE: tuple[Event, ...] = tuple(
    _defined[number] for number in sorted(_defined)
)


class EventLog:
    """Writes events for one process."""

    def __init__(self, role: str, name: str) -> None:
        """Write under the process's role and name."""
        self._logger = logbook.Logger(f'{role} {name}')

    def write(self, event: Event, **fields: object) -> None:
        """Write one event with its fields."""
        self._logger.log(
            logbook.lookup_level(event.level),
            event.text,
            extra={'number': event.number, 'fields': fields},
        )

    def write_failure(self, error: Exception, **fields: object) -> None:
        """Write that a part could not start or go on."""
        self.write(HANDLER_FAILED, error=repr(error), **fields)


def set_up_logging(
    level: str,
    form: str,
    stream: TextIO | None = None,
) -> None:
    """Write events of ``level`` and above to ``stream``.

    Args:
        level: a logbook level name, such as ``INFO``.
        form: ``text`` or ``json``.
        stream: where to write; standard error if None.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level)
    handler.formatter = _json_line if form == 'json' else _text_line
    handler.push_application()


def _text_line(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    fields = record.extra.get('fields') or {}
    pairs = ' '.join(f'{name}={given}' for name, given in fields.items())
    number = record.extra.get('number', 0)
    stamp = record.time.isoformat(timespec='milliseconds')
    head = f'{stamp} {record.level_name} E{number} [{record.channel}]'
    return f'{head} {record.message} {pairs}'.rstrip()


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
    """Return the page docs/EVENTS.md."""
    lines = [
        '# Events',
        '',
        'Made from `siskinbank/kernel/events.py` by `make events`.',
        '',
        '| number | level | text | what it means |',
        '|---|---|---|---|',
    ]
    lines.extend(
        f'| E{event.number} | {event.level} | {event.text} | {event.meaning} |'
        for event in CATALOGUE
    )
    return '\n'.join(lines)


if __name__ == '__main__':
    sys.stdout.write(f'{catalogue_page()}\n')
