"""Options that several commands share, and checks that name the bad value."""

from collections.abc import Callable
from typing import Any

import click

from siskinbank.util import parse_address, parse_url
from siskinbank.wire.keyfile import load_keys

__all__ = (
    'ADDRESS',
    'KEYS',
    'URL',
    'CheckedType',
    'logging_options',
    'process_options',
)

Decorator = Callable[[Callable[..., Any]], Callable[..., Any]]


class CheckedType(click.ParamType[Any]):
    """An option whose text is read by a function that names what is wrong."""

    def __init__(self, name: str, read: Callable[[str], Any]) -> None:
        """Read texts with ``read``, which raises ValueError for bad ones."""
        self.name = name
        self._read = read

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Any:
        """Return what the text stands for."""
        if not isinstance(value, str):
            return value
        try:
            return self._read(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


#: An option written as ``IP:PORT``.
ADDRESS = CheckedType('ip:port', parse_address)
#: An option written as ``http://IP:PORT``.
URL = CheckedType('url', parse_url)
#: An option written as ``ID:HEX[,ID:HEX]``, or ``@FILE`` with that.
KEYS = CheckedType('keys', load_keys)


def _option(name: str, *, help_text: str, **kwargs: Any) -> Decorator:
    variable = name.removeprefix('--').replace('-', '_').upper()
    return click.option(
        name,
        envvar=f'SISKINBANK_{variable}',
        show_envvar=True,
        show_default=True,
        help=help_text,
        **kwargs,
    )


def logging_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options for logs."""
    level = _option(
        '--log-level',
        help_text='Least level that is written.',
        type=click.Choice(['DEBUG', 'INFO', 'WARNING', 'ERROR']),
        default='INFO',
    )
    form = _option(
        '--log-format',
        help_text='Form of the log lines.',
        type=click.Choice(['text', 'json']),
        default='text',
    )
    return level(form(command))


def process_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that every process of the system has."""
    for decorate in (
        logging_options,
        _option(
            '--keys',
            help_text='One or two keys, ID:HEX[,ID:HEX], or @FILE; the first seals.',
            type=KEYS,
            required=True,
        ),
        _option(
            '--platform',
            help_text="URL of the platform's configuration service.",
            type=URL,
            required=True,
        ),
        _option(
            '--peers',
            help_text='Peer to ask first; may be given again. Not needed as '
            'long as the platform lists the instances.',
            type=ADDRESS,
            multiple=True,
        ),
        _option(
            '--admin',
            help_text='Address for status and metrics.',
            type=ADDRESS,
            default='127.0.0.1:7180',
        ),
        _option(
            '--bind',
            help_text="Address for the system's other processes, UDP and TCP.",
            type=ADDRESS,
            required=True,
        ),
        _option(
            '--data-centre',
            help_text='Data centre of this instance.',
            required=True,
        ),
        _option(
            '--name',
            help_text='Name of this instance.',
            required=True,
        ),
    ):
        command = decorate(command)
    return command


option = _option
