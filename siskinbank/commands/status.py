"""``siskinbank status``: print the known state of one process."""

import json
from typing import Any
from urllib.request import urlopen

import click

from siskinbank.commands._options import ADDRESS

__all__ = ('command',)

_TIMEOUT_SECONDS = 5


@click.command('status')
@click.argument('address', type=ADDRESS)
@click.option(
    '--json', 'as_json', is_flag=True, help='Print one JSON document.'
)
def command(address: tuple[str, int], as_json: bool) -> int:
    """Print the known state of the process with admin ADDRESS (IP:PORT).

    \b
    Exit codes: 0 with an answer, 1 without.
    """
    url = 'http://{0}:{1}/status'.format(*address)
    try:
        with urlopen(url, timeout=_TIMEOUT_SECONDS) as response:
            document = json.load(response)
    except (OSError, ValueError) as error:
        click.echo(
            f'siskinbank status: no answer from {url}: {error}', err=True
        )
        return 1
    if as_json:
        click.echo(json.dumps(document, indent=1))
        return 0
    click.echo('\n'.join(_format_status(document)))
    return 0


def _format_status(document: dict[str, Any]) -> list[str]:
    """Format the status document, one value per line."""
    counts = document.pop('counts')
    times = document.pop('times_seconds', {})
    lines = [
        f'{name.replace("_", " ")}: {value}' for name, value in document.items()
    ]
    lines.extend(
        f'{family} {reason}'.rstrip() + f': {count}'
        for family, reasons in counts.items()
        for reason, count in reasons.items()
    )
    for name, quantiles in times.items():
        shown = ', '.join(
            f'{quantile}: {seconds:.6f}'
            for quantile, seconds in quantiles.items()
        )
        lines.append(f'time of {name} in seconds: {shown}')
    return lines
