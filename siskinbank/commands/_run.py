"""Run a process of the system and turn its failures into exit codes."""

import os
from collections.abc import Awaitable, Callable

import click

from siskinbank.kernel.events import set_up_logging
from siskinbank.kernel.process import ProcessContext, run_process

__all__ = ('EXIT_SOCKET', 'run_command')

#: Exit code when an address could not be bound.
EXIT_SOCKET = 4


def run_command(
    role: str,
    name: str,
    log: tuple[str, str],
    start: Callable[[ProcessContext], Awaitable[None]],
) -> int:
    """Set up logs and run until stopped.

    Args:
        role: the process's role.
        name: the instance's name.
        log: the log level and form.
        start: starts the process's parts.

    Returns:
        The process's exit code.
    """
    set_up_logging(*log)
    try:
        return run_process(role, name, start)
    except OSError as error:
        click.echo(f'siskinbank {role}: {_explain(error)}', err=True)
        return EXIT_SOCKET


def _explain(error: OSError) -> str:
    """Say what failed, and why if the message leaves it out."""
    what = str(error.strerror or error)
    why = os.strerror(error.errno) if error.errno else ''
    return what if why in what else f'{what}: {why}'
