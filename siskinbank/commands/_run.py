"""Run an entry or a sidecar and convert its errors into exit codes."""

import os
from collections.abc import Awaitable, Callable

import click

from siskinbank.kernel.events import set_up_logging
from siskinbank.kernel.process import ProcessContext, run_process

__all__ = ('EXIT_SOCKET', 'run_command')

#: Exit code if an address could not be bound.
EXIT_SOCKET = 4


def run_command(
    role: str,
    name: str,
    log: tuple[str, str],
    start: Callable[[ProcessContext], Awaitable[None]],
) -> int:
    """Set up logging and run a process until it is stopped.

    Args:
        role: the role of the process.
        name: the name of the instance.
        log: the log level and format.
        start: starts the components of the process.

    Returns:
        The exit code of the process.
    """
    set_up_logging(*log)
    try:
        return run_process(role, name, start)
    except OSError as error:
        click.echo(f'siskinbank {role}: {_describe_error(error)}', err=True)
        return EXIT_SOCKET


def _describe_error(error: OSError) -> str:
    """Return the message of an error, with its cause if that is missing."""
    message = str(error.strerror or error)
    cause = os.strerror(error.errno) if error.errno else ''
    return message if cause in message else f'{message}: {cause}'
