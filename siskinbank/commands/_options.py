"""Options and parameter types that several commands share."""

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
    """A parameter type that parses its text with a function."""

    def __init__(self, name: str, read: Callable[[str], Any]) -> None:
        """Initialize the type.

        Args:
            name: the name of the type in help texts.
            read: parses a text; raises ValueError with the reason if it is
                invalid.
        """
        self.name = name
        self._read = read

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Any:
        """Return the parsed value."""
        if not isinstance(value, str):
            return value
        try:
            return self._read(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


#: An address in the form ``IP:PORT``.
ADDRESS = CheckedType('ip:port', parse_address)
#: A URL in the form ``http://IP:PORT``.
URL = CheckedType('url', parse_url)
#: Keys in the form ``ID:HEX[,ID:HEX]``, or ``@FILE`` to read them from a file.
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
    """Add the logging options."""
    level = _option(
        '--log-level',
        help_text='Minimum level of log lines.',
        type=click.Choice(['DEBUG', 'INFO', 'WARNING', 'ERROR']),
        default='INFO',
    )
    line_format = _option(
        '--log-format',
        help_text='Format of log lines.',
        type=click.Choice(['text', 'json']),
        default='text',
    )
    return level(line_format(command))


def process_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that entries and sidecars have in common."""
    for decorate in (
        logging_options,
        _option(
            '--keys',
            help_text='One or two keys, ID:HEX[,ID:HEX], or @FILE; the first one '
            'seals datagrams.',
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
            help_text='Peer to contact first; may be repeated. Not needed while '
            'the platform lists the instances.',
            type=ADDRESS,
            multiple=True,
        ),
        _option(
            '--admin',
            help_text='Address of the status and metrics endpoint.',
            type=ADDRESS,
            default='127.0.0.1:7180',
        ),
        _option(
            '--bind',
            help_text='UDP and TCP address for other siskinbank processes.',
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
