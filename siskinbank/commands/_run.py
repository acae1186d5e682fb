"""Run a process of the system and turn its failures into exit codes."""

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
        click.echo(f'siskinbank {role}: {error.strerror or error}', err=True)
        return EXIT_SOCKET
