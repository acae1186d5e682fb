"""What the processes of a fleet believe, read from their logs."""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = (
    'LogLine',
    'belief_lines',
    'current_lines',
    'last_value',
    'version_regressions',
)

_START_EVENT = 'process.start'
_CONFIGURATION_EVENT = 'configuration.taken'
_PLACED_EVENT = 'flow.placed'
# Events that change what a process believes or tell why it does not change.
_BELIEF_EVENTS = (
    'configuration.',
    'evacuation.',
    'host.changed',
    'process.',
    'store.',
)
# Time, number and name of the event come before its fields.
_FIELDS_INDEX = 3


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event in a log.

    Attributes:
        event: name of the event.
        fields: values by field name.
    """

    event: str
    fields: dict[str, str]


def belief_lines(name: str, log: str) -> list[str]:
    """Return the lines about beliefs, each with the name of the process."""
    found: list[str] = []
    for line in log.splitlines():
        when, _, text = line.partition(' ')
        _, _, event = text.partition(' ')
        if event.startswith(_BELIEF_EVENTS):
            found.append(f'{when} {name} {event}')
    return found


def current_lines(log: str) -> list[LogLine]:
    """Return the events since the last start of a process."""
    lines: list[LogLine] = []
    for line in _parse(log):
        if line.event == _START_EVENT:
            lines.clear()
        lines.append(line)
    return lines


def last_value(log: str, event: str, name: str) -> str:
    """Return a field of the last such event since the start, or nothing."""
    found = [
        line.fields.get(name, '')
        for line in current_lines(log)
        if line.event == event
    ]
    return found[-1] if found else ''


def version_regressions(log: str) -> list[str]:
    """Return the places where a process went back to an older version."""
    newest = 0
    found: list[str] = []
    for line in _parse(log):
        if line.event == _START_EVENT:
            newest = 0
        elif line.event in {_CONFIGURATION_EVENT, _PLACED_EVENT}:
            version = int(line.fields['version'])
            if version < newest:
                found.append(f'{line.event}: {version} after {newest}')
            newest = max(newest, version)
    return found


def _parse(log: str) -> Iterator[LogLine]:
    for line in log.splitlines():
        words = line.split(' ')
        # The last line of a killed process may be incomplete.
        if len(words) > _FIELDS_INDEX:
            pairs = (word.partition('=') for word in words[_FIELDS_INDEX:])
            fields = {name: text for name, _, text in pairs}
            yield LogLine(words[2], fields)
