"""``siskinbank lab``: experiments, test stand-ins and the demo."""

import click

from siskinbank.commands import LazyGroup

__all__ = ('command',)


@click.group('lab', cls=LazyGroup, package='siskinbank.lab.commands')
def command() -> None:
    """Measure the real code and a naive version with the same seed.

    Experiments print a table, or one JSON document with --json, and exit
    with 1 if a bound does not hold.
    """
