"""``siskinbank lab``: experiments, stand-ins and the demo."""

import click

from siskinbank.commands import LazyGroup

__all__ = ('command',)


@click.group('lab', cls=LazyGroup, package='siskinbank.lab.commands')
def command() -> None:
    """Measure the real code, beside a naive version on the same seed.

    Experiments print a table, or one JSON document with --json, and exit
    with 1 where a bound does not hold.
    """
