"""``siskinbank status``: print what one process believes."""

import json
from typing import Any
from urllib.request import urlopen

import click

from siskinbank.commands._options import ADDRESS

__all__ = ('command',)

_SECONDS = 5


@click.command('status')
@click.argument('address', type=ADDRESS)
@click.option(
    '--json', 'as_json', is_flag=True, help='Print one JSON document.'
)
def command(address: tuple[str, int], as_json: bool) -> int:
    """Ask the process with admin ADDRESS (IP:PORT) what it believes.

    \b
    Exit codes: 0 with an answer, 1 without.
    """
    url = 'http://{0}:{1}/status'.format(*address)
    try:
        with urlopen(url, timeout=_SECONDS) as answer:
            document = json.load(answer)
    except (OSError, ValueError) as error:
        click.echo(
            f'siskinbank status: no answer from {url}: {error}', err=True
        )
        return 1
    if as_json:
        click.echo(json.dumps(document, indent=1))
        return 0
    click.echo('\n'.join(_lines(document)))
    return 0


def _lines(document: dict[str, Any]) -> list[str]:
    """Return the status as operators read it, a fact a line."""
    counts = document.pop('counts')
    times = document.pop('times_seconds', {})
    lines = [
        f'{name.replace("_", " ")}: {given}' for name, given in document.items()
    ]
    lines.extend(
        f'{family} {reason}'.rstrip() + f': {count}'
        for family, reasons in counts.items()
        for reason, count in reasons.items()
    )
    for name, quantiles in times.items():
        shown = ', '.join(f'{at}: {took:.6f}' for at, took in quantiles.items())
        lines.append(f'time of {name} in seconds: {shown}')
    return lines
